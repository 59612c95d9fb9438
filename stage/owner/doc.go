// Package owner runs the scheduler of the backend servers that this entry owns, and carries out its decisions.
package owner
