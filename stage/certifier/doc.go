// Package certifier gives TLS listeners and clients their certificates from files, which may be replaced while a process runs.
package certifier
