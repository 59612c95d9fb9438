// Package controller is the control process: a replica of the control log, the leader's decisions, the streams to entries, and the client that entries use.
package controller
