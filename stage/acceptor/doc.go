// Package acceptor bounds the open connections of a listener, so that callers which send nothing don't use up a process's
// descriptors.
package acceptor
