// Command load sends an open schedule of requests to entries on loopback addresses and prints what callers saw.
package main
