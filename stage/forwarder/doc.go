// Package forwarder carries requests from the caller's entry to the entry that owns the backend server, and answers back.
package forwarder
