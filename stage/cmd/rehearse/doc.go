// Command rehearse runs a deployment of separate processes on loopback, with stand-ins of its backend servers.
package main
