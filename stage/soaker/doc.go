// Package soaker sends bookings to a deployment while it kills and freezes its processes, then checks the ledgers.
package soaker
