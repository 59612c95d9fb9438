// Package detector detects stragglers and stalled connections from an observer's own latency measurements.
package detector
