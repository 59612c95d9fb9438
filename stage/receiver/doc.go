// Package receiver is the HTTP API for callers, and the place where backend servers announce themselves.
package receiver
