// Package checker reads JSON field by field and collects all findings with file, path and reason.
package checker
