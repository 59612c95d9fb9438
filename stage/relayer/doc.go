// Package relayer is the entry (reverse proxy) for backend servers that queue and reject requests themselves. It routes each
// request by the operator's table, forwards it directly to a backend server, and asks the control leader to load adapters
// that no server holds.
//
// A Dialect sets the header names; the route says whether a request may be retried.
package relayer
