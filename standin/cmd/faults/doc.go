// Command faults writes the fault matrix page from the lists beside the tests.
package main
