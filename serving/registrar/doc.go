// Package registrar keeps the roster of entries and backend servers and decides which entry owns which backend server.
package registrar
