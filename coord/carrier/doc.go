// Package carrier transports the messages of a replicated log between its replicas, over one long-lived HTTP/2 stream in
// each direction.
package carrier
