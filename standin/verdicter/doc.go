// Package verdicter evaluates the output of "go test -json" against a list of known failures.
package verdicter
