// Package receiver serves the HTTP API for callers and accepts the announcements of backend servers.
package receiver
