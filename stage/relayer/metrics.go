package relayer

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/collector"
	"redwingstage.org/stage/tunneler"
)

// metricsPath is the path of the metrics on the readiness listener.
const metricsPath = "/metrics"

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	responses *prometheus.CounterVec
	probes    *prometheus.CounterVec
	places    *prometheus.CounterVec
	late      *prometheus.CounterVec
	firstByte prometheus.Histogram
	wait      prometheus.Histogram
	// closedConns counts the connections that were closed for others.
	closedConns prometheus.Counter
	prompts     *prometheus.CounterVec
	amounts     *prometheus.CounterVec
	room        *prometheus.CounterVec
	leaderAge   prometheus.Histogram
	takeUps     *prometheus.CounterVec

	accountsMu sync.Mutex
	accounts   *prometheus.CounterVec
	// accountNames are the accounts that may have been counted.
	accountNames map[string]bool
}

// accountOutcome is what became of a request with regard to its client account.
type accountOutcome string

const (
	// accountAdmitted counts requests that were passed on to be served.
	accountAdmitted accountOutcome = "admitted"
	// accountKeyRefused counts 401 to requests without a known key.
	accountKeyRefused accountOutcome = "refused_key"
	// accountKeyUnsure counts 503 to requests without a known key, at an entry that may not know the newest keys.
	accountKeyUnsure accountOutcome = "unsure_key"
	// accountWithdrawn counts requests that were ended because their key was taken away.
	accountWithdrawn accountOutcome = "withdrawn_key"
	// accountQuotaRefused counts 429 to requests that the account's quota has no room for.
	accountQuotaRefused accountOutcome = "refused_quota"
	// accountQuotaUnsure counts 503 at an entry that doesn't know its share of the account's quota.
	accountQuotaUnsure accountOutcome = "unsure_quota"
)

// unknownAccount is the label of requests whose key no account holds.
const unknownAccount = "unknown"

// countAccount counts a request of an account in force, or of unknownAccount.
func (m *metrics) countAccount(name string, o accountOutcome) {
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	m.accountNames[name] = true
	m.accounts.WithLabelValues(name, string(o)).Inc()
}

// keepAccounts removes the counts of accounts that a table doesn't have, which bounds the labels.
func (m *metrics) keepAccounts(t *matcher.Table) {
	kept := map[string]bool{unknownAccount: true}
	for _, a := range t.Accounts() {
		kept[a.Name] = true
	}
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	for name := range m.accountNames {
		if !kept[name] {
			for _, v := range []*prometheus.CounterVec{m.accounts, m.amounts} {
				v.DeletePartialMatch(prometheus.Labels{"account": name})
			}
		}
	}
	m.accountNames = kept
}

func newMetrics() *metrics {
	buckets := []float64{.01, .03, .1, .2, .3, .6, 1, 2, 5}
	m := &metrics{
		registry: prometheus.NewRegistry(), accountNames: make(map[string]bool),
		accounts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_accounts_total", Help: "Requests of client accounts by what became of them.",
		}, []string{"account", "outcome"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_requests_total", Help: "Requests by how they ended.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_attempts_total", Help: "Tries at backend servers by what they tell of the server.",
		}, []string{"result"}),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_server_responses_total", Help: "Responses of backend servers by the framing of their bodies and by how they ended.",
		}, []string{"framing", "outcome"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_confirmed_ends_total",
			Help: "Responses that ended with their connections, by whether the server is known to have outlived them (alive) or not (unknown).",
		}, []string{"result"}),
		places: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_places_total",
			Help: "Requests by service, by whether a server was chosen at once (admitted) or later (waited) or none took them (refused), and by why.",
		}, []string{"service", "result", "reason"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_late_total", Help: "Whole answers that came later than their route asks for, by what took too long.",
		}, []string{"reason"}),
		firstByte: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "redwingstage_entry_first_byte_seconds", Help: "From a request's arrival to its answer's first byte.", Buckets: buckets,
		}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "redwingstage_entry_wait_seconds", Help: "From a request's arrival to the choice of its first server.", Buckets: buckets,
		}),
	}
	m.prompts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_entry_prompt_tokens_total", Help: "Tokens of prompts by whether the chosen engine was believed to hold them.",
	}, []string{"state"})
	m.closedConns = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "redwingstage_entry_closed_connections_total", Help: "Callers' connections closed because there were too many.",
	})
	m.amounts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_entry_quota_amount_total", Help: "Amounts of client accounts' quotas, in the quota's unit, by what became of them.",
	}, []string{"account", "kind"})
	m.room = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_entry_room_total", Help: "Requests that the memory of engines has no room for, by what became of them.",
	}, []string{"decision"})
	m.leaderAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "redwingstage_entry_leader_age_seconds", Help: "How long before a request's decision the leader was known to have served this entry.",
		Buckets: []float64{.3, .6, .9, 1.5, 2, 4, 10, 30},
	})
	m.takeUps = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_entry_take_ups_total", Help: "Streams that callers took up, by how the software version that began them was known.",
	}, []string{"source"})
	m.registry.MustRegister(m.takeUps, m.closedConns, m.requests, m.attempts, m.responses, m.probes, m.late, m.firstByte, m.wait, m.accounts, m.amounts, m.places, m.room, m.prompts, m.leaderAge)
	return m
}

// observeLinks adds the metrics of the links to backend servers; t may be nil.
func (m *metrics) observeLinks(l *links, t *tunneler.Tunneler) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "redwingstage_entry_unreachable_servers", Help: "Servers that this entry's own links don't reach while another entry's do.",
	}, l.countBlocked), l.opened)
	if t != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "redwingstage_entry_carried_connections", Help: "Connections of other entries and to their servers that are carried here.",
		}, func() float64 { return float64(t.Carried()) }))
	}
}

// observeMemory adds the metrics of the memory that connections share.
func (m *metrics) observeMemory(c *collector.Collector) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "redwingstage_entry_buffered_bytes", Help: "Bytes that callers' connections hold.",
		}, func() float64 {
			used, _ := c.Used()
			return float64(used)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "redwingstage_entry_buffered_limit_bytes", Help: "Bytes that callers' connections may hold.",
		}, func() float64 {
			_, limit := c.Used()
			return float64(limit)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "redwingstage_entry_no_room_total", Help: "Requests and answers that found no room in the memory.",
		}, func() float64 { return float64(c.Refused()) }),
	)
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// resultLabels are the label values of attempt results.
var resultLabels = map[balancer.Result]string{
	balancer.OK: "ok", balancer.Rejected: "rejected", balancer.Failed: "failed", balancer.Unreachable: "unreachable",
	balancer.NoEvidence: "void",
}

// countProbe counts a response that ended with its connection; alive is set if its server is known to have outlived it.
func (m *metrics) countProbe(alive bool) {
	result := "unknown"
	if alive {
		result = "alive"
	}
	m.probes.WithLabelValues(result).Inc()
}

// countResponse counts a response of which the body was read.
func (m *metrics) countResponse(f framing, o outcome) {
	if f != "" {
		m.responses.WithLabelValues(string(f), outcomeNames[o]).Inc()
	}
}

func (m *metrics) countAttempt(r balancer.Result) { m.attempts.WithLabelValues(resultLabels[r]).Inc() }

func (m *metrics) observeWait(c *call, now time.Time) {
	if c.sends > 0 {
		return
	}
	m.wait.Observe(now.Sub(c.arrived).Seconds())
	if c.waitedFor == "" {
		m.countPlace(c, placeAdmitted, "")
	} else {
		m.countPlace(c, placeWaited, c.waitedFor)
	}
}

// The results of requests that ask for a place at a server.
const (
	placeAdmitted = "admitted"
	placeWaited   = "waited"
	placeRefused  = "refused"
)

// countPlace counts whether a request got a place at a server, and what it waited for or why it was refused.
func (m *metrics) countPlace(c *call, result, reason string) {
	m.places.WithLabelValues(c.service, result, reason).Inc()
}

// observeLeaderAge observes the age of the leader's confirmation at a request's decision, which is negative before the first one.
func (m *metrics) observeLeaderAge(age time.Duration) {
	if age >= 0 {
		m.leaderAge.Observe(age.Seconds())
	}
}

// countRequest counts a request by its outcome.
func (m *metrics) countRequest(arrived time.Time, w *responseWriter) {
	outcome := "unanswered"
	switch {
	case w.aborted:
		outcome = "cut"
	case w.streaming && !w.complete:
		// The caller disconnected.
	case w.status >= 200 && w.status < 300 && !w.writeFailed:
		outcome = "served"
	case w.status == http.StatusServiceUnavailable:
		outcome = "refused"
	case w.status >= 400 && w.status < 500:
		outcome = "denied"
	case w.status >= 500:
		outcome = "failed"
	}
	m.requests.WithLabelValues(outcome).Inc()
	if !w.firstWriteAt.IsZero() {
		m.firstByte.Observe(w.firstWriteAt.Sub(arrived).Seconds())
	}
}

// countPrompt counts the tokens of a prompt that a server has read.
func (m *metrics) countPrompt(tokens, cached int) {
	m.prompts.WithLabelValues("cached").Add(float64(min(cached, tokens)))
	m.prompts.WithLabelValues("read").Add(float64(max(tokens-cached, 0)))
}
