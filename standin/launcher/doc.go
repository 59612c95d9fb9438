// Package launcher starts processes for tests and benchmarks, and kills, suspends and restarts them.
package launcher
