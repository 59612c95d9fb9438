// Command load sends open-loop load to entries on loopback addresses and prints outcomes and latencies.
package main
