// Package meter keeps the metrics of an entry process.
package meter
