// Package admitter queues the work of one backend server in bounded memory, by urgency and deadline.
package admitter
