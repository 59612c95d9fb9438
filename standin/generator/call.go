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

// Outcomes that the generator itself judges; the others are those of the outcome header.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	// outcomeBroken means that an answer ended in good order before its end, without an error event.
	outcomeBroken = "broken"
	// outcomeCut means that the connection broke before the answer's end.
	outcomeCut = "cut"
	// outcomeWrong means that an answer isn't that of the request.
	outcomeWrong = "wrong"
	// outcomeFailed means that there was no answer.
	outcomeFailed = "failed"
)

// result is what one request gave.
type result struct {
	arrival
	outcome string
	first   time.Duration // from the scheduled arrival
	total   time.Duration
	tokens  int
	gaps    []time.Duration
}

// call sends one request and reads its whole answer; due is the time at which it should have been sent.
func (g *run) call(a arrival, due time.Time) result {
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
			res.first = time.Since(due)
			g.readWhole(resp, &res)
		}
	}
	res.total = time.Since(due)
	return res
}

func (g *run) prepare(req *fasthttp.Request, a arrival) {
	req.Header.SetMethod(http.MethodPost)
	req.Header.Set(marker.Request, a.marker)
	switch a.kind {
	case kindBooking:
		req.SetRequestURI("http://" + g.target(a) + "/services/" + g.cfg.Service + "/bookings")
		req.Header.Set(marker.Key, a.marker)
		req.Header.SetContentType("application/json")
		req.SetBodyString(`{"item":"item-` + strconv.Itoa(a.n%10) + `","quantity":1}`)
	case kindStock:
		req.SetRequestURI("http://" + g.target(a) + "/services/" + g.cfg.Service + "/stock/" + a.marker)
		req.Header.SetMethod(http.MethodGet)
	case kindShort, kindLong:
		req.SetRequestURI("http://" + g.target(a) + "/v1/chat/completions")
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

// target spreads requests over the entries, or over the engines of a comparison.
func (g *run) target(a arrival) string {
	if a.direct {
		return g.cfg.Direct[a.n/2%len(g.cfg.Direct)]
	}
	return g.cfg.Entries[a.n%len(g.cfg.Entries)]
}

// refused returns the outcome of an answer that isn't a success.
func refused(resp *fasthttp.Response) string {
	switch outcome := string(resp.Header.Peek(marker.Outcome)); outcome {
	case outcomeNotRun, outcomeUnknown:
		return outcome
	}
	return outcomeFailed
}

func (g *run) readWhole(resp *fasthttp.Response, res *result) {
	if resp.StatusCode()/100 != 2 {
		res.outcome = refused(resp)
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
	dataField = []byte("data: ")
	endMarker = []byte("[DONE]")
	errField  = []byte(`{"error"`)
	texts     = [][]byte{[]byte(`"content":"`), []byte(`"text":"`)}
)

// readBuffer holds several events.
const readBuffer = 16 << 10

// readStream reads the events and judges whether they are the whole answer to this request.
func (g *run) readStream(resp *fasthttp.Response, due time.Time, res *result) {
	stream := resp.BodyStream()
	if stream == nil {
		res.outcome = refused(resp)
		return
	}
	r := bufio.NewReaderSize(stream, readBuffer)
	defer func() { _, _ = io.Copy(io.Discard, r) }() // only at the end of its body is a connection used again
	if resp.StatusCode() != http.StatusOK {
		res.outcome = refused(resp)
		return
	}
	res.outcome = outcomeBroken
	var text strings.Builder
	last := due
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				res.outcome = outcomeCut
			}
			return
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		switch {
		case !ok:
		case bytes.Equal(data, endMarker):
			res.outcome = judge(res.arrival, text.String())
			return
		case bytes.HasPrefix(data, errField):
			res.outcome = outcomeUnknown
			return
		default:
			now := time.Now()
			if res.tokens == 0 {
				res.first = now.Sub(due)
			} else {
				res.gaps = append(res.gaps, now.Sub(last))
			}
			last = now
			res.tokens++
			text.Write(tokenOf(data))
		}
	}
}

// tokenOf returns the text of an event; the stand-ins' texts hold no escapes.
func tokenOf(data []byte) []byte {
	for _, key := range texts {
		if _, rest, ok := bytes.Cut(data, key); ok {
			token, _, _ := bytes.Cut(rest, []byte{'"'})
			return token
		}
	}
	return nil
}

// judge compares a text with what a stand-in engine generates for the request; the version may be the entry's choice.
func judge(a arrival, text string) string {
	model, _, _ := strings.Cut(text, " ")
	name, _, _ := strings.Cut(model, "@")
	wanted, _, _ := strings.Cut(a.model, "@")
	if name != wanted || text != inferer.Answer(model, a.marker, a.tokens) {
		return outcomeWrong
	}
	return outcomeDone
}
