// Package forwarder sends requests from the entry that received them to the backend server's owner, and returns the answers.
package forwarder
