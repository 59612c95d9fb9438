// Command redwingstaged runs the roles of the serving layer: entry, control, or all of them in one process with stand-ins.
package main
