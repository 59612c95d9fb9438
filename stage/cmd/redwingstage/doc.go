// Command redwingstage is the operators' command line of the serving layer.
package main
