// Package launcher runs processes for tests and measurements, and kills, freezes and restarts them.
package launcher
