// Package runner runs one replica of a replicated state machine: the event loop, journal and transport around a
// replicator.Replicator.
package runner
