// Package matcher holds the routing table: which service answers a request, by host and the longest path prefix.
package matcher
