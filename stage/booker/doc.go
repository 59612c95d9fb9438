// Package booker runs bookings, which are non-idempotent calls, at most once, by recording each before it is sent.
package booker
