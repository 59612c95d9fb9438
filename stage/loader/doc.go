// Package loader reads the settings of the entry and control processes and reports all findings together.
package loader
