// Command verdict reads the output of "go test -json" and fails unless all tests but the known-red ones passed.
package main
