package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/stage/parser"
)

const (
	// explainPath is the path on an entry's readiness listener.
	explainPath = "/explain"
	// explainTimeout bounds the call, maxExplanation its answer: some hundred bytes a server.
	explainTimeout = 5 * time.Second
	maxExplanation = 32 << 20
)

type explainArgs struct {
	Entry   string   `arg:"--entry" placeholder:"IP:PORT" help:"readiness address of the entry whose state answers"`
	Host    string   `arg:"--host" help:"the request's host"`
	Path    string   `arg:"--path" help:"the request's path, with its query"`
	Method  string   `arg:"--method" default:"GET" help:"the request's method"`
	Headers []string `arg:"--header,separate" placeholder:"'NAME: VALUE'" help:"a header of the request, again for each one"`
}

type explainHeader struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

type explainRequest struct {
	Method  string          `json:"method"`
	Host    string          `json:"host"`
	Path    string          `json:"path"`
	Headers []explainHeader `json:"headers,omitempty"`
}

// explanation is an entry's answer; ages are -1 for what never was.
type explanation struct {
	Entry          string  `json:"entry"`
	Zone           string  `json:"zone"`
	Version        uint64  `json:"version"`
	NewsAgeMS      int64   `json:"news_age_ms"`
	ConfirmedAgeMS int64   `json:"confirmed_age_ms"`
	DisconnectedMS int64   `json:"disconnected_ms"`
	Entries        int     `json:"entries"`
	Route          string  `json:"route"`
	Account        string  `json:"account"`
	Priority       int     `json:"priority"`
	Adapter        string  `json:"adapter"`
	PromptTokens   int     `json:"prompt_tokens"`
	MemoryTokens   int     `json:"memory_tokens"`
	EngineTokens   int     `json:"engine_tokens"`
	Quota          *quota  `json:"quota"`
	Services       []offer `json:"services"`
}

type quota struct {
	Unit      string  `json:"unit"`
	Cost      float64 `json:"cost"`
	Left      float64 `json:"left"`
	RatePerS  float64 `json:"rate_per_s"`
	LimitPerS float64 `json:"limit_per_s"`
	Decision  string  `json:"decision"`
	WaitMS    int64   `json:"wait_ms"`
}

// offer is what one of the route's services would do.
type offer struct {
	Service       string          `json:"service"`
	Share         float64         `json:"share"`
	Outcome       string          `json:"outcome"`
	AdmittedShare float64         `json:"admitted_share"`
	WaitChance    float64         `json:"wait_chance"`
	Estimated     bool            `json:"estimated"`
	Servers       []offeredServer `json:"servers"`
}

type offeredServer struct {
	ID          string  `json:"id"`
	Zone        string  `json:"zone"`
	LeftOut     string  `json:"left_out"`
	Chance      float64 `json:"chance"`
	Score       float64 `json:"score"`
	Load        float64 `json:"load"`
	AllRunning  int     `json:"all_running"`
	Limit       int     `json:"limit"`
	LoadsKnown  bool    `json:"loads_known"`
	Unreachable bool    `json:"unreachable"`
	Memory      int     `json:"memory_tokens"`
	Speed       float64 `json:"speed"`
	Cached      int     `json:"cached_tokens"`
	Holds       bool    `json:"holds_adapter"`
	Adapter     int     `json:"adapter_version"`
}

// explain tells where a request would go by the state of one entry, without sending it.
func (c *command) explain() error {
	for _, f := range []struct{ flag, value string }{{"--entry", c.Explain.Entry}, {"--host", c.Explain.Host}, {"--path", c.Explain.Path}} {
		if f.value == "" {
			return &usageError{f.flag + " is missing"}
		}
	}
	in := explainRequest{Method: c.Explain.Method, Host: c.Explain.Host, Path: c.Explain.Path}
	for i, h := range c.Explain.Headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			// The text may hold a key, so that it isn't repeated.
			return &usageError{fmt.Sprintf("--header: number %d is not of the form 'Name: value'", i+1)}
		}
		in.Headers = append(in.Headers, explainHeader{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value)})
	}
	if _, err := netip.ParseAddrPort(c.Explain.Entry); err != nil {
		return &usageError{fmt.Sprintf("--entry: %q is no address of the form ip:port", c.Explain.Entry)}
	}
	b, err := askEntry(c.Explain.Entry, in)
	if err != nil {
		return err
	}
	var x explanation
	if err := json.Unmarshal(b, &x); err != nil {
		return errors.Wrap(err, "read the entry's answer")
	}
	if c.JSON {
		return c.printJSON(json.RawMessage(b))
	}
	return c.printExplanation(&x)
}

func askEntry(addr string, in explainRequest) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode the request's description")
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+explainPath, strings.NewReader(string(body)))
	if err != nil {
		return nil, errors.Wrap(err, "make the call")
	}
	r.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DialContext: parser.DialContext(new(net.Dialer), maxHeadBytes), DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return nil, &entryError{err: err}
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanation))
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		return nil, &entryError{err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, readError(addr, resp.StatusCode, b)
	}
	return b, nil
}

// entryError means that the entry gave no whole answer.
type entryError struct{ err error }

// Error implements error.
func (e *entryError) Error() string { return "the entry doesn't answer: " + e.err.Error() }

// Unwrap returns the failure of the call.
func (e *entryError) Unwrap() error { return e.err }

func ageText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s ago", float64(ms)/1000)
}

func (c *command) printExplanation(x *explanation) error {
	var b strings.Builder
	fmt.Fprintf(&b, "entry    %s in %s, configuration %d, %d entries\n", x.Entry, x.Zone, x.Version, x.Entries)
	fmt.Fprintf(&b, "state    last news %s, leader last confirmed %s", ageText(x.NewsAgeMS), ageText(x.ConfirmedAgeMS))
	if x.DisconnectedMS > 0 {
		fmt.Fprintf(&b, ", may lack newer versions for %.1f s", float64(x.DisconnectedMS)/1000)
	}
	fmt.Fprintf(&b, "\nroute    %s, priority %d\n", x.Route, x.Priority)
	if x.Account != "" {
		fmt.Fprintf(&b, "account  %s%s\n", x.Account, quotaText(x.Quota))
	}
	if x.Adapter != "" {
		fmt.Fprintf(&b, "adapter  %s\n", x.Adapter)
	}
	if x.PromptTokens > 0 {
		fmt.Fprintf(&b, "prompt   %d tokens", x.PromptTokens)
		if x.EngineTokens > 0 {
			fmt.Fprintf(&b, ", needs room for %d of an engine's %d", x.MemoryTokens, x.EngineTokens)
		}
		b.WriteString("\n")
	}
	if err := c.printf("%s", b.String()); err != nil {
		return err
	}
	for i := range x.Services {
		if err := c.printOffer(x, &x.Services[i]); err != nil {
			return err
		}
	}
	return nil
}

func quotaText(q *quota) string {
	if q == nil {
		return ", no limit"
	}
	text := fmt.Sprintf(
		", this entry has %.1f %s left and refills %.1f a second of %.1f; the request counts %.1f: %s",
		q.Left, q.Unit, q.RatePerS, q.LimitPerS, q.Cost, q.Decision,
	)
	if q.WaitMS > 0 {
		text += fmt.Sprintf(", room in %.1f s", float64(q.WaitMS)/1000)
	}
	return text
}

func (c *command) printOffer(x *explanation, o *offer) error {
	text := fmt.Sprintf("service  %s, %.0f %% of the route's requests: %s", o.Service, 100*o.Share, o.Outcome)
	if o.AdmittedShare < 1 {
		text += fmt.Sprintf("; %.0f %% of its requests are admitted now", 100*o.AdmittedShare)
	}
	if o.WaitChance > 0 {
		text += fmt.Sprintf("; waits for room with %.0f %%", 100*o.WaitChance)
	}
	if o.Estimated {
		text += "; chances are estimated"
	}
	if err := c.printf("%s\n", text); err != nil {
		return err
	}
	t := newTable(c.Out, "SERVER", "ZONE", "CHANCE", "SCORE", "LOAD", "RUNNING", "ROOM", "SPEED", "CACHED", "ADAPTER", "LEFT OUT")
	for i := range o.Servers {
		t.row(o.Servers[i].cells(x)...)
	}
	return t.flush()
}

func (s *offeredServer) cells(x *explanation) []string {
	chance, score, room, adapter, leftOut := "", "", "", "", s.LeftOut
	if s.LeftOut == "" {
		chance, score = fmt.Sprintf("%.0f %%", 100*s.Chance), fmt.Sprintf("%.2f", s.Score)
	}
	if x.EngineTokens > 0 {
		room = fmt.Sprintf("%d of %d", s.Memory, x.EngineTokens)
	}
	if s.Holds {
		adapter = fmt.Sprintf("version %d", s.Adapter)
	}
	running := fmt.Sprintf("%d of %d", s.AllRunning, s.Limit)
	if !s.LoadsKnown {
		running += " (own)"
	}
	if s.Unreachable && leftOut == "" {
		leftOut = "(unreachable lately, comes last)"
	}
	return []string{
		s.ID, s.Zone, chance, score, fmt.Sprintf("%.2f", s.Load), running, room, fmt.Sprintf("%.2f", s.Speed), fmt.Sprint(s.Cached), adapter, leftOut,
	}
}
