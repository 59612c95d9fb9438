// Package faulter is an in-memory file system that fails at a chosen step and loses unsynced data in a crash, for tests
// of code that stores its state with package journaler.
package faulter
