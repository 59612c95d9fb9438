// Package certifier loads TLS certificates of listeners and clients from files and reloads replaced ones without a restart.
package certifier
