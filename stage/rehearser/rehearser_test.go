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

// answerTimeout limits the wait for a response.
const answerTimeout = 90 * time.Second

// deploymentAnswers describe a small deployment: three data centres with one control replica and one entry each.
const deploymentAnswers = `{"team":"small","zones":["a","b","c"],
"instances":[{"name":"i1","zone":"a","addr":"127.%[1]d.1.1","disk":true},
 {"name":"i2","zone":"b","addr":"127.%[1]d.2.1","disk":true},{"name":"i3","zone":"c","addr":"127.%[1]d.3.1","disk":true}],
"controls":3,"store":{"rate":3.5,"parallel":3,"inflight":24,"load":"250ms"},
"classes":[{"name":"chat","urgent":true,"first":"10s","total":"2m"},{"name":"order","urgent":true,"first":"10s","total":"20s"}],
"model":{"name":"base","classes":["chat"],"engines":2,"adapters":20,"fenced":"some"},
"services":[{"name":"orders","classes":["order"],"servers":1,"calls":[
 {"method":"GET","path":"/stock/*","idempotent":true},{"method":"GET","path":"/ledger","idempotent":true},{"method":"POST","path":"/bookings"}]}]}`

// testDeployment is a running deployment under test.
type testDeployment struct {
	*qt.C
	*Rehearser
}

// reserveNet reserves a loopback net that no concurrent test run uses, by listening on it until the test ends.
func reserveNet(c *qt.C) int {
	for n := range 100 {
		n = 100 + (os.Getpid()+n)%100
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:9999", n))
		if err == nil {
			c.Cleanup(func() { c.Check(ln.Close(), qt.IsNil) })
			return n
		}
	}
	c.Fatal("all loopback nets are in use")
	return 0
}

func startDeployment(t *testing.T) *testDeployment {
	c := qt.New(t)
	dir := t.TempDir()
	bin := filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", bin+"/", "redwingstage.org/stage/cmd/redwingstaged", "redwingstage.org/standin/cmd/standin")
	out, err := build.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	netNumber := reserveNet(c)
	file := filepath.Join(dir, "answers.json")
	c.Assert(os.WriteFile(file, fmt.Appendf(nil, deploymentAnswers, netNumber), 0o600), qt.IsNil)
	folder := filepath.Join(dir, "run")
	var stderr bytes.Buffer
	code := operator.Run(operator.Env{In: &bytes.Buffer{}, Out: io.Discard, Err: &stderr}, []string{"init", "--answers", file, folder})
	c.Assert(code, qt.Equals, operator.OK, qt.Commentf("%s", &stderr))
	r, err := New(Config{Bin: bin, Folder: folder, Engines: 2, Servers: 1, LoopbackNet: netNumber})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(r.Close(), qt.IsNil) })
	c.Assert(r.StartAll(), qt.IsNil)
	c.Assert(r.Apply(context.Background(), 20), qt.IsNil)
	return &testDeployment{C: c, Rehearser: r}
}

// answer is a complete response.
type answer struct {
	status  int
	body    string
	outcome string
}

func (d *testDeployment) sendOnce(entry int, method, path, body, key string) (answer, error) {
	return d.sendWithHook(entry, method, path, body, key, func() {})
}

// sendWithHook sends a request without retries and calls onHeaders when the response headers have arrived.
func (d *testDeployment) sendWithHook(entry int, method, path, body, key string, onHeaders func()) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.CallerAddrs()[entry]+path, strings.NewReader(body))
	d.Assert(err, qt.IsNil)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set(marker.IdempotencyKey, key)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	onHeaders()
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return answer{res.StatusCode, string(b), res.Header.Get(marker.Outcome) + res.Trailer.Get(marker.Outcome)}, err
}

// sendUntilDone retries a request, as callers do, until its outcome is done; refusals and connection errors are retried.
func (d *testDeployment) sendUntilDone(entry int, method, path, body, key string) answer {
	for end := time.Now().Add(answerTimeout); ; time.Sleep(100 * time.Millisecond) {
		a, err := d.sendOnce(entry, method, path, body, key)
		if err == nil && a.outcome == "done" {
			return a
		}
		if time.Now().After(end) {
			d.Fatalf("%s %s not done in time: last answer %v, error %v", method, path, a, err)
		}
	}
}

func (d *testDeployment) chat(entry, adapter, tokens int) {
	d.Helper()
	a := d.sendUntilDone(entry, "POST", "/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"route m%d"}]}`, AdapterName(adapter), tokens, adapter), "")
	d.Assert(a.body, qt.Contains, fmt.Sprintf(`"content":"%s@1"`, AdapterName(adapter)))
	d.Assert(a.body, qt.Contains, fmt.Sprintf(`" m%d"`, adapter))
	d.Assert(a.body, qt.Contains, "[DONE]")
}

func (d *testDeployment) book(entry int, key string) string {
	d.Helper()
	return d.sendUntilDone(entry, "POST", "/services/orders/bookings", `{"item":"crate","quantity":1}`, key).body
}

// ledgerRuns reads how often each key ran from the order service's ledger.
func (d *testDeployment) ledgerRuns() map[string]int {
	for _, s := range d.Standins() {
		if !s.IsPlain() {
			continue
		}
		req, err := http.NewRequestWithContext(context.Background(), "GET", "http://"+s.Addr()+"/ledger", nil)
		d.Assert(err, qt.IsNil)
		res, err := http.DefaultClient.Do(req)
		d.Assert(err, qt.IsNil)
		defer res.Body.Close()
		var ledger struct {
			Runs map[string]int `json:"runs"`
		}
		d.Assert(json.NewDecoder(res.Body).Decode(&ledger), qt.IsNil)
		return ledger.Runs
	}
	return nil
}

// leader waits for a leader and returns the name of that control replica.
func (d *testDeployment) leader() string {
	var st struct {
		Leader int `json:"leader"`
	}
	for end := time.Now().Add(answerTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		out, err := d.RunOperator("--json", "status")
		if err != nil {
			continue
		}
		d.Assert(json.Unmarshal([]byte(out), &st), qt.IsNil)
		if st.Leader > 0 {
			return d.Controls()[st.Leader-1]
		}
	}
	d.Fatal("no leader elected")
	return ""
}

// TestDeploymentSurvivesProcessFailures runs a small deployment as separate processes and fails the leader and the entries.
func TestDeploymentSurvivesProcessFailures(t *testing.T) {
	d := startDeployment(t)
	for i := range d.CallerAddrs() {
		d.chat(i, i, 4)
		d.book(i, fmt.Sprintf("plain-%d", i))
	}
	first := d.book(0, "moved")
	d.Assert(d.book(1, "moved"), qt.Equals, first)

	// The leader is killed: bookings continue, and no accepted booking is lost.
	killed := d.leader()
	d.Assert(d.Kill(killed), qt.IsNil)
	d.Assert(d.book(2, "moved"), qt.Equals, first)
	d.book(1, "after-leader")
	d.chat(0, 7, 4)
	d.Assert(d.StartOne(killed), qt.IsNil)

	// A leader resumes after a suspension: it must not act as leader any more.
	suspended := d.leader()
	d.Assert(d.Suspend(suspended), qt.IsNil)
	d.book(0, "while-frozen")
	d.Assert(d.Resume(suspended), qt.IsNil)
	d.Assert(d.book(1, "moved"), qt.Equals, first)

	// An entry is killed: the other entries take over the backend servers that it owned.
	d.Assert(d.Kill(d.Entries()[0]), qt.IsNil)
	for adapter := range 4 {
		d.chat(1, adapter, 4)
	}
	d.book(2, "after-entry")
	d.Assert(d.StartOne(d.Entries()[0]), qt.IsNil)
	d.chat(0, 3, 4)

	// An entry shuts down while it streams: the stream completes.
	streamed, headersReceived := make(chan answer, 1), make(chan struct{})
	onHeaders := sync.OnceFunc(func() { close(headersReceived) })
	go func() {
		defer onHeaders()
		a, _ := d.sendWithHook(1, "POST", "/v1/completions", `{"model":"base","stream":true,"max_tokens":200,"prompt":"x long"}`, "", onHeaders)
		streamed <- a
	}()
	<-headersReceived
	d.Assert(d.Stop(d.Entries()[1]), qt.IsNil)
	a := <-streamed
	d.Assert(a.outcome, qt.Equals, "done", qt.Commentf("%s", a.body))
	d.Assert(a.body, qt.Contains, "[DONE]")

	ledger := d.ledgerRuns()
	d.Assert(len(ledger), qt.Equals, len(d.CallerAddrs())+4)
	for key, runs := range ledger {
		d.Check(runs, qt.Equals, 1, qt.Commentf("key %s", key))
	}
}
