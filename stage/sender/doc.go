// Package sender is the client of the backend servers' protocol: it writes each call at most once, and accepts an answer only if it is complete and belongs to the attempt.
package sender
