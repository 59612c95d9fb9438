// Package operator implements the operators' command line: settings, configuration changes, drains, replicas, audit.
package operator
