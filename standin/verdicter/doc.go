// Package verdicter judges the output of "go test -json" against a list of tests that are known to fail.
package verdicter
