// Package demonstrator runs the whole system, with stand-ins for backend servers, in one process as a demo.
package demonstrator
