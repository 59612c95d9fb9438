// Package receiver serves the HTTP API for callers and accepts announcements of backend servers.
package receiver
