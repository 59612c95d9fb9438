// Package demonstrator runs the whole system with stand-ins of the backend servers in one process, for a first look.
package demonstrator
