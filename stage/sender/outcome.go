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

// errorResponse is the error body of the backend servers' protocol.
type errorResponse struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
	} `json:"error"`
}

func parseErrorResponse(body []byte) errorResponse {
	var r errorResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return errorResponse{}
	}
	return r
}

// answerEnd classifies a complete answer: refused before running, done, or a failure that may have run.
func answerEnd(status int, body []byte, call Call) streamer.End {
	switch {
	case status == http.StatusServiceUnavailable && parseErrorResponse(body).Error.Type == "not_run":
		return notRunEnd(streamer.ReasonRefused, errors.New("the backend server refused before running"))
	case status == http.StatusNotFound && call.Model != "":
		return notRunEnd(streamer.ReasonRefused, errors.New("the engine does not hold the adapter"))
	case status >= http.StatusInternalServerError:
		return streamer.End{Reason: streamer.ReasonFailed, Message: "the backend server failed: " + http.StatusText(status)}
	}
	return streamer.End{Outcome: retrier.Done}
}

func notRunEnd(reason streamer.Reason, err error) streamer.End {
	return streamer.End{Outcome: retrier.NotRun, Reason: reason, Message: err.Error()}
}

// unknownEnd returns the end of a call that may have run, with the cause of the incomplete answer.
func unknownEnd(err error) streamer.End {
	end := streamer.End{Outcome: retrier.Unknown, Reason: streamer.ReasonBroken, Message: err.Error()}
	var timeout net.Error
	switch {
	case errors.Is(err, errOversized):
		end.Reason = streamer.ReasonOversized
	case errors.Is(err, errMismatch):
		end.Reason = streamer.ReasonMismatched
	case errors.Is(err, streamer.ErrAbandoned):
		end.Reason = streamer.ReasonCancelled
	case errors.Is(err, streamer.ErrSlow):
		end.Reason = streamer.ReasonSlow
	case errors.As(err, &timeout) && timeout.Timeout():
		end.Reason = streamer.ReasonSilent
	}
	return end
}

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, eventBufferSize) }}

func acquireReader(r io.Reader) *bufio.Reader {
	br, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		br = bufio.NewReaderSize(nil, eventBufferSize)
	}
	br.Reset(r)
	return br
}

func releaseReader(br *bufio.Reader) {
	br.Reset(nil)
	readerPool.Put(br)
}
