// Package relayer is the entry of a deployment whose backend servers queue and reject by themselves: it routes each
// request by the operator's table, sends it straight to a backend server, and asks the control leader for adapters
// that no server holds.
//
// Names of headers come with a Dialect; the rules of what may be repeated come with the route.
package relayer
