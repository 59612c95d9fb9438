// Package checker validates JSON field by field and collects findings with file, path and reason.
package checker
