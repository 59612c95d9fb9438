// Package loader parses and checks the settings of entry and control processes, with all findings.
package loader
