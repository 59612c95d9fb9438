// Package generator sends open-loop load to entries, or directly to stand-ins, and measures outcomes and latencies.
package generator
