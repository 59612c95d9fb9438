// Package attempter takes a request to its end at the caller's entry: candidates, retries within a budget, quarantine.
package attempter
