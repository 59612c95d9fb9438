// Command faults writes the page of the fault matrix from the lists beside the tests.
package main
