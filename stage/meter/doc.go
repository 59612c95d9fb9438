// Package meter exports an entry's Prometheus metrics.
package meter
