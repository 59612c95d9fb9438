// Command compare measures the traffic policy against baselines at a virtual time and prints a table, JSON and plots.
package main
