package sender

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

const eventBufferSize = 8 << 10

// refusal is the error body of the backend servers' protocol.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

func parseRefusal(body []byte) refusal {
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil {
		return refusal{}
	}
	return r
}

// judge returns the end that a complete answer implies: refused before running, done, or a failure that may have run.
func judge(status int, body []byte, call Call) streamer.End {
	switch {
	case status == http.StatusServiceUnavailable && parseRefusal(body).Error.Type == "not_run":
		return notRun(streamer.ReasonRefused, errors.New("the backend server refused before running"))
	case status == http.StatusNotFound && call.Model != "":
		return notRun(streamer.ReasonRefused, errors.New("the engine does not hold the adapter"))
	case status >= http.StatusInternalServerError:
		return streamer.End{Reason: streamer.ReasonFailed, Message: "the backend server failed: " + http.StatusText(status)}
	}
	return streamer.End{Outcome: retrier.Done}
}

func notRun(reason streamer.Reason, err error) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: err.Error()}
}

// unknown returns the end of a call that may have run, with the reason why its answer is incomplete.
func unknown(err error) streamer.End {
	end := streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonBroken, Message: err.Error()}
	var timeout net.Error
	switch {
	case errors.Is(err, errOversized):
		end.Reason = streamer.ReasonOversized
	case errors.Is(err, errCrossed):
		end.Reason = streamer.ReasonCrossed
	case errors.Is(err, streamer.ErrAbandoned):
		end.Reason = streamer.ReasonCancelled
	case errors.Is(err, streamer.ErrSlow):
		end.Reason = streamer.ReasonSlow
	case errors.As(err, &timeout) && timeout.Timeout():
		end.Reason = streamer.ReasonSilent
	}
	return end
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferSize) }}

func acquireReader(r io.Reader) *bufio.Reader {
	br, ok := readers.Get().(*bufio.Reader)
	if !ok {
		br = bufio.NewReaderSize(nil, eventBufferSize)
	}
	br.Reset(r)
	return br
}

func releaseReader(br *bufio.Reader) {
	br.Reset(nil)
	readers.Put(br)
}
