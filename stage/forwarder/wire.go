package forwarder

import (
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/stage/streamer"
)

const (
	serveProcedure = "/redwing.forwarder/Serve"
	maxHomes       = 8
)

// serveRequest is a forwarded request; times are sent as durations, because clocks differ.
type serveRequest struct {
	Server       string        `cbor:"1,keyasint"`
	Last         bool          `cbor:"2,keyasint,omitempty"`
	ID           string        `cbor:"3,keyasint"`
	Caller       string        `cbor:"4,keyasint"`
	Service      string        `cbor:"5,keyasint"`
	Adapter      string        `cbor:"6,keyasint,omitempty"`
	Version      int           `cbor:"7,keyasint,omitempty"`
	Kind         string        `cbor:"8,keyasint"`
	Class        string        `cbor:"9,keyasint"`
	Urgent       bool          `cbor:"10,keyasint,omitempty"`
	Long         bool          `cbor:"11,keyasint,omitempty"`
	Idempotent   bool          `cbor:"12,keyasint,omitempty"`
	Stream       bool          `cbor:"13,keyasint,omitempty"`
	Method       string        `cbor:"14,keyasint"`
	URI          string        `cbor:"15,keyasint"`
	Type         string        `cbor:"16,keyasint,omitempty"`
	Accept       string        `cbor:"17,keyasint,omitempty"`
	Body         []byte        `cbor:"18,keyasint,omitempty"`
	Key          string        `cbor:"19,keyasint,omitempty"`
	Digest       [16]byte      `cbor:"20,keyasint"`
	Prefix       uint64        `cbor:"21,keyasint,omitempty"`
	MaxTokens    int           `cbor:"22,keyasint,omitempty"`
	Waited       time.Duration `cbor:"23,keyasint"`
	FirstTokenIn time.Duration `cbor:"24,keyasint,omitempty"`
	DeadlineIn   time.Duration `cbor:"25,keyasint,omitempty"`
	Homes        []homeFrame   `cbor:"26,keyasint,omitempty"`
	Hedge        bool          `cbor:"27,keyasint,omitempty"`
}

type homeFrame struct {
	Entry string `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"`
}

func newHomeFrames(homes []streamer.Home) []homeFrame {
	list := make([]homeFrame, 0, len(homes))
	for _, h := range homes {
		list = append(list, homeFrame(h))
	}
	return list
}

func toHomes(list []homeFrame) []streamer.Home {
	homes := make([]streamer.Home, 0, len(list))
	for _, f := range list {
		homes = append(homes, streamer.Home(f))
	}
	return homes
}

// frame is a part of an answer; an empty one is a heartbeat.
type frame struct {
	Head *headFrame `cbor:"1,keyasint,omitempty"`
	Data []byte     `cbor:"2,keyasint,omitempty"`
	End  *endFrame  `cbor:"3,keyasint,omitempty"`
}

type headFrame struct {
	Status   int            `cbor:"1,keyasint"`
	Type     string         `cbor:"2,keyasint"`
	Feedback *feedbackFrame `cbor:"3,keyasint,omitempty"`
}

// feedbackFrame is omitted if the owner has no feedback.
type feedbackFrame struct {
	Load float64 `cbor:"1,keyasint,omitempty"`
	Slow bool    `cbor:"2,keyasint,omitempty"`
}

func newFeedbackFrame(f streamer.Feedback) *feedbackFrame {
	if !f.Known {
		return nil
	}
	return &feedbackFrame{Load: f.Load, Slow: f.Slow}
}

func (f *feedbackFrame) toFeedback() streamer.Feedback {
	if f == nil {
		return streamer.Feedback{}
	}
	return streamer.Feedback{Known: true, Load: max(f.Load, 0), Slow: f.Slow}
}

type endFrame struct {
	Outcome    string         `cbor:"1,keyasint"`
	Reason     string         `cbor:"2,keyasint,omitempty"`
	Message    string         `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration  `cbor:"4,keyasint,omitempty"`
	Feedback   *feedbackFrame `cbor:"5,keyasint,omitempty"`
	CopyServer string         `cbor:"6,keyasint,omitempty"`
}

func newServeRequest(r *streamer.Request, server string, lastCandidate bool, now time.Time) *serveRequest {
	return &serveRequest{
		Server: server, Last: lastCandidate, ID: r.ID, Caller: r.Caller, Service: r.Target.Service, Adapter: r.Target.Adapter,
		Version: r.Target.Version, Kind: string(r.Kind), Class: r.Class, Urgent: r.Urgent, Long: r.Long,
		Idempotent: r.Idempotent, Stream: r.Stream, Method: r.Method, URI: r.URI, Type: r.Type, Accept: r.Accept,
		Body: r.Body, Key: r.Key, Digest: r.Digest, Prefix: r.Prefix, MaxTokens: r.MaxTokens,
		Waited: now.Sub(r.Arrived), FirstTokenIn: timeLeft(r.FirstTokenDeadline, now), DeadlineIn: timeLeft(r.Deadline, now),
		Homes: newHomeFrames(r.Homes), Hedge: r.Hedge,
	}
}

// timeLeft returns 0, which means no limit, only if t is not set.
func timeLeft(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	if d := t.Sub(now); d != 0 {
		return d
	}
	return -1
}

func deadlineAfter(d time.Duration, now time.Time) time.Time {
	if d == 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// toRequest validates a peer's message and returns its request.
func (w *serveRequest) toRequest(now time.Time) (*streamer.Request, error) {
	kind := configurer.Kind(w.Kind)
	switch {
	case w.Server == "":
		return nil, errors.New("server: missing")
	case w.Service == "":
		return nil, errors.New("service: missing")
	case kind != configurer.KindModel && kind != configurer.KindPlain:
		return nil, errors.Errorf("kind: unknown %q", w.Kind)
	case w.Method == "" || w.URI == "" || w.URI[0] != '/':
		return nil, errors.Errorf("call: bad method %q or URI %q", w.Method, w.URI)
	case w.Version < 0 || w.MaxTokens < 0:
		return nil, errors.New("version or tokens: negative")
	case len(w.Homes) > maxHomes:
		return nil, errors.Errorf("homes: %d, more than %d", len(w.Homes), maxHomes)
	case !w.Idempotent && w.Key == "":
		return nil, errors.New("key: missing on a non-idempotent call")
	}
	return &streamer.Request{
		ID: w.ID, Caller: w.Caller, Kind: kind, Class: w.Class, Urgent: w.Urgent, Long: w.Long,
		Target:     configurer.Target{Service: w.Service, Adapter: w.Adapter, Version: w.Version},
		Idempotent: w.Idempotent, Stream: w.Stream, Method: w.Method, URI: w.URI, Type: w.Type, Accept: w.Accept,
		Body: w.Body, Key: w.Key, Digest: w.Digest, Prefix: w.Prefix, MaxTokens: w.MaxTokens,
		Arrived: now.Add(-w.Waited), FirstTokenDeadline: deadlineAfter(w.FirstTokenIn, now), Deadline: deadlineAfter(w.DeadlineIn, now),
		Homes: toHomes(w.Homes), Hedge: w.Hedge,
	}, nil
}

func newEndFrame(e streamer.End) *endFrame {
	return &endFrame{
		Outcome: e.Outcome.String(), Reason: string(e.Reason), Message: e.Message, RetryAfter: e.RetryAfter,
		Feedback: newFeedbackFrame(e.Feedback), CopyServer: e.CopyServer,
	}
}

func (e *endFrame) toEnd() (streamer.End, error) {
	end := streamer.End{
		Reason: streamer.Reason(e.Reason), Message: e.Message, RetryAfter: e.RetryAfter, Feedback: e.Feedback.toFeedback(),
		CopyServer: e.CopyServer,
	}
	for _, o := range []retrier.Outcome{retrier.Unknown, retrier.NotRun, retrier.Done} {
		if o.String() == e.Outcome {
			end.Outcome = o
			return end, nil
		}
	}
	return end, errors.Errorf("end: unknown outcome %q", e.Outcome)
}
