package relayer

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
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
)

// exploreSeeds is the number of seeds, from 0; only this package has the flag.
var exploreSeeds = flag.Int("explore.seeds", 2400, "number of seeds of the randomized test of streams")

// act is how an engine responds to one request: it resumes after the resume header's event unless its fault says otherwise.
type act struct {
	status int
	// fault is one of: torn (cut short), twice (a second copy follows), anew (the entry's resume header is ignored), unsealed,
	// unended (no event, and no last chunk), not run.
	fault string
	// delimit is inChunks, untilClose, or 0 for a Content-Length.
	delimit int
	// body is an error response's body, grain the size in bytes of the parts in which a body is written, 0 for one event each.
	body  string
	grain int
	// at is the share of a torn body that is sent; even says that it ends with a complete part, reset that a TCP reset follows.
	at          float64
	even, reset bool
	// pause is the delay before each of the first parts and before the end, still the one before the second part.
	pause, still time.Duration
}

// run is a request that reached an engine, with the engine's response.
type run struct {
	act
	engine  int
	seal    string
	resumes []string
}

// exploration is the random scenario of one seed, and the requests that reached its engines.
type exploration struct {
	method, resume string
	// ids and texts are the events of the correct response.
	ids, texts []string
	route      matcher.Route
	scripts    [][]act

	mu    sync.Mutex
	runs  []run
	asked [5]int
	// second says that a request arrived on the same connection after the first one's response.
	second bool
}

func drawExploration(seed uint64) *exploration {
	r := rand.New(rand.NewPCG(seed, 1))
	x := &exploration{method: []string{http.MethodHead, http.MethodPost}[min(r.IntN(20), 1)]}
	x.ids, x.texts = drawEvents(r)
	x.route = matcher.Route{
		Name: "stream", Host: testHost, Prefix: "/stream/", Stream: true, Timeout: 20 * time.Second,
		Target: 300 * time.Millisecond, Gap: 100 * time.Millisecond, Attempts: 1, Shares: []matcher.Share{{Service: "s", Weight: 1}},
	}
	if r.IntN(4) > 0 {
		x.route.Resumable, x.route.Attempts = true, 2+r.IntN(3)
		if len(x.ids) > 0 && r.IntN(5) == 0 {
			x.resume = x.ids[r.IntN(len(x.ids))]
		}
	}
	var still time.Duration
	if r.IntN(40) == 0 {
		still = gapFloor + 200*time.Millisecond
	}
	for range 2 + r.IntN(len(x.asked)-1) {
		script := []act{drawAct(r), drawAct(r)}
		script[0].still = still
		x.scripts = append(x.scripts, script)
	}
	return x
}

func drawEvents(r *rand.Rand) (ids, texts []string) {
	end := []string{"\n", "\r\n"}[r.IntN(2)]
	stride, id := 1+4*r.IntN(2), 0
	for range r.IntN(13) {
		id += 1 + r.IntN(stride)
		lines := []string{"id: " + strconv.Itoa(id), "data: " + drawData(r, len(end))}
		for _, more := range []string{"event: token", "retry: 100", ": a comment", "data: " + drawData(r, len(end))} {
			if r.IntN(6) == 0 {
				lines = slices.Insert(lines, r.IntN(len(lines)+1), more)
			}
		}
		if r.IntN(20) == 0 {
			lines = slices.Insert(lines, 0, "weight-versions: 3")
		}
		ids, texts = append(ids, strconv.Itoa(id)), append(texts, strings.Join(lines, end)+end+end)
	}
	return ids, texts
}

// drawData returns text for a data line; some ends, or has text like an id field, at a multiple of the reader's buffer.
func drawData(r *rand.Rand, end int) string {
	whole := serverBuffer*(1+r.IntN(3)) - len("data: ")
	switch r.IntN(12) {
	case 0, 1:
		return strings.Repeat("x", whole-end+r.IntN(5)-1)
	case 2:
		return strings.Repeat("x", whole) + "id: 7"
	case 3:
		return strings.Repeat("x", r.IntN(3*serverBuffer))
	}
	return strings.Repeat("x", r.IntN(40))
}

func drawAct(r *rand.Rand) act {
	faults := strings.Split(",,,,torn,torn,torn,torn,torn,torn,twice,twice,anew,unsealed,unended", ",")
	statuses := []int{204, 500, 500, 504, 404, 401, 400, 429, 503, 503, 421}
	a := act{status: 200, fault: faults[r.IntN(len(faults))]}
	if r.IntN(7) < 2 {
		a = act{status: statuses[r.IntN(len(statuses))]}
	}
	if a.status == 421 || a.status == 503 && r.IntN(3) > 0 {
		a.fault = "not run"
	}
	a.delimit = []int{0, inChunks, untilClose}[r.IntN(3)]
	a.at, a.even, a.reset = r.Float64(), r.IntN(2) == 0, r.IntN(2) == 0
	a.pause = time.Duration(r.IntN(4)) * time.Millisecond
	if r.IntN(3) == 0 {
		a.grain = 100 + r.IntN(2*serverBuffer)
	}
	switch {
	case a.status >= 300:
		a.body = []string{"", "failed"}[r.IntN(2)]
	case a.status == 204:
		a.delimit = 0
	case a.fault == "unended", a.delimit == untilClose && a.fault == "twice":
		a.delimit = inChunks
	case a.delimit == untilClose && a.fault == "torn":
		// A body without a length ends with its connection; only a reset shows that it is incomplete, even after its last byte.
		a.at, a.reset = min(1.3*a.at, 1), true
	}
	return a
}

// after returns the events after the one that a resume header names, or all.
func (x *exploration) after(resume string) []string {
	return slices.Clone(x.texts[slices.Index(x.ids, resume)+1:])
}

// content returns the parts of a response's body as they are written, and its Content-Length.
func (x *exploration) content(a act, resume string) (parts []string, length int) {
	switch {
	case a.status >= 300:
		parts = strings.Fields(a.body)
	case a.fault == "anew":
		parts = x.after(x.resume) // The caller's own resume header is part of its request.
	case a.status == 200 && a.fault != "unended":
		parts = x.after(resume)
	}
	text := strings.Join(parts, "")
	if a.grain > 0 {
		parts = nil
		for b := range slices.Chunk([]byte(text), a.grain) {
			parts = append(parts, string(b))
		}
	}
	if a.delimit == inChunks {
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
	case a.even:
		return parts[:int(a.at*float64(len(parts)))], max(len(text), 1)
	}
	return []string{sent[:int(a.at*float64(len(sent)))]}, max(len(text), 1)
}

// head returns a response's head.
func (a act) head(r *http.Request, seal string, length int) string {
	seal = testSeal + ": " + seal
	var headers []string
	if a.delimit == inChunks {
		headers = append(headers, "Transfer-Encoding: chunked")
	} else if a.delimit == 0 && a.status != 204 {
		headers = append(headers, fmt.Sprintf("Content-Length: %d", length))
	}
	switch a.fault {
	case "not run":
		headers = append(headers, testNotRun+": 1")
	case "unsealed":
		seal = "X-Lost: 1"
	}
	return strings.Replace(headOf(r, a.status, headers...), testSeal+": seal", seal, 1)
}

// write writes a head and parts with pauses between them, until a write fails.
func (a act) write(w io.Writer, head string, parts []string) {
	for i, p := range slices.Concat([]string{head}, parts) {
		if i < 10 {
			time.Sleep(a.pause)
		}
		if i == 2 {
			time.Sleep(a.still)
		}
		if _, err := io.WriteString(w, p); err != nil {
			return
		}
	}
}

// answer responds to a request; false closes the connection.
func (x *exploration) answer(w *net.TCPConn, r *http.Request, engine int) bool {
	a, seal := x.arrives(engine, r)
	parts, length := x.content(a, r.Header.Get(testResume))
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
	if isTorn && a.reset {
		_ = w.SetLinger(0)
	}
	return !isTorn && a.delimit != untilClose
}

// arrives records a request at an engine and returns how the engine responds to it, and with which seal.
func (x *exploration) arrives(engine int, r *http.Request) (act, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Header.Get(testAttempt) == "id-2" {
		x.second = true
		return act{status: 404, body: "second"}, "second"
	}
	a := x.scripts[engine][min(x.asked[engine], len(x.scripts[engine])-1)]
	x.asked[engine]++
	seal := fmt.Sprintf("%d-%d", engine, x.asked[engine])
	x.runs = append(x.runs, run{a, engine, seal, r.Header.Values(testResume)})
	return a, seal
}

// serve serves the requests of one connection to an engine.
func (x *exploration) serve(engine int, conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for ok := true; ok; {
		r, err := http.ReadRequest(br)
		ok = err == nil && x.answer(conn, r, engine)
	}
}

// listen starts an engine.
func (x *exploration) listen(c *qt.C, engine int) tracker.Instance {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	context.AfterFunc(c.Context(), func() { _ = ln.Close() })
	go func() {
		for conn, err := ln.AcceptTCP(); err == nil; conn, err = ln.AcceptTCP() {
			context.AfterFunc(c.Context(), func() { _ = conn.Close() })
			go x.serve(engine, conn)
		}
	}()
	key := tracker.Key{ID: fmt.Sprintf("s%d", engine), Born: 1}
	return tracker.Instance{Key: key, Service: "s", Zone: "z", Addr: ln.Addr().String(), Slots: 200}
}

// play runs an entry in front of the engines and returns the errors in its responses to one caller.
func (x *exploration) play(c *qt.C) error {
	e := start(c)
	plain := x.route
	plain.Name, plain.Prefix, plain.Stream, plain.Resumable, plain.Attempts = "plain", "/plain/", false, false, 1
	table, err := matcher.New(1, []matcher.Route{x.route, plain}, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	e.table.Store(table)
	down := governor.Down{Welcome: &governor.Welcome{Era: 1}, Entries: 1}
	for i := range x.scripts {
		down.Engines = append(down.Engines, x.listen(c, i))
	}
	e.link.take(down)
	l := dial(c, e)
	c.Assert(l.SetDeadline(time.Now().Add(time.Minute)), qt.IsNil)
	headers := []string{testDeadline + ": 9000", testResume + ": " + x.resume}
	l.send(c, x.method, "/stream/", "", headers[:1+min(len(x.resume), 1)]...)
	got, err := l.get(x.method)
	return errors.Join(err, x.judge(got), x.goOn(l, got))
}

// get reads a response; the status is 0 if the connection ended without one, and -1 for malformed bytes.
func (l *caller) get(method string) (received, error) {
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

// judge returns the errors in a response and in the runs behind it.
func (x *exploration) judge(got received) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	ran, err := 0, x.judgeSeal(got)
	for _, r := range x.runs {
		if r.fault != "not run" {
			ran++
		}
		if len(r.resumes) > 1 || len(r.resumes) == 1 && !slices.Contains(x.ids, r.resumes[0]) {
			err = errors.Join(err, errors.Errorf("an engine was asked to resume after %q", r.resumes))
		}
	}
	if ran > x.route.Attempts || ran > 1 && !x.route.Resumable {
		err = errors.Join(err, errors.Errorf("%d engines ran it", ran))
	}
	// Status, body and seal of a server's response are forwarded unchanged. A false "not run" is an error only for requests that
	// aren't idempotent: a server's own status may reach the caller of a resumable stream.
	free := ran == 0 || x.route.Resumable && got.header.Get(testSeal) != ""
	if slices.Contains([]int{408, 421, 429, 503}, got.status) && !free {
		err = errors.Join(err, errors.Errorf("status %d says that no engine ran it, but %d did", got.status, ran))
	}
	if got.status == http.StatusOK {
		err = errors.Join(err, x.judgeBody(got))
	}
	return err
}

// judgeSeal returns the errors in a response's head: which run it came from, and with which status.
func (x *exploration) judgeSeal(got received) error {
	seal := got.header.Get(testSeal)
	i := slices.IndexFunc(x.runs, func(r run) bool { return r.seal == seal })
	switch {
	case seal == "" && !isSuccess(got.status):
		return nil
	case i < 0 || got.header.Get(testAttempt) != "id-1":
		return errors.Errorf("a response with the unknown seal %q or another attempt id", seal)
	case x.runs[i].status != got.status:
		return errors.Errorf("status %d with the seal of a response with status %d", got.status, x.runs[i].status)
	case isSuccess(got.status) && strings.Join(x.runs[i].resumes, "") != x.resume:
		return errors.New("the seal isn't that of the first run")
	}
	return nil
}

// judgeBody returns the errors in the body of a successful response.
func (x *exploration) judgeBody(got received) error {
	var want string
	ends := map[int]bool{0: true}
	if x.method != http.MethodHead {
		for _, text := range x.after(x.resume) {
			want += text
			ends[len(want)] = true
		}
	}
	switch {
	case got.err != nil && !errors.Is(got.err, io.ErrUnexpectedEOF):
		return errors.Wrap(got.err, "the response ended")
	case !strings.HasPrefix(want, got.body):
		return errors.Errorf("events are missing, duplicated or joined (truncated: %t): %s", got.err != nil, brief(got.body))
	case got.err == nil && got.body != want:
		return errors.Errorf("complete after %d bytes of %d: %s", len(got.body), len(want), brief(got.body))
	case !ends[len(got.body)]:
		return errors.Errorf("truncated within an event: %s", brief(got.body))
	}
	return nil
}

// goOn sends another request on the connection of a complete response and returns the errors in its response.
func (x *exploration) goOn(l *caller, got received) error {
	if got.status <= 0 || got.err != nil {
		return nil
	}
	if !got.closes {
		_, _ = fmt.Fprintf(l, "POST /plain/ HTTP/1.1\r\nHost: %s\r\n%s: id-2\r\nContent-Length: 0\r\n\r\n", testHost, testAttempt)
	}
	next, err := l.get(http.MethodPost)
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case next.status == 0 && !x.second && !isTimeout(err):
		return nil // "A request that crosses your close and isn't passed on doesn't count."
	case err != nil:
		return errors.Wrap(err, "after the response")
	case next.status != 404 || next.err != nil || next.body != "second" || next.header.Get(testAttempt) != "id-2":
		return errors.Errorf("the next request got status %d and %s", next.status, brief(next.body))
	}
	return nil
}

// brief returns the end of a body, with runs of x shortened.
func brief(body string) string {
	body = regexp.MustCompile("x{9,}").ReplaceAllString(body, "x..x")
	return strconv.Quote(body[max(len(body)-400, 0):])
}

// describe returns the scenario and the requests that reached the engines.
func (x *exploration) describe() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	scripts := strings.ReplaceAll(fmt.Sprintf("%+v", x.scripts), "] [", "]\n[")
	return fmt.Sprintf("%s, resumable %t, attempts %d, resume %q, events %s\n%s\nreached: %+v",
		x.method, x.route.Resumable, x.route.Attempts, x.resume, x.ids, scripts, x.runs)
}

// TestStreamsOverFaultyEngines runs random streams over engines with random faults. No caller gets a stream that misses an
// event, repeats one, joins runs or looks complete too early. A seed runs alone by its subtest's name.
func TestStreamsOverFaultyEngines(t *testing.T) {
	for seed := range uint64(max(*exploreSeeds, 0)) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			x := drawExploration(seed)
			if err := x.play(qt.New(t)); err != nil {
				t.Errorf("seed %d: %v\n%s", seed, err, x.describe())
			}
		})
	}
}
