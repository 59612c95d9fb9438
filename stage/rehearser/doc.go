// Package rehearser runs a whole deployment as separate processes on loopback, with stand-ins for its backend servers.
package rehearser
