// Package generator loads entries, or stand-ins directly, with an open schedule of arrivals and measures what callers see.
package generator
