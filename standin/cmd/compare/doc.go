// Command compare measures the traffic policy against baselines in virtual time and prints a table, JSON and plots.
package main
