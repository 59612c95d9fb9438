// Package soaker sends bookings to a deployment while it kills and suspends its processes, then checks the ledgers.
package soaker
