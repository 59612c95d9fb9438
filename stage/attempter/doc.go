// Package attempter runs a request's attempts at the caller's entry: candidates, retries within a budget, quarantine.
package attempter
