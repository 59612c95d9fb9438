// Package cutter puts network faults between the processes of a test: a Cutter relays to one target and drops bytes in one or
// both directions, a Network connects several processes within one test.
package cutter
