package relayer

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/parser"
	"redwingstage.org/standin/malformer"
)

// exploreSeeds is the number of seeds, from 0; only this package has the flag.
var exploreSeeds = flag.Int("explore.seeds", 2400, "number of seeds of the randomized test of streams")

// engineResponse is how an engine responds to one request: from the resume header's event on unless its fault says otherwise.
type engineResponse struct {
	status int
	// fault is one of: torn (cut short), twice (a second copy follows), anew (the entry's resume header is ignored), unsealed,
	// unended (no event, and no last chunk), not run.
	fault string
	// length is parser.LengthChunked, parser.LengthUntilClose, or 0 for a Content-Length.
	length int
	// malformed is a line of the head that no head may hold, or "".
	malformed string
	// body is an error response's body, partSize the size in bytes of the parts written, 0 for one event each.
	body     string
	partSize int
	// tornShare is the share of a torn body that is sent; tornAtPart is set if it ends with a complete part, reset if with a reset.
	tornShare         float64
	tornAtPart, reset bool
	// ends is set if the engine's process ends with the response: its connections end in order, and it answers no probe.
	ends bool
	// pause is the delay before each of the first parts and before the end, stall the one before the second part.
	pause, stall time.Duration
}

// engineRun is a request that reached an engine, with the engine's response.
type engineRun struct {
	engineResponse
	engine  int
	seal    string
	resumes []string
}

// scenario is the random scenario of one seed, and the requests that reached its engines.
type scenario struct {
	method, resume string
	// ids and texts are the events of the correct response.
	ids, texts []string
	route      matcher.Route
	scripts    [][]engineResponse

	mu       sync.Mutex
	runs     []engineRun
	requests [5]int
	// ended are the engines whose processes have ended and got no request since.
	ended [5]bool
	// secondArrived is set if a request arrived on the same connection after the first one's response.
	secondArrived bool
}

func randomScenario(seed uint64) *scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &scenario{method: []string{http.MethodHead, http.MethodPost}[min(r.IntN(20), 1)]}
	s.ids, s.texts = randomEvents(r)
	s.route = matcher.Route{
		Name: "stream", Host: testHost, Prefix: "/stream/", Stream: true, Timeout: 20 * time.Second,
		LatencyTarget: 300 * time.Millisecond, MaxPause: 100 * time.Millisecond, Attempts: 1, Shares: []matcher.Share{{Service: "s", Weight: 1}},
	}
	if r.IntN(4) > 0 {
		s.route.Resumable, s.route.Attempts = true, 2+r.IntN(3)
		if len(s.ids) > 0 && r.IntN(5) == 0 {
			s.resume = s.ids[r.IntN(len(s.ids))]
		}
	}
	var stall time.Duration
	if r.IntN(40) == 0 {
		stall = gapFloor + 200*time.Millisecond
	}
	for range 2 + r.IntN(len(s.requests)-1) {
		script := []engineResponse{randomResponse(r), randomResponse(r)}
		script[0].stall = stall
		s.scripts = append(s.scripts, script)
	}
	return s
}

func randomEvents(r *rand.Rand) (ids, texts []string) {
	newline := []string{"\n", "\r\n"}[r.IntN(2)]
	stride, id := 1+4*r.IntN(2), 0
	for range r.IntN(13) {
		id += 1 + r.IntN(stride)
		lines := []string{"id: " + strconv.Itoa(id), "data: " + randomData(r, len(newline))}
		for _, more := range []string{"event: token", "retry: 100", ": a comment", "data: " + randomData(r, len(newline))} {
			if r.IntN(6) == 0 {
				lines = slices.Insert(lines, r.IntN(len(lines)+1), more)
			}
		}
		if r.IntN(20) == 0 {
			lines = slices.Insert(lines, 0, "weight-versions: 3")
		}
		ids, texts = append(ids, strconv.Itoa(id)), append(texts, strings.Join(lines, newline)+newline+newline)
	}
	return ids, texts
}

// randomData returns text for a data line; some ends, or has text like an id field, at a multiple of the reader's buffer.
func randomData(r *rand.Rand, newlineSize int) string {
	bufferEnd := serverBufferBytes*(1+r.IntN(3)) - len("data: ")
	switch r.IntN(12) {
	case 0, 1:
		return strings.Repeat("x", bufferEnd-newlineSize+r.IntN(5)-1)
	case 2:
		return strings.Repeat("x", bufferEnd) + "id: 7"
	case 3:
		return strings.Repeat("x", r.IntN(3*serverBufferBytes))
	}
	return strings.Repeat("x", r.IntN(40))
}

func randomResponse(r *rand.Rand) engineResponse {
	faults := strings.Split(",,,,torn,torn,torn,torn,torn,torn,twice,twice,anew,unsealed,unended", ",")
	statuses := []int{204, 500, 500, 504, 404, 401, 400, 429, 503, 503, 421}
	a := engineResponse{status: 200, fault: faults[r.IntN(len(faults))]}
	if r.IntN(7) < 2 {
		a = engineResponse{status: statuses[r.IntN(len(statuses))]}
	}
	if a.status == 421 || a.status == 503 && r.IntN(3) > 0 {
		a.fault = "not run"
	}
	a.length = []int{0, parser.LengthChunked, parser.LengthUntilClose}[r.IntN(3)]
	a.tornShare, a.tornAtPart, a.reset = r.Float64(), r.IntN(2) == 0, r.IntN(2) == 0
	a.pause = time.Duration(r.IntN(4)) * time.Millisecond
	if r.IntN(3) == 0 {
		a.partSize = 100 + r.IntN(2*serverBufferBytes)
	}
	switch {
	case a.status >= 300:
		a.body = []string{"", "failed"}[r.IntN(2)]
	case a.status == 204:
		a.length = 0
	case a.fault == "unended", a.length == parser.LengthUntilClose && a.fault == "twice":
		a.length = parser.LengthChunked
	case a.length == parser.LengthUntilClose && a.fault == "torn":
		// A body without a length ends with its connection; a reset shows that it is incomplete, even after its last byte, or nothing but
		// the end of its engine does.
		a.tornShare, a.ends = min(1.3*a.tornShare, 1), !a.reset
	}
	return a
}

// eventsAfter returns the events after the one that a resume header names, or all.
func (s *scenario) eventsAfter(resume string) []string {
	return slices.Clone(s.texts[slices.Index(s.ids, resume)+1:])
}

// bodyParts returns the parts of a response's body as they are written, and its Content-Length.
func (s *scenario) bodyParts(a engineResponse, resume string) (parts []string, length int) {
	switch {
	case a.status >= 300:
		parts = strings.Fields(a.body)
	case a.fault == "anew":
		parts = s.eventsAfter(s.resume) // The caller's own resume header is part of its request.
	case a.status == 200 && a.fault != "unended":
		parts = s.eventsAfter(resume)
	}
	text := strings.Join(parts, "")
	if a.partSize > 0 {
		parts = nil
		for b := range slices.Chunk([]byte(text), a.partSize) {
			parts = append(parts, string(b))
		}
	}
	if a.length == parser.LengthChunked {
		for i, p := range parts {
			parts[i] = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if a.fault != "unended" {
			parts = append(parts, "0\r\n\r\n")
		}
	}
	sent := strings.Join(parts, "")
	switch {
	case a.fault != "torn":
		return parts, len(text)
	case a.tornAtPart:
		return parts[:int(a.tornShare*float64(len(parts)))], max(len(text), 1)
	}
	return []string{sent[:int(a.tornShare*float64(len(sent)))]}, max(len(text), 1)
}

// head returns a response's head.
func (a engineResponse) head(r *http.Request, seal string, length int) string {
	seal = testSeal + ": " + seal
	var headers []string
	if a.length == parser.LengthChunked {
		headers = append(headers, "Transfer-Encoding: chunked")
	} else if a.length == 0 && a.status != 204 {
		headers = append(headers, fmt.Sprintf("Content-Length: %d", length))
	}
	switch a.fault {
	case "not run":
		headers = append(headers, testNotRun+": 1")
	case "unsealed":
		seal = "X-Lost: 1"
	}
	if a.malformed != "" {
		headers = append(headers, a.malformed)
	}
	return strings.Replace(responseHead(r, a.status, headers...), testSeal+": seal", seal, 1)
}

// write writes a head and parts with pauses between them, until a write fails.
func (a engineResponse) write(w io.Writer, head string, parts []string) {
	for i, p := range slices.Concat([]string{head}, parts) {
		if i < 10 {
			time.Sleep(a.pause)
		}
		if i == 2 {
			time.Sleep(a.stall)
		}
		if _, err := io.WriteString(w, p); err != nil {
			return
		}
	}
}

// respond responds to a request; false closes the connection.
func (s *scenario) respond(w *net.TCPConn, r *http.Request, engine int) bool {
	a, seal := s.recordRun(engine, r)
	parts, length := s.bodyParts(a, r.Header.Get(testResume))
	isHead, isTorn := r.Method == http.MethodHead, a.fault == "torn" || a.fault == "unended"
	switch {
	case isHead && isTorn:
		return false
	case isHead:
		parts = nil
	}
	a.write(w, a.head(r, seal, length), parts)
	if a.fault == "twice" && !isHead {
		a.write(w, a.head(r, seal, length), parts)
	}
	time.Sleep(a.pause)
	switch {
	case isTorn && a.reset:
		_ = w.SetLinger(0)
	case a.ends:
		s.setEnded(engine, true)
	}
	return !isTorn && a.length != parser.LengthUntilClose
}

// recordRun records a request at an engine and returns how the engine responds to it, and with which seal.
func (s *scenario) recordRun(engine int, r *http.Request) (engineResponse, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Header.Get(testAttempt) == "id-2" {
		s.secondArrived = true
		return engineResponse{status: 404, body: "second"}, "second"
	}
	s.ended[engine] = false
	a := s.scripts[engine][min(s.requests[engine], len(s.scripts[engine])-1)]
	s.requests[engine]++
	seal := fmt.Sprintf("%d-%d", engine, s.requests[engine])
	s.runs = append(s.runs, engineRun{a, engine, seal, r.Header.Values(testResume)})
	return a, seal
}

// serveConn serves the requests of one connection to an engine.
func (s *scenario) serveConn(engine int, conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for ok := true; ok; {
		r, err := http.ReadRequest(br)
		switch {
		case err != nil:
			return
		case r.URL.Path == testHealthPath:
			ok = s.respondToProbe(conn, engine)
		default:
			ok = s.respond(conn, r, engine)
		}
	}
}

// respondToProbe responds to a probe; false means that the engine's process has ended.
func (s *scenario) respondToProbe(w io.Writer, engine int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended[engine] {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: s%d\r\nContent-Length: 0\r\n\r\n", testInstance, engine)
	}
	return !s.ended[engine]
}

func (s *scenario) setEnded(engine int, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[engine] = ended
}

// startEngine starts an engine.
func (s *scenario) startEngine(c *qt.C, engine int) tracker.Instance {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	context.AfterFunc(c.Context(), func() { _ = ln.Close() })
	go func() {
		for conn, err := ln.AcceptTCP(); err == nil; conn, err = ln.AcceptTCP() {
			context.AfterFunc(c.Context(), func() { _ = conn.Close() })
			go s.serveConn(engine, conn)
		}
	}()
	key := tracker.Key{ID: fmt.Sprintf("s%d", engine), StartedMS: 1}
	return tracker.Instance{Key: key, Service: "s", Zone: "z", Addr: ln.Addr().String(), Slots: 200}
}

// check runs an entry in front of the engines and returns the errors in its responses to one caller.
func (s *scenario) check(c *qt.C) error {
	e := startEntry(c)
	plain := s.route
	plain.Name, plain.Prefix, plain.Stream, plain.Resumable, plain.Attempts = "plain", "/plain/", false, false, 1
	table, err := matcher.New(1, []matcher.Route{s.route, plain}, []matcher.Service{{Name: "s", HealthPath: testHealthPath}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	e.table.Store(table)
	down := governor.DownMessage{Welcome: &governor.Welcome{LeaderEpoch: 1}, Entries: 1}
	for i := range s.scripts {
		down.Engines = append(down.Engines, s.startEngine(c, i))
	}
	e.control.applyMessage(down)
	l := dial(c, e)
	c.Assert(l.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	headers := []string{testDeadline + ": 9000", testResume + ": " + s.resume}
	l.send(c, s.method, "/stream/", "", headers[:1+min(len(s.resume), 1)]...)
	got, err := l.tryReceive(s.method)
	return errors.Join(err, s.checkResponse(got), s.checkNextRequest(l, got))
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// tryReceive reads a response; the status is 0 if the connection ended without one, and -1 for malformed bytes.
func (l *caller) tryReceive(method string) (received, error) {
	if _, err := l.br.Peek(1); err != nil {
		return received{}, errors.Wrap(ignoreEOF(err), "no response") // "502 and 504, and a closed connection, promise nothing."
	}
	resp, err := http.ReadResponse(l.br, &http.Request{Method: method})
	if err != nil {
		return received{status: -1}, errors.Wrap(err, "malformed response")
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return received{resp.StatusCode, resp.Header, string(body), resp.Close, err}, nil
}

// checkResponse returns the errors in a response and in the runs behind it.
func (s *scenario) checkResponse(got received) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran, err := 0, s.checkSeal(got)
	for _, r := range s.runs {
		if r.fault != "not run" || r.malformed != "" {
			ran++
		}
		if len(r.resumes) > 1 || len(r.resumes) == 1 && !slices.Contains(s.ids, r.resumes[0]) {
			err = errors.Join(err, errors.Errorf("an engine got the resume headers %q", r.resumes))
		}
	}
	if ran > s.route.Attempts || ran > 1 && !s.route.Resumable {
		err = errors.Join(err, errors.Errorf("%d engines ran it", ran))
	}
	// Status, body and seal of a server's response are forwarded unchanged. A false "not run" is an error only for requests that
	// aren't idempotent: a server's own status may reach the caller of a resumable stream.
	notRunAllowed := ran == 0 || s.route.Resumable && got.header.Get(testSeal) != ""
	if slices.Contains([]int{408, 421, 429, 503}, got.status) && !notRunAllowed {
		err = errors.Join(err, errors.Errorf("status %d means that no engine ran it, but %d did", got.status, ran))
	}
	if got.status == http.StatusOK {
		err = errors.Join(err, s.checkBody(got))
	}
	return err
}

// checkSeal returns the errors in a response's head: which run it came from, and with which status.
func (s *scenario) checkSeal(got received) error {
	seal := got.header.Get(testSeal)
	i := slices.IndexFunc(s.runs, func(r engineRun) bool { return r.seal == seal })
	switch {
	case seal == "" && !isSuccess(got.status):
		return nil
	case i < 0 || got.header.Get(testAttempt) != "id-1":
		return errors.Errorf("a response with the unknown seal %q or another attempt id", seal)
	case s.runs[i].malformed != "":
		return errors.Errorf("the seal of a response with the malformed line %q", s.runs[i].malformed)
	case s.runs[i].status != got.status:
		return errors.Errorf("status %d with the seal of a response with status %d", got.status, s.runs[i].status)
	case isSuccess(got.status) && strings.Join(s.runs[i].resumes, "") != s.resume:
		return errors.New("the seal isn't that of the first run")
	}
	return nil
}

// checkBody returns the errors in the body of a successful response.
func (s *scenario) checkBody(got received) error {
	var want string
	eventEnds := map[int]bool{0: true}
	if s.method != http.MethodHead {
		for _, text := range s.eventsAfter(s.resume) {
			want += text
			eventEnds[len(want)] = true
		}
	}
	switch {
	case got.err != nil && !errors.Is(got.err, io.ErrUnexpectedEOF):
		return errors.Wrap(got.err, "the response ended")
	case !strings.HasPrefix(want, got.body):
		return errors.Errorf("events are missing, duplicated or joined (truncated: %t): %s", got.err != nil, abbreviate(got.body))
	case got.err == nil && got.body != want:
		return errors.Errorf("complete after %d bytes of %d: %s", len(got.body), len(want), abbreviate(got.body))
	case !eventEnds[len(got.body)]:
		return errors.Errorf("truncated within an event: %s", abbreviate(got.body))
	}
	return nil
}

// checkNextRequest sends another request on the connection of a complete response and returns the errors in its response.
func (s *scenario) checkNextRequest(l *caller, got received) error {
	if got.status <= 0 || got.err != nil {
		return nil
	}
	if !got.closes {
		_, _ = fmt.Fprintf(l, "POST /plain/ HTTP/1.1\r\nHost: %s\r\n%s: id-2\r\nContent-Length: 0\r\n\r\n", testHost, testAttempt)
	}
	next, err := l.tryReceive(http.MethodPost)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case next.status == 0 && !s.secondArrived && !isTimeout(err):
		return nil // "A request that crosses your close and isn't passed on doesn't count."
	case err != nil:
		return errors.Wrap(err, "after the response")
	case next.status != 404 || next.err != nil || next.body != "second" || next.header.Get(testAttempt) != "id-2":
		return errors.Errorf("the next request got status %d and %s", next.status, abbreviate(next.body))
	}
	return nil
}

// abbreviate returns the end of a body, with runs of x shortened.
func abbreviate(body string) string {
	body = regexp.MustCompile("x{9,}").ReplaceAllString(body, "x..x")
	return strconv.Quote(body[max(len(body)-400, 0):])
}

// describe returns the scenario and the requests that reached the engines.
func (s *scenario) describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	scripts := strings.ReplaceAll(fmt.Sprintf("%+v", s.scripts), "] [", "]\n[")
	return fmt.Sprintf("%s, resumable %t, attempts %d, resume %q, events %s\n%s\nreached: %+v",
		s.method, s.route.Resumable, s.route.Attempts, s.resume, s.ids, scripts, s.runs)
}

// TestRandomStreamsOverFaultyEngines runs random streams over engines with random faults. No caller gets a stream that misses an
// event, repeats one, joins runs or looks complete too early. A seed runs alone by its subtest's name.
func TestRandomStreamsOverFaultyEngines(t *testing.T) {
	for seed := range uint64(max(*exploreSeeds, 0)) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := randomScenario(seed)
			if err := s.check(qt.New(t)); err != nil {
				t.Errorf("seed %d: %v\n%s", seed, err, s.describe())
			}
		})
	}
}

// TestRandomStreamsOverMalformedHeads does the same with a malformed line in some of the heads: they are no responses, and prove
// nothing. A seed runs alone by its subtest's name.
func TestRandomStreamsOverMalformedHeads(t *testing.T) {
	lines := slices.Sorted(maps.Values(malformer.Lines(testSeal, testNotRun)))
	for seed := range uint64(max(*exploreSeeds/4, 0)) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			s := randomScenario(seed)
			r := rand.New(rand.NewPCG(seed, 2))
			for _, script := range s.scripts {
				for i := range script {
					if r.IntN(3) == 0 {
						script[i].malformed = lines[r.IntN(len(lines))]
					}
				}
			}
			if err := s.check(qt.New(t)); err != nil {
				t.Errorf("seed %d: %v\n%s", seed, err, s.describe())
			}
		})
	}
}
