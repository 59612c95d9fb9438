// Command verdict reads the output of "go test -json" and exits with status 1 if anything but known failures failed or no test passed.
package main
