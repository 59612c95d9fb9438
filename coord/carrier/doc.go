// Package carrier carries the messages of a replicated log between its replicas, on one long-lived HTTP/2 stream in each
// direction.
package carrier
