// Package waiter waits for a duration or the end of a context, whichever comes first.
package waiter
