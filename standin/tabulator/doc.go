// Package tabulator writes the page of the fault matrix from the lists of cells that stand beside the tests.
package tabulator
