// Package relayer is the entry (reverse proxy) for backend servers that queue and reject requests themselves. It routes each
// request by the operator's table, forwards it directly to a backend server, and has the control leader load adapters
// that no server holds.
//
// Headers sets the header names; the route determines whether a request may be retried.
package relayer
