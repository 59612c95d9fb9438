// Package detector finds stragglers and silent connections from an observer's own measurements.
package detector
