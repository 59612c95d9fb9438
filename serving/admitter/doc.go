// Package admitter queues the work of one backend server, bounded and ordered by urgency and deadline.
package admitter
