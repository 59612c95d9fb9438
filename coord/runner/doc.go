// Package runner drives one replica of a replicated log: it owns the goroutine, the journal and the transport around a replicator.Node.
package runner
