package relayer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/stage/parser"
)

const (
	// explainPath is the path on the readiness listener that tells where a request would go.
	explainPath = "/explain"
	// maxExplainBytes bounds the description of a request, whose headers are no longer than those of a request.
	maxExplainBytes = 64 << 10
)

// Codes of explanations that fail.
const (
	codeUnknownRoute   = "unknown_route"
	codeUnknownKey     = "unknown_key"
	codeUnknownAdapter = "unknown_adapter"
	codeUnsure         = "unsure"
	codeInvalid        = "invalid"
)

// Decisions on an account's quota.
const (
	quotaAdmitted = "admitted"
	quotaUnknown  = "unknown"
	quotaShort    = "short"
)

// explainRequest describes a request.
type explainRequest struct {
	Method  string          `json:"method"`
	Host    string          `json:"host"`
	Path    string          `json:"path"`
	Headers []explainHeader `json:"headers"`
}

type explainHeader struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// explainAnswer tells where a request would go; times are in milliseconds, -1 for what never was.
type explainAnswer struct {
	Entry           string `json:"entry"`
	Zone            string `json:"zone"`
	Version         uint64 `json:"version"`
	NewsAgeMS       int64  `json:"news_age_ms"`
	ConfirmedAgeMS  int64  `json:"confirmed_age_ms"`
	DisconnectedMS  int64  `json:"disconnected_ms"`
	Entries         int    `json:"entries"`
	Route           string `json:"route"`
	Account         string `json:"account,omitempty"`
	Priority        int    `json:"priority"`
	Adapter         string `json:"adapter,omitempty"`
	PromptTokens    int    `json:"prompt_tokens,omitempty"`
	AnswerTokens    int    `json:"answer_tokens,omitempty"`
	MemoryTokens    int    `json:"memory_tokens,omitempty"`
	EngineTokens    int    `json:"engine_tokens,omitempty"`
	LatencyTargetMS int64  `json:"latency_target_ms,omitempty"`
	// Quota is set if the account has a limit.
	Quota    *explainQuota    `json:"quota,omitempty"`
	Services []explainService `json:"services"`
}

type explainQuota struct {
	Unit string `json:"unit"`
	// Cost is what the request counts, Left what this entry has at hand, RatePerS what it refills a second of LimitPerS.
	Cost      float64 `json:"cost"`
	Left      float64 `json:"left"`
	RatePerS  float64 `json:"rate_per_s"`
	LimitPerS float64 `json:"limit_per_s"`
	Scarce    bool    `json:"scarce,omitempty"`
	Decision  string  `json:"decision"`
	WaitMS    int64   `json:"wait_ms,omitempty"`
}

type explainService struct {
	Service string `json:"service"`
	// Share is the share of the route's requests that go to the service.
	Share float64 `json:"share"`
	// Outcome is what would be done: the request is sent, or waits for something, or is refused.
	Outcome string `json:"outcome"`
	Choice  string `json:"choice,omitempty"`
	// AdmittedShare is the share of requests that look for a server, WaitChance the probability of a wait for room.
	AdmittedShare float64         `json:"admitted_share"`
	WaitChance    float64         `json:"wait_chance,omitempty"`
	Estimated     bool            `json:"estimated,omitempty"`
	Servers       []explainServer `json:"servers"`
}

type explainServer struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// LeftOut is why the server isn't considered, empty if it is.
	LeftOut     string  `json:"left_out,omitempty"`
	Chance      float64 `json:"chance"`
	Score       float64 `json:"score"`
	Load        float64 `json:"load"`
	Running     int     `json:"running"`
	AllRunning  int     `json:"all_running"`
	Expected    float64 `json:"expected"`
	Limit       int     `json:"limit"`
	Slots       int     `json:"slots"`
	LoadsKnown  bool    `json:"loads_known"`
	Unreachable bool    `json:"unreachable,omitempty"`
	Memory      int     `json:"memory_tokens"`
	Speed       float64 `json:"speed"`
	Prefill     float64 `json:"prefill_speed"`
	Cached      int     `json:"cached_tokens"`
	Holds       bool    `json:"holds_adapter"`
	Adapter     int     `json:"adapter_version,omitempty"`
}

type explainErrorBody struct {
	Error explainError `json:"error"`
}

// explainError is why there is no explanation.
type explainError struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *explainError) Error() string { return e.Message }

// serveExplanation answers where a request would go. It takes a key as a caller's request does, and repeats none.
func (e *Relayer) serveExplanation(w http.ResponseWriter, r *http.Request) {
	status, body := http.StatusOK, any(nil)
	answer, err := e.readAndExplain(w, r)
	var failed *explainError
	switch {
	case errors.As(err, &failed):
		status, body = failed.status, explainErrorBody{Error: *failed}
	case err != nil:
		status, body = http.StatusBadRequest, explainErrorBody{Error: explainError{Code: codeInvalid, Message: err.Error()}}
	default:
		body = answer
	}
	b, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b) // the caller has left
}

func (e *Relayer) readAndExplain(w http.ResponseWriter, r *http.Request) (*explainAnswer, error) {
	if r.Method != http.MethodPost {
		return nil, &explainError{status: http.StatusMethodNotAllowed, Code: codeInvalid, Message: "the description of a request comes by POST"}
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	if err != nil {
		return nil, &explainError{status: http.StatusRequestEntityTooLarge, Code: codeInvalid, Message: "the description of the request can't be read whole, or is too large"}
	}
	var in explainRequest
	if json.Unmarshal(b, &in) != nil {
		// The error of the decoder may quote a key.
		return nil, &explainError{status: http.StatusBadRequest, Code: codeInvalid, Message: "the description of the request is no JSON of the expected form"}
	}
	req, err := in.toRequest()
	if err != nil {
		return nil, err
	}
	// One at a time: a large fleet's explanation takes milliseconds.
	e.explaining.Lock()
	defer e.explaining.Unlock()
	return e.explain(time.Now(), req)
}

// toRequest returns the described request as if it had been read from a connection.
func (in *explainRequest) toRequest() (*request, error) {
	invalid := func(reason string) error {
		return &explainError{status: http.StatusBadRequest, Code: codeInvalid, Message: reason}
	}
	r := &request{method: in.Method, uri: in.Path, host: strings.ToLower(in.Host)}
	if r.method == "" {
		r.method = http.MethodGet
	}
	if !parser.IsToken(r.method) {
		return nil, invalid("the method is malformed")
	}
	if !strings.HasPrefix(r.uri, "/") || strings.ContainsAny(r.uri, " \r\n\x00\t") {
		return nil, invalid("the path is malformed")
	}
	r.path, _, _ = strings.Cut(r.uri, "?")
	if host, _, ok := strings.Cut(r.host, ":"); ok {
		r.host = host
	}
	for i, h := range in.Headers {
		if !parser.IsToken(h.Name) || strings.ContainsAny(h.Value, "\r\n\x00") {
			return nil, invalid(fmt.Sprintf("header %d is malformed", i+1))
		}
		r.fields = append(r.fields, field{http.CanonicalHeaderKey(h.Name), strings.Trim(h.Value, " \t")})
	}
	return r, nil
}

// explain returns where a request that came at a time would go; it changes nothing.
func (e *Relayer) explain(now time.Time, req *request) (*explainAnswer, error) {
	req.decision = e.decideNow(req)
	d := &req.decision
	if d.refusal != nil {
		return nil, refusedExplanation(d.refusal)
	}
	out := &explainAnswer{
		Entry: e.cfg.Node, Zone: e.cfg.Zone, Version: d.table.Version(), Route: d.route.Name, Account: d.accountName(), Priority: d.priority(),
		LatencyTargetMS: d.route.LatencyTarget.Milliseconds(), Entries: e.balancer.Entries(),
	}
	stale, _ := e.control.freshness(now)
	out.DisconnectedMS = stale.Milliseconds()
	out.NewsAgeMS, out.ConfirmedAgeMS = e.control.ages(now)
	out.Quota = e.explainQuota(now, req)
	if err := e.explainServices(now, req, out); err != nil {
		return nil, err
	}
	return out, nil
}

// explainServices adds what each service of the route would do with a request.
func (e *Relayer) explainServices(now time.Time, req *request, out *explainAnswer) error {
	d := &req.decision
	total := 0.0
	for _, s := range d.route.Shares {
		total += max(s.Weight, 0)
	}
	for _, s := range d.route.Shares {
		if s.Weight <= 0 {
			continue
		}
		c, err := e.explainedCall(now, req, s.Service)
		if err != nil {
			return err
		}
		x := e.balancer.Explain(now, c.pickRequest(e.cfg.Zone))
		if c.adapter.Name != "" && !x.AdapterKnown {
			return unknownAdapter(c, "no server holds it and no version of it was announced; a request would wait while the leader is asked for it")
		}
		if c.adapter.Model != "" {
			out.Adapter = strings.TrimSuffix(c.adapter.Model+"/"+c.adapter.Name, "/")
		}
		out.PromptTokens, out.AnswerTokens, out.MemoryTokens, out.EngineTokens = c.tokens, c.outputTokens, c.memory, c.capacity
		offer := explainedService(c, s.Weight/total, x)
		if reason := e.refusedBefore(c, out.Quota); reason != "" {
			offer.Outcome, offer.Choice = reason, ""
		}
		out.Services = append(out.Services, offer)
	}
	return nil
}

// refusedBefore returns why a request is refused or waits before a server is looked for, empty if it isn't and doesn't.
func (e *Relayer) refusedBefore(c *call, q *explainQuota) string {
	c.parts = e.partDigests(c)
	switch {
	case c.isTooLarge():
		return "refused: the prompt doesn't fit into the memory of any engine"
	case e.suspects.check(c) != quarantiner.Admitted:
		return "refused: requests like this one crash backend servers"
	case q == nil || q.Decision == quotaAdmitted:
		return ""
	case q.Decision == quotaUnknown:
		return "refused: this entry doesn't know its share of the account's quota now"
	case time.Duration(q.WaitMS)*time.Millisecond > maxQuotaWait(c.route):
		return "refused: the account's quota has no room"
	}
	return "waits for the account's quota"
}

// refusedExplanation returns the error for a request whose head is refused.
func refusedExplanation(r *refusal) error {
	out := &explainError{status: r.status, Code: codeUnsure, Message: r.reason}
	switch r.status {
	case http.StatusNotFound:
		out.Code = codeUnknownRoute
	case http.StatusUnauthorized:
		out.Code = codeUnknownKey
	}
	return out
}

func unknownAdapter(c *call, reason string) error {
	return &explainError{
		status: http.StatusNotFound, Code: codeUnknownAdapter,
		Message: fmt.Sprintf("the adapter %s/%s is unknown at %s: %s", c.adapter.Model, c.adapter.Name, c.service, reason),
	}
}

// explainedCall returns the request as one to a service.
func (e *Relayer) explainedCall(now time.Time, req *request, service string) (*call, error) {
	d := &req.decision
	c := &call{
		req: req, route: d.route, service: service, arrived: now, lastProgressAt: now, account: d.account, priority: d.priority(),
	}
	c.deadline = e.deadlineOf(c)
	s, ok := d.table.Service(service)
	if !ok || s.AdapterSlots <= 0 {
		return c, nil
	}
	e.describePrompt(c, s)
	if c.adapter.Model != "" && !hasModel(s, c.adapter.Model) {
		return nil, unknownAdapter(c, "the service has no such model")
	}
	return c, nil
}

// hasModel reports whether engines of a service may hold a model; a configuration without models allows any.
func hasModel(s *matcher.Service, name string) bool {
	for _, m := range s.Models {
		if m.Name == name {
			return true
		}
	}
	return len(s.Models) == 0
}

// explainQuota returns what the account's quota would do with a request, nil if it has none.
func (e *Relayer) explainQuota(now time.Time, req *request) *explainQuota {
	a := req.decision.account
	if a == nil || !a.Quota.Limited() {
		return nil
	}
	cost := e.quotaCost(a, req)
	share, d, ok := e.quotas.preview(now, a.Name, cost)
	if !ok {
		return nil
	}
	out := &explainQuota{Unit: "requests", Cost: cost, Left: share.Level, RatePerS: share.Rate, LimitPerS: a.Quota.Rate, Scarce: share.Scarce}
	if a.Quota.Unit == matcher.Tokens {
		out.Unit = "tokens"
	}
	switch d.Verdict {
	case limiter.Admitted:
		out.Decision = quotaAdmitted
	case limiter.Unknown:
		out.Decision = quotaUnknown
	default:
		out.Decision, out.WaitMS = quotaShort, d.Wait.Milliseconds()
	}
	return out
}

// causeNames name in explanations why a server is left out.
var causeNames = map[balancer.Cause]string{
	balancer.CauseLeaving: "leaving", balancer.CauseExcluded: "excluded", balancer.CauseNotLoaded: "lacks the adapter",
	balancer.CauseOldVersion: "an old version of the adapter", balancer.CauseFull: "full", balancer.CausePaused: "wants no requests now",
	balancer.CauseNoRoom: "no room", balancer.CausePrefillBusy: "prefills other prompts",
}

// explainedService returns what a service would do with a request.
func explainedService(c *call, share float64, x balancer.Explanation) explainService {
	out := explainService{
		Service: c.service, Share: share, AdmittedShare: x.AdmittedShare, WaitChance: x.WaitChance, Estimated: x.Estimated,
		Servers: make([]explainServer, 0, len(x.Servers)),
	}
	best := 0.0
	for _, v := range x.Servers {
		if v.Chance > best {
			best, out.Choice = v.Chance, v.Key.ID
		}
		out.Servers = append(out.Servers, explainServer{
			ID: v.Key.ID, Zone: v.Zone, LeftOut: causeNames[v.Cause], Chance: v.Chance, Score: v.Score, Load: v.Load, Running: v.Running,
			AllRunning: v.Total, Expected: v.Expected, Limit: v.Limit, Slots: v.Slots, LoadsKnown: v.FreshLoads, Unreachable: v.Unreachable,
			Memory: v.Memory, Speed: v.Step, Prefill: v.Prefill, Cached: v.Cached, Holds: v.Holds, Adapter: v.Version,
		})
	}
	switch {
	case x.Behind:
		out.Outcome = "waits for " + waitReasons[x.Status] + " behind others"
	case x.Status != balancer.Picked:
		out.Outcome = "waits for " + waitReasons[x.Status]
	case best < 1:
		out.Outcome = fmt.Sprintf("sent, most likely to %s (%.0f %%)", out.Choice, 100*best)
	default:
		out.Outcome = "sent to " + out.Choice
	}
	return out
}

// ages returns how long ago the session last brought news and the leader was last known to have served this entry, in
// milliseconds; -1 for never.
func (c *controlClient) ages(now time.Time) (news, confirmed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := func(at time.Time) int64 {
		if at.IsZero() {
			return -1
		}
		return max(now.Sub(at).Milliseconds(), 0)
	}
	return age(c.newsAt), age(c.confirmedAt)
}

// preview returns what the quota of an account would do with a request; it changes nothing.
func (q *quotas) preview(now time.Time, account string, cost float64) (limiter.Share, limiter.Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.set.Preview(now, account, cost)
}
