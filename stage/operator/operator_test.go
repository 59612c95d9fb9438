package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/stage/controller"
	"redwingstage.org/standin/launcher"
)

const testToken = "0123456789abcdef"

// testCLI runs command lines in a temporary folder.
type testCLI struct {
	c     *quicktest.C
	dir   string
	addrs []string
	in    string
	slept time.Duration
}

func newTestCLI(c *quicktest.C, addrs ...string) *testCLI {
	s := &testCLI{c: c, dir: c.TempDir(), addrs: addrs}
	s.writeFile("token", testToken+"\n")
	return s
}

func (s *testCLI) writeFile(name, content string) string {
	path := filepath.Join(s.dir, name)
	s.c.Assert(os.WriteFile(path, []byte(content), 0o600), quicktest.IsNil)
	return path
}

// run returns the exit code, stdout and stderr, with the folder's path removed.
func (s *testCLI) run(argv ...string) (Code, string, string) {
	var stdout, stderr strings.Builder
	env := Env{
		In: strings.NewReader(s.in), Out: &stdout, Err: &stderr,
		Sleep: func(d time.Duration) { s.slept += d }, NewChangeID: func() string { return "c-1" },
	}
	if len(s.addrs) > 0 {
		argv = append(argv, "--addrs")
		argv = append(argv, s.addrs...)
		argv = append(argv, "--token", filepath.Join(s.dir, "token"))
	}
	code := Run(env, argv)
	clean := func(b string) string { return strings.ReplaceAll(b, s.dir+string(filepath.Separator), "") }
	return code, clean(stdout.String()), clean(stderr.String())
}

// fakeAPI is an operators' API with canned responses; it records the requests.
type fakeAPI struct {
	*httptest.Server
	mu        sync.Mutex
	responses []string // "status body" or "cut"; the last one repeats
	requests  []string
}

func newFakeAPI(c *quicktest.C, responses ...string) *fakeAPI {
	a := &fakeAPI{responses: responses}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.requests = append(a.requests, strings.TrimSpace(r.Method+" "+r.URL.RequestURI()+" "+string(b)))
		response := a.responses[0]
		if len(a.responses) > 1 {
			a.responses = a.responses[1:]
		}
		status, body, _ := strings.Cut(response, " ")
		if r.Header.Get("Authorization") != "Bearer "+testToken {
			status, body = "401", `{"error":{"code":"unauthorized","message":"no"}}`
		}
		if status == "cut" {
			panic(http.ErrAbortHandler)
		}
		statusCodes := map[string]int{"200": 200, "401": 401, "404": 404, "409": 409, "422": 422, "503": 503, "504": 504}
		w.WriteHeader(statusCodes[status])
		_, _ = io.WriteString(w, body)
	}))
	c.Cleanup(a.Close)
	return a
}

func (a *fakeAPI) calls() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.requests)
}

func (a *fakeAPI) addr() string { return a.Listener.Addr().String() }

func TestExitCodes(t *testing.T) {
	const changed = `200 {"revision":13,"changed":[{"kind":"adapter","name":"ipoh"}],"inforce":true}`
	tests := []struct {
		name      string
		responses []string
		argv      []string
		code      Code
		out       string
		err       string
	}{
		{"applied", []string{changed}, []string{"apply", "--delete", "adapter/ipoh", "--expect", "12", "--wait"}, OK, "adapter ipoh\nrevision 13, in force everywhere\n", ""},
		{"nothing to change", []string{`200 {"revision":13,"changed":[]}`}, []string{"apply", "--delete", "adapter/ipoh", "--expect", "13"}, OK, "revision 13, nothing to change\n", ""},
		{"current revision", []string{`200 {"revision":12,"classes":[]}`, changed}, []string{"apply", "--delete", "adapter/ipoh"}, OK, "adapter ipoh\nrevision 13, in force everywhere\n", ""},
		{
			"conflict",
			[]string{`409 {"error":{"code":"conflict","message":"expected 12","revision":13,"winner":{"revision":13,"at":"T","operator":"bo","change":"c-9","action":"apply"}}}`},
			[]string{"apply", "--delete", "class/x", "--expect", "12"},
			Refused, "", "redwingstage: conflict: expected 12\nrevision 13 came first: apply by bo at T, change c-9\n",
		},
		{
			"invalid",
			[]string{`422 {"error":{"code":"invalid","message":"1 finding","findings":[{"path":"delete[0].name","reason":"is unknown"}]}}`},
			[]string{"apply", "--delete", "class/x", "--expect", "12"},
			Refused, "", "redwingstage: invalid: 1 finding\ndelete[0].name: is unknown\n",
		},
		{
			"invalid as JSON",
			[]string{`422 {"error":{"code":"invalid","message":"1 finding"}}`},
			[]string{"apply", "--delete", "class/x", "--expect", "12", "--json"},
			Refused, "{\n  \"error\": {\n    \"code\": \"invalid\",\n    \"message\": \"1 finding\"\n  }\n}\n", "",
		},
		{
			"lost answer",
			[]string{"cut", changed},
			[]string{"apply", "--delete", "adapter/ipoh", "--expect", "12", "--wait"},
			OK, "adapter ipoh\nrevision 13, in force everywhere\n", "",
		},
		{
			"uncertain",
			[]string{`503 {"error":{"code":"uncertain","message":"lost"}}`},
			[]string{"apply", "--delete", "class/x", "--expect", "12"},
			Uncertain, "", "redwingstage: the change may or may not have been accepted: uncertain: lost\nsend it again with --change c-1 --expect 12\n",
		},
		{
			"no leader",
			[]string{`503 {"error":{"code":"no_leader","message":"none"}}`},
			[]string{"apply", "--delete", "class/x", "--expect", "12"},
			Unreachable, "", "redwingstage: no control replica can take the call: no_leader: none\n",
		},
		{
			"not in force",
			[]string{`504 {"error":{"code":"not_in_force","message":"1 entry is missing","revision":13}}`},
			[]string{"apply", "--delete", "class/x", "--expect", "12", "--wait"},
			NotInForce, "", "redwingstage: not_in_force: 1 entry is missing\nthe revision is 13\n",
		},
		{"unknown object", []string{`404 {"error":{"code":"not_found","message":"no class x"}}`}, []string{"get", "classes", "x"}, Refused, "", "redwingstage: not_found: no class x\n"},
		{"unknown kind", nil, []string{"get", "things"}, Usage, "", "redwingstage: get: \"things\" is none of classes, services, adapters, drains\n"},
		{"malformed delete", nil, []string{"apply", "--delete", "x"}, Usage, "", "redwingstage: --delete: \"x\" is not of the form kind/name\n"},
		{"nothing to apply", nil, []string{"apply"}, Usage, "", "redwingstage: apply: neither a file nor --delete is given\n"},
		{"long wait", nil, []string{"apply", "--delete", "class/x", "--timeout", "2m"}, Usage, "", "redwingstage: --timeout: 2m0s is not above 0 and up to 1m0s\n"},
		{"resent without expect", nil, []string{"apply", "--delete", "class/x", "--change", "c-9"}, Usage, "", "redwingstage: apply: a change that is sent again needs its --expect too\n"},
		{"unknown flag", nil, []string{"status", "--odd"}, Usage, "", "redwingstage: unknown argument --odd\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newTestCLI(c, newFakeAPI(c, append(tt.responses, "200 {}")[:max(len(tt.responses), 1)]...).addr())
			code, out, errs := s.run(tt.argv...)
			c.Assert(code, quicktest.Equals, tt.code)
			c.Assert(out, quicktest.Equals, tt.out)
			c.Assert(errs, quicktest.Equals, tt.err)
		})
	}
}

func TestResentChangeKeepsItsID(t *testing.T) {
	c := quicktest.New(t)
	down := freeAddr(c)
	first := newFakeAPI(c, "cut")
	second := newFakeAPI(c, `503 {"error":{"code":"no_leader","message":"none"}}`, `200 {"drains":[{"kind":"entry","name":"e1"}]}`)
	s := newTestCLI(c, down, first.addr(), second.addr())
	code, out, _ := s.run("drain", "entry", "e1")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(out, quicktest.Equals, "KIND   NAME\nentry  e1\n")
	want := `POST /v1/drains {"change":"c-1","kind":"entry","name":"e1"}`
	c.Assert(first.calls(), quicktest.DeepEquals, []string{want, want})
	c.Assert(second.calls(), quicktest.DeepEquals, []string{want, want})
	c.Assert(s.slept, quicktest.Equals, roundBackoff)
	code, _, _ = newTestCLI(c, down).run("drain", "entry", "e1")
	c.Assert(code, quicktest.Equals, Unreachable) // nothing was sent, so nothing is uncertain
}

func TestWaitForDrain(t *testing.T) {
	c := quicktest.New(t)
	const status = `200 {"entries":[{"name":"e1","servers":%,"draining":true}]}`
	a := newFakeAPI(c, `200 {"drains":[]}`, strings.Replace(status, "%", "2", 1), strings.Replace(status, "%", "0", 1))
	s := newTestCLI(c, a.addr())
	code, _, _ := s.run("drain", "entry", "e1", "--wait")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(s.slept, quicktest.Equals, pollInterval)
	a = newFakeAPI(c, `200 {"drains":[]}`, strings.Replace(status, "%", "2", 1))
	code, _, errs := newTestCLI(c, a.addr()).run("drain", "entry", "e1", "--wait", "--timeout", "2s")
	c.Assert(code, quicktest.Equals, NotInForce)
	c.Assert(errs, quicktest.Equals, "redwingstage: not_in_force: accepted, but not done within 2s\n")
}

func TestTables(t *testing.T) {
	c := quicktest.New(t)
	a := newFakeAPI(c, `200 {"revision":13,"leader":2,"settled":true,
"replicas":[{"id":1,"addr":"127.0.1.1:7000"},{"id":2,"addr":"127.0.1.2:7000","leader":true},{"id":3,"addr":"127.0.1.3:7000","learner":true}],
"entries":[{"name":"entry-1","addr":"127.0.2.1:7100","zone":"kl-1","revision":13,"servers":2}],
"servers":[{"name":"engine-1","kind":"model","service":"base","addr":"127.0.3.1:9000","zone":"kl-1","leaving":true,"draining":true}]}`)
	code, out, _ := newTestCLI(c, a.addr()).run("status")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(out, quicktest.Equals, `revision 13, leader 2, settled

REPLICA  ADDRESS         STATE
1        127.0.1.1:7000  follower
2        127.0.1.2:7000  leader
3        127.0.1.3:7000  learner

ENTRY    ADDRESS         DATA CENTRE  REVISION  SERVERS  STATE
entry-1  127.0.2.1:7100  kl-1         13        2        -

SERVER    KIND   SERVICE  ADDRESS         DATA CENTRE  OWNER  STATE
engine-1  model  base     127.0.3.1:9000  kl-1         -      leaving draining
`)
	a = newFakeAPI(c, `200 {"revision":3,"adapters":[{"name":"a"}],"next":"a"}`, `200 {"revision":3,"adapters":[{"name":"b","service":"base","current":2,"versions":[{"number":1},{"number":2}]}]}`)
	code, out, _ = newTestCLI(c, a.addr()).run("get", "adapters", "--limit", "0")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(out, quicktest.Equals, "ADAPTER  SERVICE  CLASS  CURRENT  VERSIONS\na        -        -      0        -\nb        base     -      2        1,2\n")
	c.Assert(a.calls(), quicktest.DeepEquals, []string{"GET /v1/adapters?limit=1000", "GET /v1/adapters?after=a&limit=1000"})
	a = newFakeAPI(c, `200 {"records":[{"seq":4,"revision":3,"at":"T","operator":"bo","action":"apply","change":"c-2","items":[`+
		strings.Repeat(`{"kind":"adapter","name":"a","before":{},"after":{}},`, 5)+`{"kind":"adapter","name":"z","before":{}}]}],"next":4}`)
	code, out, _ = newTestCLI(c, a.addr()).run("audit")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(out, quicktest.Equals, "SEQ  REVISION  AT  OPERATOR  ACTION  CHANGE  ITEMS\n"+
		"4    3         T   bo        apply   c-2     adapter/a adapter/a adapter/a adapter/a and 2 more\nmore with --after 4\n")
	a = newFakeAPI(c, "200 {\"seq\":1}\n{\"error\":{\"code\":\"no_leader\",\"message\":\"x\"}}\n")
	code, out, errs := newTestCLI(c, a.addr()).run("audit", "--export")
	c.Assert([]any{code, out, errs}, quicktest.DeepEquals, []any{Refused, "", "redwingstage: no_leader: x\n"})
}

func TestInitAndCheck(t *testing.T) {
	c := quicktest.New(t)
	s := newTestCLI(c)
	example, err := os.ReadFile(filepath.Join("..", "..", "examples", "maule", "answers.json"))
	c.Assert(err, quicktest.IsNil)
	answers := s.writeFile("answers.json", string(example))
	folder := filepath.Join(s.dir, "maule")
	code, out, errs := s.run("init", folder, "--answers", answers, "--operator", "aisyah")
	c.Assert(errs, quicktest.Equals, "")
	c.Assert(code, quicktest.Equals, OK)
	files := strings.Fields(out)
	c.Assert(files, quicktest.HasLen, 8+3+4)
	var settings []string
	for _, f := range files {
		path := filepath.Join(s.dir, f)
		info, err := os.Stat(path)
		c.Assert(err, quicktest.IsNil)
		isSecret := strings.Contains(f, "token")
		c.Assert(info.Mode().Perm() == secretMode, quicktest.Equals, isSecret)
		if strings.HasSuffix(f, ".json") {
			settings = append(settings, path)
		}
	}
	code, out, _ = s.run(append([]string{"check", answers}, settings...)...)
	c.Assert([]any{code, out}, quicktest.DeepEquals, []any{OK, "no findings in 14 files\n"})
	code, _, errs = s.run("init", folder, "--answers", answers)
	c.Assert(code, quicktest.Equals, Refused)
	c.Assert(strings.Count(errs, "exists; --force replaces it"), quicktest.Equals, len(files))
	code, _, _ = s.run("init", folder, "--answers", answers, "--force")
	c.Assert(code, quicktest.Equals, OK)
	s.in = "maule\n"
	code, _, errs = s.run("init", filepath.Join(s.dir, "asked"))
	c.Assert(code, quicktest.Equals, Refused)
	c.Assert(errs, quicktest.Contains, "Data centres, separated by spaces")
}

func TestCheckReportsAllFilesTogether(t *testing.T) {
	c := quicktest.New(t)
	s := newTestCLI(c)
	doc := s.writeFile("doc.json", `{"services":[{"name":"Base","kind":"modell","classes":[]}],"adapters":[{"name":"a","service":"base","versions":[{"number":0,"source":"s","digset":"d"}]}],"x":1}`)
	settings := s.writeFile("entry.json", `{"role":"entry","name":"e","zone":"z","zones":["z"],"peers":"127.0.0.1:1","metrics":"127.0.0.1:1","callers":"127.0.0.1:2","controls":["x"]}`)
	code, _, errs := s.run("check", doc, settings, filepath.Join(s.dir, "none.json"))
	c.Assert(code, quicktest.Equals, Refused)
	c.Assert(strings.Split(strings.TrimSpace(errs), "\n"), quicktest.DeepEquals, []string{
		`redwingstage: doc.json: services[0].name: must be of a-z, 0-9, '.', '_' and '-', and begin and end with a letter or digit`,
		`doc.json: services[0].kind: "modell" is none of model, plain`,
		`doc.json: services[0].classes: has 0 elements, needs 1`,
		`doc.json: adapters[0].versions[0].number: 0 is not between 1 and 2147483647`,
		`doc.json: adapters[0].versions[0].digest: is missing`,
		`doc.json: adapters[0].versions[0].digset: unknown field`,
		`doc.json: x: unknown field`,
		`none.json: open none.json: no such file or directory`,
		`entry.json: controls[0]: "x" is no address of the form ip:port`,
		`entry.json: metrics: "127.0.0.1:1" is the address of peers too`,
	})
	code, out, _ := s.run("check", doc, "--json")
	var body struct {
		Error struct {
			Findings []struct{ File, Path, Reason string }
		}
	}
	c.Assert(code, quicktest.Equals, Refused)
	c.Assert(json.Unmarshal([]byte(out), &body), quicktest.IsNil)
	c.Assert(body.Error.Findings[1].Path, quicktest.Equals, "services[0].kind")
}

func TestLocalCommands(t *testing.T) {
	c := quicktest.New(t)
	s := newTestCLI(c)
	for _, tt := range []struct {
		argv []string
		code Code
		out  string
		err  string
	}{
		{[]string{"version"}, OK, "redwingstage ", ""},
		{[]string{"completion", "bash"}, OK, "init check apply get status explain audit drain replica version completion", ""},
		{[]string{"completion", "fish"}, Usage, "", `"fish" is not supported`},
		{[]string{"--help"}, OK, "Exit codes: 0 done; 1 refused", ""},
		{[]string{"apply", "--help"}, OK, "--expect REVISION", ""},
		{nil, Usage, "", "Usage: redwingstage"},
		{[]string{"status"}, Usage, "", "--addrs or --operators is missing"},
		{[]string{"status", "--addrs", "localhost:1"}, Usage, "", `"localhost:1" is no address`},
		{[]string{"status", "--addrs", "127.0.0.1:1"}, Usage, "", "--token is missing"},
		{[]string{"status", "--addrs", "127.0.0.1:1", "--token", "none"}, Usage, "", "--token: open none"},
		{[]string{"replica", "--addrs", "127.0.0.1:1", "--token", filepath.Join(s.dir, "token")}, Usage, "", "add or remove is missing"},
	} {
		code, out, errs := s.run(tt.argv...)
		c.Assert(code, quicktest.Equals, tt.code, quicktest.Commentf("%v", tt.argv))
		c.Assert(out, quicktest.Contains, tt.out)
		c.Assert(errs, quicktest.Contains, tt.err)
	}
}

// freeAddr returns an address without a listener.
func freeAddr(c *quicktest.C) string {
	addr, err := launcher.FreeAddr(context.Background())
	c.Assert(err, quicktest.IsNil)
	return addr
}

// startControl starts a control replica, as the first of a group or to join one, and returns its operators' address.
func startControl(c *quicktest.C, id uint64, addr string, first bool) string {
	operators := freeAddr(c)
	cfg := controller.Config{
		ID: id, Cluster: "test", Addr: addr, OperatorsAddr: operators, DataFolder: c.TempDir(),
		Tokens: []controller.Token{{Name: "aisyah", Token: testToken}},
		Store:  registrar.StoreLimits{Rate: 3, Parallel: 2},
	}
	if first {
		cfg.Members = []runner.Member{{ID: id, Addr: addr}}
	}
	control, err := controller.New(cfg)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { c.Assert(control.Close(), quicktest.IsNil) })
	return operators
}

// runUntilLeader retries a command while the replica isn't the leader yet.
func (s *testCLI) runUntilLeader(argv ...string) (Code, string, string) {
	for range 300 {
		code, out, errs := s.run(argv...)
		if code != Unreachable {
			return code, out, errs
		}
		time.Sleep(100 * time.Millisecond)
	}
	return s.run(argv...)
}

// TestCommandsOnControlReplica uses a control replica with its log on disk.
func TestCommandsOnControlReplica(t *testing.T) {
	c := quicktest.New(t)
	operators := startControl(c, 1, freeAddr(c), true)
	s := newTestCLI(c, operators)
	doc := s.writeFile("doc.json", `{"classes":[{"name":"urgent","urgent":true,"first":"2s"}],"services":[{"name":"base","kind":"model","classes":["urgent"]}]}`)
	code, out, errs := s.runUntilLeader("apply", doc, "--expect", "0", "--change", "c-7")
	c.Assert(errs, quicktest.Equals, "")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(out, quicktest.Equals, "class urgent\nservice base\nrevision 1\n")
	code, again, _ := s.run("apply", doc, "--expect", "0", "--change", "c-7")
	c.Assert([]any{code, again}, quicktest.DeepEquals, []any{OK, out}) // a retry gets the first answer
	other := s.writeFile("other.json", `{"classes":[{"name":"late","first":"9s"}]}`)
	code, _, errs = s.run("apply", other, "--expect", "0")
	c.Assert(code, quicktest.Equals, Refused)
	c.Assert(errs, quicktest.Contains, "revision 1 came first: apply by aisyah")
	code, _, errs = s.run("apply", other, "--change", "c-8", "--expect", "1")
	c.Assert(errs, quicktest.Equals, "")
	c.Assert(code, quicktest.Equals, OK)
	_, out, _ = s.run("get", "classes")
	c.Assert(out, quicktest.Equals, "CLASS   URGENT  LONG  FIRST  TOTAL\nlate    -       -     9s     -\nurgent  yes     -     2s     -\n")
	_, out, _ = s.run("audit")
	c.Assert(out, quicktest.Contains, "aisyah    apply   c-7     +class/urgent +service/base\n")
	code, _, errs = s.run("apply", "--check", "--delete", "service/none")
	c.Assert(code, quicktest.Equals, Refused)
	c.Assert(errs, quicktest.Contains, "delete[0]")
	code, out, _ = s.run("status", "--json")
	c.Assert(code, quicktest.Equals, OK)
	c.Assert(out, quicktest.Contains, `"revision": 2`)
}

// TestAddAndRemoveReplica adds a replica without members to a running group and removes it.
func TestAddAndRemoveReplica(t *testing.T) {
	c := quicktest.New(t)
	joining := freeAddr(c)
	s := newTestCLI(c, startControl(c, 1, freeAddr(c), true))
	code, _, errs := s.runUntilLeader("status")
	c.Assert([]any{code, errs}, quicktest.DeepEquals, []any{OK, ""})
	startControl(c, 2, joining, false)
	code, _, errs = s.runUntilLeader("replica", "add", "2", joining, "--wait", "--timeout", "30s", "--change", "c-1")
	c.Assert([]any{code, errs}, quicktest.DeepEquals, []any{OK, ""})
	_, out, _ := s.run("status")
	c.Assert(out, quicktest.Matches, `(?s).*2 +`+joining+` +follower\n.*`)
	code, out, errs = s.runUntilLeader("replica", "remove", "2", "--wait", "--timeout", "30s", "--change", "c-2")
	c.Assert([]any{code, errs}, quicktest.DeepEquals, []any{OK, ""})
	c.Assert(out, quicktest.Not(quicktest.Contains), joining)
}
