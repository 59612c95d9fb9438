package governor

import (
	"net/http"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/stage/collector"
)

const (
	// messageShare is the share of the process's memory for messages that are being received, minMessageBudget what the largest one
	// needs in bytes.
	messageShare     = 0.1
	minMessageBudget = 20 << 20
	// maxStreams bounds the streams of a connection: its peer opens another one beyond them. receiveWindow is what may wait for their
	// readers in bytes.
	maxStreams    = 16
	receiveWindow = 128 << 10
)

// newServer returns the server of the system's own processes; memory is the process's in bytes, 0 if unknown.
func newServer(handler http.Handler, memory int64) *http.Server {
	// A budget of 0 means the collector's default.
	var budget int64
	if memory > 0 {
		budget = max(int64(messageShare*float64(memory)), minMessageBudget)
	}
	s := encoder.NewServer(collector.NewWithBudget(budget).Handler(handler))
	s.HTTP2.MaxConcurrentStreams = maxStreams
	s.HTTP2.MaxReceiveBufferPerConnection, s.HTTP2.MaxReceiveBufferPerStream = receiveWindow, receiveWindow
	return s
}
