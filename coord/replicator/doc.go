// Package replicator implements one replica of a Raft-like replicated log: elections, replication, leader leases,
// snapshots and membership changes, as a state machine without goroutines, clock, sockets or files.
package replicator
