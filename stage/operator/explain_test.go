package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// explainedAnswer is an entry's answer.
const explainedAnswer = `{"entry":"front-1","zone":"kl-1","version":7,"news_age_ms":120,"confirmed_age_ms":340,"disconnected_ms":0,"entries":2,
"route":"tuned","account":"coop","priority":2,"adapter":"base/ipoh","prompt_tokens":600,"memory_tokens":700,"engine_tokens":10000,
"quota":{"unit":"tokens","cost":700,"left":80.5,"rate_per_s":10,"limit_per_s":100,"decision":"short","wait_ms":6200},
"services":[{"service":"chat","share":1,"outcome":"sent, most likely to e-1 (75 %)","choice":"e-1","admitted_share":1,"estimated":true,"servers":[
{"id":"e-1","zone":"kl-1","chance":0.75,"score":0.2,"load":0.25,"all_running":2,"limit":20,"loads_known":true,"memory_tokens":1500,"speed":1,"cached_tokens":400,"holds_adapter":true,"adapter_version":3},
{"id":"e-2","zone":"jb-1","chance":0.25,"score":0.45,"load":0,"all_running":0,"limit":20,"loads_known":true,"unreachable":true,"memory_tokens":0,"speed":0.5,"holds_adapter":true,"adapter_version":3},
{"id":"e-3","zone":"kl-1","left_out":"lacks the adapter","chance":0,"score":0,"load":0.1,"all_running":1,"limit":20,"loads_known":false,"memory_tokens":0,"speed":1}]}]}`

const explainedText = `entry    front-1 in kl-1, configuration 7, 2 entries
state    last news 0.1 s ago, leader last confirmed 0.3 s ago
route    tuned, priority 2
account  coop, this entry has 80.5 tokens left and refills 10.0 a second of 100.0; the request counts 700.0: short, room in 6.2 s
adapter  base/ipoh
prompt   600 tokens, needs room for 700 of an engine's 10000
service  chat, 100 % of the route's requests: sent, most likely to e-1 (75 %); chances are estimated
SERVER  ZONE  CHANCE  SCORE  LOAD  RUNNING        ROOM           SPEED  CACHED  ADAPTER    LEFT OUT
e-1     kl-1  75 %    0.20   0.25  2 of 20        1500 of 10000  1.00   400     version 3  -
e-2     jb-1  25 %    0.45   0.00  0 of 20        0 of 10000     0.50   0       version 3  (unreachable lately, comes last)
e-3     kl-1  -       -      0.10  1 of 20 (own)  0 of 10000     1.00   0       -          lacks the adapter
`

func TestExplain(t *testing.T) {
	c := quicktest.New(t)
	status, answer, asked := http.StatusOK, explainedAnswer, ""
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		asked = r.Method + " " + r.URL.Path + " " + string(b)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, answer)
	}))
	defer entry.Close()
	s := newTestCLI(c)
	argv := []string{
		"explain", "--entry", entry.Listener.Addr().String(), "--host", "chat.example", "--path", "/tuned/x?q=1", "--method", "POST",
		"--header", "Authorization: Token k-secret", "--header", "Model:base/ipoh",
	}
	code, out, errs := s.run(argv...)
	c.Check(code, quicktest.Equals, OK)
	c.Check(errs, quicktest.Equals, "")
	c.Check(out, quicktest.Equals, explainedText)
	c.Check(asked, quicktest.Equals, `POST /explain {"method":"POST","host":"chat.example","path":"/tuned/x?q=1",`+
		`"headers":[{"name":"Authorization","value":"Token k-secret"},{"name":"Model","value":"base/ipoh"}]}`)
	code, out, _ = s.run(append(argv, "--json")...)
	c.Check(code, quicktest.Equals, OK)
	c.Check(out, quicktest.Contains, `"route": "tuned"`)
	c.Check(out, quicktest.Contains, `"left_out": "lacks the adapter"`)

	for _, row := range []struct{ code, message string }{
		{"unknown_route", "no route matches chat.example/none"},
		{"unknown_key", "the key is unknown"},
		{"unknown_adapter", "the adapter base/none is unknown at chat: the service has no such model"},
	} {
		status, answer = http.StatusNotFound, `{"error":{"code":"`+row.code+`","message":"`+row.message+`"}}`
		code, out, errs = s.run(argv...)
		c.Check(code, quicktest.Equals, Refused)
		c.Check(out, quicktest.Equals, "")
		c.Check(errs, quicktest.Equals, "redwingstage: "+row.code+": "+row.message+"\n")
		code, out, _ = s.run(append(argv, "--json")...)
		c.Check(code, quicktest.Equals, Refused)
		c.Check(out, quicktest.Contains, `"code": "`+row.code+`"`)
	}
}

func TestExplainWithoutAnswer(t *testing.T) {
	c := quicktest.New(t)
	s := newTestCLI(c)
	for _, row := range []struct {
		argv []string
		code Code
		err  string
	}{
		{[]string{"--entry", freeAddr(c), "--host", "h", "--path", "/"}, Unreachable, "the entry doesn't answer"},
		{[]string{"--entry", "front-1", "--host", "h", "--path", "/"}, Usage, `"front-1" is no address`},
		{[]string{"--entry", "127.0.0.1:1", "--host", "h", "--path", "/", "--header", "Token-k-secret"}, Usage, "number 1 is not of the form"},
		{[]string{"--host", "h", "--path", "/"}, Usage, "--entry is missing"},
	} {
		code, _, errs := s.run(append([]string{"explain"}, row.argv...)...)
		c.Check(code, quicktest.Equals, row.code, quicktest.Commentf("%s", errs))
		c.Check(strings.ToLower(errs), quicktest.Contains, strings.ToLower(row.err))
		c.Check(errs, quicktest.Not(quicktest.Contains), "secret")
	}
}
