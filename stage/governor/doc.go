// Package governor is the control process of a deployment whose backend servers and operator call control directly: a
// replica of the control log that discovers its group, the leader's placement of adapters, and a relay to entries.
//
// The leader (hub, leaderState, worker) has one session with each replica. Every replica (relay, view) has sessions with
// the entries of its data centre: it forwards changes to the operator's document, the adapter versions and the backend
// servers, and aggregates the entries' adapter use, load and requests for adapters.
package governor
