// Package sender calls backend servers: it writes each call at most once and accepts only complete answers to the attempt.
package sender
