// Package forwarder sends requests from the entry that received them to the entry that owns the backend server, and streams the answers back.
package forwarder
