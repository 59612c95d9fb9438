// Package announcer announces a backend server to the entries at a fixed interval.
package announcer
