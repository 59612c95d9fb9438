// Package acceptor bounds the open connections of a listener and what waits in them, so that callers which send or read nothing don't
// use up a process's descriptors and memory.
package acceptor
