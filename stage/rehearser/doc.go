// Package rehearser runs a whole deployment as separate processes on loopback, with stand-ins of its backend servers.
package rehearser
