// Package replicator decides for one replica of a quorum log: elections, replication, leases, snapshots and replica
// changes, as a plain state machine without goroutine, clock, socket or file.
package replicator
