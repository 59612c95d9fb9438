// Package dispatcher assembles an entry process: listeners for callers, peers and metrics around one owner of backend servers.
package dispatcher
