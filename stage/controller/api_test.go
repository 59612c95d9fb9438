package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/configurer"
)

// startReplica starts a replica on free loopback addresses; without members to join it forms its own group.
func startReplica(t *testing.T, c *qt.C, id uint64, join ...runner.Member) *Controller {
	cfg := Config{
		ID: id, Cluster: "test", Addr: freeAddr(c), OperatorsAddr: freeAddr(c), MetricsAddr: freeAddr(c), DataFolder: t.TempDir(),
		Tokens: []Token{{Name: "aisyah", Token: testToken}},
	}
	cfg.Members = join
	if len(join) == 0 {
		cfg.Members = []runner.Member{{ID: id, Addr: cfg.Addr}}
	}
	ctl, err := New(cfg, WithLogger(noLogger()))
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(ctl.Close(), qt.IsNil) })
	return ctl
}

// raw makes a call and returns the status and body.
func (o operatorClient) raw(method, path, token, body string) (int, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+o.addr+path, strings.NewReader(body))
	o.c.Assert(err, qt.IsNil)
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := http.DefaultClient.Do(req)
	o.c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	o.c.Assert(err, qt.IsNil)
	return res.StatusCode, string(text)
}

func TestOperatorAPI(t *testing.T) {
	c := qt.New(t)
	ctl := startReplica(t, c, 1)
	op := operatorClient{c, ctl.cfg.OperatorsAddr}
	doc := `{"classes":[{"name":"chat"}],"services":[{"name":"base","kind":"model","classes":["chat"]}],"adapters":[` +
		`{"name":"a","service":"base","current":1,"versions":[{"number":1,"source":"s","digest":"d"}]},{"name":"b","service":"base","current":0}]}`
	tests := []struct {
		method, path, body string
		status             int
		want               []string
	}{
		{"POST", "/v1/apply", `{"change":"c1","expect":0,"doc":` + doc + `,"wait":true}`, 200, []string{`"revision":1`, `"inforce":true`}},
		{"POST", "/v1/apply", `{"change":"c1","expect":0,"doc":` + doc + `}`, 200, []string{`"revision":1`}},
		{"POST", "/v1/apply", `{"change":"c1","expect":1,"doc":` + doc + `}`, 409, []string{`"change_reused"`}},
		{"POST", "/v1/apply", `{"change":"c2","expect":0}`, 409, []string{`"conflict"`, `"winner":{"seq":1`, `"operator":"aisyah"`, `"change":"c1"`}},
		{"POST", "/v1/apply", `{"change":"c3","expect":1,"doc":{"adapters":[{"name":"a","service":"base","current":1,"versions":[{"number":1,"source":"x","digest":"d"}]}]}}`, 409, []string{`version a@1 exists with another content`, `"change":"c1"`}},
		{"POST", "/v1/apply", `{"change":"c4","expect":1,"doc":{"classes":[{"name":"Bad"}],"adapters":[{"name":"c"}]}}`, 422, []string{`"invalid"`, `doc.classes[0].name`, `doc.adapters[0].service`}},
		{"POST", "/v1/apply", `{"check":true,"expect":1,"doc":{"adapters":[{"name":"c","service":"none","current":0}]}}`, 422, []string{`no service named`}},
		{"POST", "/v1/apply", `{"docs":{}}`, 400, []string{`"malformed"`, `"path":"docs"`}},
		{"POST", "/v1/apply", `{"timeout":"1y"}`, 400, []string{`"path":"expect"`, `"path":"change"`, `"path":"timeout"`}},
		{"POST", "/v1/apply", `{"expect":"1"}`, 400, []string{`"path":"expect"`}},
		{"GET", "/v1/classes", "", 200, []string{`"classes":[{"name":"chat"}]`}},
		{"GET", "/v1/services/base", "", 200, []string{`"service":{"name":"base"`}},
		{"GET", "/v1/adapters?limit=1", "", 200, []string{`"name":"a"`, `"next":"a"`}},
		{"GET", "/v1/adapters?after=a", "", 200, []string{`"name":"b"`}},
		{"GET", "/v1/adapters?limit=0", "", 400, []string{`"path":"limit"`}},
		{"GET", "/v1/adapters/none", "", 404, []string{`"not_found"`}},
		{"DELETE", "/v1/adapters/a/versions/1?change=d1&expect=1", "", 422, []string{`is the current one`}},
		{"DELETE", "/v1/adapters/b?change=d2&expect=1&wait=true", "", 200, []string{`"revision":2`, `"inforce":true`}},
		{"DELETE", "/v1/classes/chat?change=d3&expect=2", "", 422, []string{`is used by service`}},
		{"DELETE", "/v1/classes/chat", "", 400, []string{`"path":"expect"`, `"path":"change"`}},
		{"GET", "/v1/wait?revision=2", "", 200, []string{`"inforce":true`}},
		{"GET", "/v1/wait?revision=9&timeout=100ms", "", 504, []string{`"not_in_force"`}},
		{"POST", "/v1/drains", `{"change":"x1","kind":"server","name":"engine-1"}`, 200, []string{`"drains":[{"kind":"server","name":"engine-1"}]`}},
		{"POST", "/v1/drains", `{"kind":"rack","name":"!"}`, 400, []string{`"path":"kind"`, `"path":"name"`}},
		{"DELETE", "/v1/drains/server/engine-1?change=x2", "", 200, []string{`"drains":[]`}},
		{"GET", "/v1/audit?after=1&limit=1", "", 200, []string{`"seq":2`, `"next":2`, `"before":{"name":"b"`, `"action":"delete"`}},
		{"GET", "/v1/audit?operator=nobody", "", 200, []string{`"records":[]`}},
		{"GET", "/v1/audit?since=yesterday", "", 400, []string{`"path":"since"`}},
		{"GET", "/v1/audit/export", "", 200, []string{`"action":"drain"`, `"action":"undrain"`, `"change":"x2"`}},
		{"GET", "/v1/status", "", 200, []string{`"leader":1`, `"settled":true`}},
		{"GET", "/v1/nothing", "", 404, []string{`"not_found"`}},
		{"DELETE", "/v1/replicas/none", "", 400, []string{`"path":"id"`}},
	}
	for i, tt := range tests {
		status, text := op.raw(tt.method, tt.path, testToken, tt.body)
		at := qt.Commentf("%d %s %s: %d %s", i, tt.method, tt.path, status, text)
		c.Check(status, qt.Equals, tt.status, at)
		for _, w := range tt.want {
			c.Check(strings.Contains(text, w), qt.IsTrue, at)
		}
	}
	status, text := op.raw("GET", "/v1/status", "wrong", "")
	c.Check(status, qt.Equals, http.StatusUnauthorized)
	c.Check(text, qt.Contains, `"unauthorized"`)
	status, text = operatorClient{c, ctl.cfg.MetricsAddr}.raw("GET", "/metrics", "", "")
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(text, qt.Contains, "redwingstage_control_revision 2")
}

// TestReplaceReplica moves a group from one replica to another, which must have the complete state.
func TestReplaceReplica(t *testing.T) {
	c := qt.New(t)
	first := startReplica(t, c, 1)
	op := operatorClient{c, first.cfg.OperatorsAddr}
	zero := uint64(0)
	c.Assert(op.call("POST", "/v1/apply", applyBody{Change: "c1", Expect: &zero, Doc: sampleDoc()}, nil), qt.Equals, http.StatusOK)
	second := startReplica(t, c, 2, runner.Member{ID: 1, Addr: first.cfg.Addr})
	var list struct{ Replicas []replicaJSON }
	c.Assert(op.call("POST", "/v1/replicas", replicaJSON{Change: "r1", ID: 2, Addr: second.cfg.Addr}, &list), qt.Equals, http.StatusOK)
	c.Assert(list.Replicas, qt.HasLen, 2)
	op.addr = second.cfg.OperatorsAddr
	c.Assert(op.call("DELETE", "/v1/replicas/1?change=r2", nil, &list), qt.Equals, http.StatusOK, qt.Commentf(fmt.Sprint(list)))
	var got listBody
	c.Assert(op.call("GET", "/v1/adapters", nil, &got), qt.Equals, http.StatusOK)
	c.Assert(*got.Adapters, qt.DeepEquals, sampleDoc().Adapters)
	var audit struct{ Records []recordJSON }
	c.Assert(op.call("GET", "/v1/audit", nil, &audit), qt.Equals, http.StatusOK)
	var actions []string
	for _, r := range audit.Records {
		actions = append(actions, string(r.Action))
	}
	c.Assert(actions, qt.DeepEquals, []string{"apply", "add-replica", "remove-replica"})
	var kinds []configurer.ObjectKind
	for _, it := range audit.Records[0].Items {
		kinds = append(kinds, it.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []configurer.ObjectKind{"class", "service", "adapter"})
}

func TestConfigErrors(t *testing.T) {
	good := Config{ID: 1, Addr: "127.0.0.1:0", DataFolder: t.TempDir(), Tokens: []Token{{"aisyah", testToken}}}
	tests := []struct {
		modify func(*Config)
		want   string
	}{
		{func(cfg *Config) { cfg.ID = 0 }, "control settings: id must be at least 1"},
		{func(cfg *Config) { cfg.Addr = "" }, "control settings: addr is missing"},
		{func(cfg *Config) { cfg.DataFolder = "" }, "control: open log: control settings: folder is missing"},
		{func(cfg *Config) { cfg.Addr = "127.0.0.1:x" }, "control: listen on 127.0.0.1:x: .*"},
		{func(cfg *Config) { cfg.Tokens = []Token{{"a", "short"}} }, `control settings: tokens\[0\].token has fewer than 16 characters`},
		{func(cfg *Config) { cfg.Tokens = append(cfg.Tokens, cfg.Tokens[0]) }, `control settings: tokens\[1\].token stands twice`},
	}
	for _, tt := range tests {
		cfg := good
		tt.modify(&cfg)
		_, err := New(cfg, WithLogger(noLogger()))
		qt.Check(t, err, qt.ErrorMatches, tt.want)
	}
	_, err := NewClient(ClientConfig{Name: "Entry", Addr: "a", ControlAddrs: []string{"b"}})
	qt.Check(t, err, qt.ErrorMatches, `control client: name "Entry" must be of a-z.*`)
}
