// Package announcer tells entries of a backend server, again and again.
package announcer
