// Package owner runs the scheduler for the backend servers that this entry owns, and executes its decisions.
package owner
