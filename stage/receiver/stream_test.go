package receiver

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

// scriptExecutor is an Executor that runs the given function.
type scriptExecutor struct {
	fakeControl

	script func(sink streamer.Sink) streamer.End
}

// Execute implements Executor.
func (d *scriptExecutor) Execute(_ context.Context, _ *streamer.Request, sink streamer.Sink) streamer.End {
	return d.script(sink)
}

// A broken answer doesn't look complete to its caller, but its HTTP framing is valid and the connection is kept.
func TestStreamEnds(t *testing.T) {
	const event, endMarker = `data: {"choices":[{"index":0,"text":"a"}]}` + "\n\n", "data: [DONE]\n\n"
	const whole = `{"choices":[{"index":0,"text":"aa"}]}`
	eventHead := streamer.Head{Status: http.StatusOK, Type: "text/event-stream"}
	jsonHead := streamer.Head{Status: http.StatusBadRequest, Type: "application/json"}
	done := streamer.End{Outcome: retrier.Done}
	broken := streamer.End{Reason: streamer.ReasonBroken, Message: "m"}
	problem := `{"error":{"message":"m","type":"server_error","param":null,"code":"broken","outcome":"unknown"}}`
	errorEvent := "event: error\ndata: " + problem + "\n\n"
	tests := []struct {
		name string
		// script lists heads, data and the end in order.
		script []any
		// streamed and whole are the bodies with and without streaming.
		streamed, whole             string
		streamedStatus, wholeStatus int
		outcome                     string
	}{
		{"whole", []any{eventHead, event, event, endMarker, done}, event + event + endMarker, whole, 200, 200, "done"},
		{"head of a second attempt", []any{eventHead, event, jsonHead, event, endMarker, done}, event + event + endMarker, whole, 200, 200, "done"},
		{"broken", []any{eventHead, event, broken}, event + errorEvent, problem, 200, 502, "unknown"},
		{"broken before the end marker", []any{eventHead, event, event, broken}, event + event + errorEvent, problem, 200, 502, "unknown"},
		{"broken after the head", []any{eventHead, broken}, errorEvent, problem, 200, 502, "unknown"},
		{"broken before the head", []any{broken}, problem, problem, 502, 502, "unknown"},
		{"broken refusal", []any{jsonHead, "{", broken}, problem, problem, 502, 502, "unknown"},
		{"refusal", []any{jsonHead, "{}", done}, "{}", "{}", 400, 400, "done"},
	}
	for _, tt := range tests {
		executor := &scriptExecutor{script: func(sink streamer.Sink) streamer.End {
			for _, step := range tt.script {
				switch step := step.(type) {
				case streamer.Head:
					sink.Head(step)
				case string:
					if err := sink.Data([]byte(step)); err != nil {
						return streamer.End{Message: err.Error()}
					}
				case streamer.End:
					return step
				}
			}
			return streamer.End{}
		}}
		for _, streamed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%v", tt.name, streamed), func(t *testing.T) {
				c := qt.New(t)
				conn, br := dial(c, startReceiver(c, Config{}, executor))
				body := fmt.Sprintf(`{"model":"base","prompt":"x","stream":%v}`, streamed)
				_, err := fmt.Fprintf(conn, generationFormat, len(body), body)
				c.Assert(err, qt.IsNil)
				res, err := http.ReadResponse(br, nil)
				c.Assert(err, qt.IsNil)
				defer res.Body.Close()
				got, err := io.ReadAll(res.Body)
				c.Assert(err, qt.IsNil)
				want, status := tt.whole, tt.wholeStatus
				if streamed {
					want, status = tt.streamed, tt.streamedStatus
				}
				c.Check(string(got), qt.Equals, want)
				c.Check(res.StatusCode, qt.Equals, status)
				c.Check(res.Header.Get(marker.Outcome)+res.Trailer.Get(marker.Outcome), qt.Equals, tt.outcome)
				c.Check(healthCheckOK(conn, br), qt.IsTrue)
			})
		}
	}
}
