// Package runner runs one replica of a replicated log: the goroutine, the journal and the transport around a
// replicator.Replicator.
package runner
