package generator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/inferer"
)

// Outcomes of a request; not-run and unknown can also come from the outcome header.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	// outcomeBroken means that the answer was malformed, or ended cleanly before it was complete and without an error event.
	outcomeBroken = "broken"
	// outcomeCut means that the connection failed before the answer was complete.
	outcomeCut = "cut"
	// outcomeWrong means that the answer doesn't match the request.
	outcomeWrong = "wrong"
	// outcomeFailed means that there was no answer, or an error without an outcome header.
	outcomeFailed = "failed"
)

// result is the measured outcome of one request.
type result struct {
	arrival
	outcome    string
	firstToken time.Duration // since the scheduled arrival
	total      time.Duration
	tokens     int
	gaps       []time.Duration // between tokens
}

// call sends one request and reads its whole answer; due is its scheduled send time.
func (g *generator) call(a arrival, due time.Time) result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	g.prepare(req, a)
	res := result{arrival: a, outcome: outcomeFailed}
	err := g.client.DoTimeout(req, resp, g.cfg.Timeout)
	if err == nil {
		if a.kind == kindShort || a.kind == kindLong {
			g.readStream(resp, due, &res)
		} else {
			res.firstToken = time.Since(due)
			g.readServiceAnswer(resp, &res)
		}
	}
	res.total = time.Since(due)
	return res
}

func (g *generator) prepare(req *fasthttp.Request, a arrival) {
	req.Header.SetMethod(http.MethodPost)
	req.Header.Set(marker.RequestID, a.marker)
	switch a.kind {
	case kindBooking:
		req.SetRequestURI("http://" + g.addrFor(a) + "/services/" + g.cfg.Service + "/bookings")
		req.Header.Set(marker.IdempotencyKey, a.marker)
		req.Header.SetContentType("application/json")
		req.SetBodyString(`{"item":"item-` + strconv.Itoa(a.n%10) + `","quantity":1}`)
	case kindStock:
		req.SetRequestURI("http://" + g.addrFor(a) + "/services/" + g.cfg.Service + "/stock/" + a.marker)
		req.Header.SetMethod(http.MethodGet)
	case kindShort, kindLong:
		req.SetRequestURI("http://" + g.addrFor(a) + "/v1/chat/completions")
		req.Header.SetContentType("application/json")
		class := g.cfg.Class
		if a.kind == kindLong {
			class = g.cfg.LongClass
		}
		if class != "" && !a.direct {
			req.Header.Set(marker.Class, class)
		}
		req.SetBodyString(`{"model":"` + a.model + `","stream":true,"max_tokens":` + strconv.Itoa(a.tokens) +
			`,"messages":[{"role":"user","content":"plan the wall ` + a.marker + `"}]}`)
	}
}

// addrFor returns the address for a request: entries, or engines for direct requests, in turn.
func (g *generator) addrFor(a arrival) string {
	if a.direct {
		return g.cfg.Direct[a.n/2%len(g.cfg.Direct)]
	}
	return g.cfg.Entries[a.n%len(g.cfg.Entries)]
}

// outcomeOfFailure returns the outcome of an unsuccessful answer from its outcome header.
func outcomeOfFailure(resp *fasthttp.Response) string {
	switch outcome := string(resp.Header.Peek(marker.Outcome)); outcome {
	case outcomeNotRun, outcomeUnknown:
		return outcome
	}
	return outcomeFailed
}

func (g *generator) readServiceAnswer(resp *fasthttp.Response, res *result) {
	if resp.StatusCode()/100 != 2 {
		res.outcome = outcomeOfFailure(resp)
		return
	}
	b := resp.Body()
	res.outcome = outcomeDone
	var body struct{ Key, Item string }
	if err := json.Unmarshal(b, &body); err != nil || body.Key+body.Item == "" {
		res.outcome = outcomeBroken
		return
	}
	if res.kind == kindBooking && body.Key != res.marker || res.kind == kindStock && body.Item != res.marker {
		res.outcome = outcomeWrong
	}
}

var (
	dataPrefix  = []byte("data: ")
	doneMarker  = []byte("[DONE]")
	errorPrefix = []byte(`{"error"`)
	textKeys    = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}
)

// readBufferSize is in bytes and holds several events.
const readBufferSize = 16 << 10

// readStream reads the events and checks whether they are the whole answer to this request.
func (g *generator) readStream(resp *fasthttp.Response, due time.Time, res *result) {
	stream := resp.BodyStream()
	if stream == nil {
		res.outcome = outcomeOfFailure(resp)
		return
	}
	r := bufio.NewReaderSize(stream, readBufferSize)
	defer func() { _, _ = io.Copy(io.Discard, r) }() // the connection is reused only after its body was read
	if resp.StatusCode() != http.StatusOK {
		res.outcome = outcomeOfFailure(resp)
		return
	}
	res.outcome = outcomeBroken
	var text strings.Builder
	lastToken := due
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				res.outcome = outcomeCut
			}
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		switch {
		case !ok:
		case bytes.Equal(data, doneMarker):
			res.outcome = checkText(res.arrival, text.String())
			return
		case bytes.HasPrefix(data, errorPrefix):
			res.outcome = outcomeUnknown
			return
		default:
			now := time.Now()
			if res.tokens == 0 {
				res.firstToken = now.Sub(due)
			} else {
				res.gaps = append(res.gaps, now.Sub(lastToken))
			}
			lastToken = now
			res.tokens++
			text.Write(tokenText(data))
		}
	}
}

// tokenText returns the text of an event; the stand-ins' texts contain no escapes.
func tokenText(data []byte) []byte {
	for _, key := range textKeys {
		if _, rest, ok := bytes.Cut(data, key); ok {
			token, _, _ := bytes.Cut(rest, []byte{'"'})
			return token
		}
	}
	return nil
}

// checkText compares a text with the one that a stand-in engine generates for the request; an entry may have chosen the version.
func checkText(a arrival, text string) string {
	model, _, _ := strings.Cut(text, " ")
	name, _, _ := strings.Cut(model, "@")
	wanted, _, _ := strings.Cut(a.model, "@")
	if name != wanted || text != inferer.AnswerText(model, a.marker, a.tokens) {
		return outcomeWrong
	}
	return outcomeDone
}
