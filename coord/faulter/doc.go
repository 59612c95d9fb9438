// Package faulter is a file system in memory that fails at a chosen step and forgets in a crash what wasn't synced, for
// tests of code that keeps its state with package journaler.
package faulter
