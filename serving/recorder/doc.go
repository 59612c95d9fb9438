// Package recorder stores the records of non-idempotent calls, so that each key runs at most once.
package recorder
