// Package tabulator renders the fault matrix page from the lists of cells beside the tests.
package tabulator
