// Package marker names the HTTP headers that the serving layer shares with callers and backend servers.
package marker
