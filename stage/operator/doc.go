// Package operator implements the operators' command line: settings, configuration changes, drains, replicas and audit.
package operator
