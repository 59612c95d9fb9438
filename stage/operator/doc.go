// Package operator runs the operators' command line: settings, changes of the configuration, drains, replicas, audit.
package operator
