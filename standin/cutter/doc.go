// Package cutter relays TCP connections for tests and cuts them: both ways, one way, or only those that are open.
package cutter
