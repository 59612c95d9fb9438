package rehearser

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/marker"
	"redwingstage.org/stage/operator"
)

// hang limits the wait for a response.
const hang = 90 * time.Second

// answers are a small deployment: three data centres with one control replica and one entry each.
const answers = `{"team":"small","zones":["a","b","c"],
"instances":[{"name":"i1","zone":"a","addr":"127.%[1]d.1.1","disk":true},
 {"name":"i2","zone":"b","addr":"127.%[1]d.2.1","disk":true},{"name":"i3","zone":"c","addr":"127.%[1]d.3.1","disk":true}],
"controls":3,"store":{"rate":3.5,"parallel":3,"inflight":24,"load":"250ms"},
"classes":[{"name":"chat","urgent":true,"first":"10s","total":"2m"},{"name":"order","urgent":true,"first":"10s","total":"20s"}],
"model":{"name":"base","classes":["chat"],"engines":2,"adapters":20,"fenced":"some"},
"services":[{"name":"orders","classes":["order"],"servers":1,"calls":[
 {"method":"GET","path":"/stock/*","idempotent":true},{"method":"GET","path":"/ledger","idempotent":true},{"method":"POST","path":"/bookings"}]}]}`

// world is a running deployment under test.
type world struct {
	*qt.C
	*Rehearser
}

// lockNet reserves a loopback net that no concurrent test run uses, by listening on it until the test ends.
func lockNet(c *qt.C) int {
	for n := range 100 {
		n = 100 + (os.Getpid()+n)%100
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:9999", n))
		if err == nil {
			c.Cleanup(func() { c.Check(lock.Close(), qt.IsNil) })
			return n
		}
	}
	c.Fatal("no free loopback net")
	return 0
}

func start(t *testing.T) *world {
	c := qt.New(t)
	dir := t.TempDir()
	bin := filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", bin+"/", "redwingstage.org/stage/cmd/redwingstaged", "redwingstage.org/standin/cmd/standin")
	out, err := build.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	netNumber := lockNet(c)
	file := filepath.Join(dir, "answers.json")
	c.Assert(os.WriteFile(file, fmt.Appendf(nil, answers, netNumber), 0o600), qt.IsNil)
	folder := filepath.Join(dir, "run")
	var complaint bytes.Buffer
	code := operator.Run(operator.Env{In: &bytes.Buffer{}, Out: io.Discard, Err: &complaint}, []string{"init", "--answers", file, folder})
	c.Assert(code, qt.Equals, operator.OK, qt.Commentf("%s", &complaint))
	r, err := New(Config{Bin: bin, Folder: folder, Engines: 2, Servers: 1, Net: netNumber})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(r.Close(), qt.IsNil) })
	c.Assert(r.StartAll(), qt.IsNil)
	c.Assert(r.Apply(context.Background(), 20), qt.IsNil)
	return &world{C: c, Rehearser: r}
}

// answer is a complete response.
type answer struct {
	status  int
	body    string
	outcome string
}

func (w *world) try(entry int, method, path, body, key string) (answer, error) {
	return w.tryFrom(entry, method, path, body, key, func() {})
}

// tryFrom sends a request once and calls begin when the response headers have arrived.
func (w *world) tryFrom(entry int, method, path, body, key string, begin func()) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.Callers()[entry]+path, strings.NewReader(body))
	w.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(marker.Key, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	begin()
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(b), res.Header.Get(marker.Outcome) + res.Trailer.Get(marker.Outcome)}, err
}

// insist retries a request, as callers do, until its outcome is done; refusals and connection errors are retried.
func (w *world) insist(entry int, method, path, body, key string) answer {
	for end := time.Now().Add(hang); ; time.Sleep(100 * time.Millisecond) {
		a, err := w.try(entry, method, path, body, key)
		if err == nil && a.outcome == "done" {
			return a
		}
		if time.Now().After(end) {
			w.Fatalf("%s %s not done in time: last answer %v, error %v", method, path, a, err)
		}
	}
}

func (w *world) chat(entry, adapter, tokens int) {
	w.Helper()
	a := w.insist(entry, "POST", "/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"route m%d"}]}`, AdapterName(adapter), tokens, adapter), "")
	w.Assert(a.body, qt.Contains, fmt.Sprintf(`"content":"%s@1"`, AdapterName(adapter)))
	w.Assert(a.body, qt.Contains, fmt.Sprintf(`" m%d"`, adapter))
	w.Assert(a.body, qt.Contains, "[DONE]")
}

func (w *world) book(entry int, key string) string {
	w.Helper()
	return w.insist(entry, "POST", "/services/orders/bookings", `{"item":"crate","quantity":1}`, key).body
}

// ledger reads how often each key ran from the order service's ledger.
func (w *world) ledger() map[string]int {
	for _, s := range w.Standins() {
		if !s.IsPlain() {
			continue
		}
		req, err := http.NewRequestWithContext(context.Background(), "GET", "http://"+s.Addr()+"/ledger", nil)
		w.Assert(err, qt.IsNil)
		res, err := http.DefaultClient.Do(req)
		w.Assert(err, qt.IsNil)
		defer res.Body.Close()
		var book struct {
			Runs map[string]int `json:"runs"`
		}
		w.Assert(json.NewDecoder(res.Body).Decode(&book), qt.IsNil)
		return book.Runs
	}
	return nil
}

// leader waits for a leader and returns the name of that control replica.
func (w *world) leader() string {
	var st struct {
		Leader int `json:"leader"`
	}
	for end := time.Now().Add(hang); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		out, err := w.Operate("--json", "status")
		if err != nil {
			continue
		}
		w.Assert(json.Unmarshal([]byte(out), &st), qt.IsNil)
		if st.Leader > 0 {
			return w.Controls()[st.Leader-1]
		}
	}
	w.Fatal("no leader elected")
	return ""
}

// TestProcesses runs a small deployment as separate processes and makes the leader and the entries fail.
func TestProcesses(t *testing.T) {
	w := start(t)
	for i := range w.Callers() {
		w.chat(i, i, 4)
		w.book(i, fmt.Sprintf("plain-%d", i))
	}
	first := w.book(0, "moved")
	w.Assert(w.book(1, "moved"), qt.Equals, first)

	// The leader is killed: bookings continue, and no accepted booking is lost.
	dead := w.leader()
	w.Assert(w.Kill(dead), qt.IsNil)
	w.Assert(w.book(2, "moved"), qt.Equals, first)
	w.book(1, "after-leader")
	w.chat(0, 7, 4)
	w.Assert(w.StartOne(dead), qt.IsNil)

	// A leader resumes after a freeze: it must not act as leader any more.
	frozen := w.leader()
	w.Assert(w.Freeze(frozen), qt.IsNil)
	w.book(0, "while-frozen")
	w.Assert(w.Thaw(frozen), qt.IsNil)
	w.Assert(w.book(1, "moved"), qt.Equals, first)

	// An entry is killed: the other entries take over the backend servers that it owned.
	w.Assert(w.Kill(w.Entries()[0]), qt.IsNil)
	for adapter := range 4 {
		w.chat(1, adapter, 4)
	}
	w.book(2, "after-entry")
	w.Assert(w.StartOne(w.Entries()[0]), qt.IsNil)
	w.chat(0, 3, 4)

	// An entry shuts down while it streams: the stream completes.
	open, begun := make(chan answer, 1), make(chan struct{})
	begin := sync.OnceFunc(func() { close(begun) })
	go func() {
		defer begin()
		a, _ := w.tryFrom(1, "POST", "/v1/completions", `{"model":"base","stream":true,"max_tokens":200,"prompt":"x long"}`, "", begin)
		open <- a
	}()
	<-begun
	w.Assert(w.Stop(w.Entries()[1]), qt.IsNil)
	a := <-open
	w.Assert(a.outcome, qt.Equals, "done", qt.Commentf("%s", a.body))
	w.Assert(a.body, qt.Contains, "[DONE]")

	ledger := w.ledger()
	w.Assert(len(ledger), qt.Equals, len(w.Callers())+4)
	for key, runs := range ledger {
		w.Check(runs, qt.Equals, 1, qt.Commentf("key %s", key))
	}
}
