// Package cutter is a TCP relay for tests that drops traffic in one or both directions, or only on open connections.
package cutter
