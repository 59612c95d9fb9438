// Package loader parses and checks the settings files of entry and control processes and reports all findings together.
package loader
