// Package booker runs non-idempotent calls at most once, by recording each before its first byte is sent.
package booker
