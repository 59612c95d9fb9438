// Package sender speaks the backend servers' protocol: each call is written at most once, and an answer counts only whole and for its own attempt.
package sender
