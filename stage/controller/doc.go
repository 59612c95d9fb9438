// Package controller is the control process: a replica of the control log, the leader's state, the streams to entries, and the client that entries use.
package controller
