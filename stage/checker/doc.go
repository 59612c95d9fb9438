// Package checker reads and validates JSON field by field and collects findings with file, path and reason.
package checker
