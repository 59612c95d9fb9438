// Package governor is the control process of a deployment whose backend servers and operator speak to control itself: a
// replica of the control log that finds its group by itself, the leader's placement of adapters, and a relay to entries.
//
// The leader (hub, desk, worker) has one session with each replica. Every replica (relay, view) has sessions with the
// entries of its data centre: it passes on what changed of the operator's document, the adapters' versions and the
// backend servers, and sums up what entries use and miss.
package governor
