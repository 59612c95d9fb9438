// Package matcher holds the routing table: which service answers a request, by host and longest path prefix, and which client
// account holds a key.
package matcher
