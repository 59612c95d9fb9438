// Package waiter waits for a time or the end of a context, whichever comes first.
package waiter
