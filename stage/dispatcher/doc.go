// Package dispatcher assembles an entry process: an owner of backend servers, with listeners for callers, peers and metrics.
package dispatcher
