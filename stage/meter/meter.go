package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "redwingstage"

// Meter holds the metrics; its methods are safe for concurrent use.
type Meter struct {
	first    *prometheus.HistogramVec
	between  *prometheus.HistogramVec
	stall    prometheus.Histogram
	loads    *prometheus.CounterVec
	refused  *prometheus.CounterVec
	outcomes *prometheus.CounterVec
	retries  *prometheus.CounterVec
	tokens   prometheus.Counter
	atRisk   *prometheus.CounterVec
	owned    prometheus.Gauge
	jobs     prometheus.Gauge
	fill     *prometheus.GaugeVec
	lease    prometheus.Gauge
	revision *prometheus.GaugeVec
}

// New registers the metrics; it panics on duplicates.
func New(reg prometheus.Registerer) *Meter {
	seconds := []float64{.005, .01, .02, .04, .068, .1, .2, .4, .8, 1.5, 2, 4, 8, 30}
	m := &Meter{
		first:    histograms("first_token_seconds", "Time from arrival to the first token.", seconds, "class"),
		between:  histograms("inter_token_seconds", "Time between tokens.", seconds, "class"),
		stall:    prometheus.NewHistogram(histogram("load_stall_seconds", "Time of adapter loads.", seconds)),
		loads:    counters("loads_total", "Adapter loads by result.", "result"),
		refused:  counters("refusals_total", "Requests refused before running, by reason.", "reason"),
		outcomes: counters("requests_total", "Requests by class, outcome and whether they met their budget.", "class", "outcome", "met"),
		retries:  counters("retries_total", "Attempts after the first, by the reason of the last.", "reason"),
		tokens:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "events_total", Help: "Streamed events sent to callers."}),
		atRisk:   counters("deadlines_at_risk_total", "Waiting work at risk of missing its deadline.", "class"),
		owned:    gauge("owned_servers", "Backend servers that this entry owns."),
		jobs:     gauge("jobs", "Jobs queued or running on owned servers."),
		fill:     gauges("batch_fill_ratio", "Running requests by the batch size of a server.", "server"),
		lease:    gauge("lease_valid", "Whether this entry's lease is valid."),
		revision: gauges("revision", "Revision in force, by kind.", "kind"),
	}
	reg.MustRegister(m.first, m.between, m.stall, m.loads, m.refused, m.outcomes, m.retries, m.tokens, m.atRisk,
		m.owned, m.jobs, m.fill, m.lease, m.revision)
	return m
}

// FirstToken returns a class's observer of first-token seconds.
func (m *Meter) FirstToken(class string) prometheus.Observer { return m.first.WithLabelValues(class) }

// BetweenTokens returns a class's observer of inter-token seconds.
func (m *Meter) BetweenTokens(class string) prometheus.Observer {
	return m.between.WithLabelValues(class)
}

// Loaded counts a finished load and observes its time if ok.
func (m *Meter) Loaded(ok bool, took time.Duration) {
	result := "failed"
	if ok {
		result = "ok"
		m.stall.Observe(took.Seconds())
	}
	m.loads.WithLabelValues(result).Inc()
}

// Refused counts a refusal before running.
func (m *Meter) Refused(reason string) { m.refused.WithLabelValues(reason).Inc() }

// Ended counts a finished request; goodput is the rate of those done that met their budget.
func (m *Meter) Ended(class, outcome string, met bool) {
	label := "no"
	if met {
		label = "yes"
	}
	m.outcomes.WithLabelValues(class, outcome, label).Inc()
}

// Retried counts a retry or a hedge.
func (m *Meter) Retried(reason string) { m.retries.WithLabelValues(reason).Inc() }

// Sent counts n streamed events.
func (m *Meter) Sent(n int) { m.tokens.Add(float64(n)) }

// AtRisk counts a deadline at risk.
func (m *Meter) AtRisk(class string) { m.atRisk.WithLabelValues(class).Inc() }

// Owned sets the number of owned servers and of jobs on them.
func (m *Meter) Owned(servers, jobs int) {
	m.owned.Set(float64(servers))
	m.jobs.Set(float64(jobs))
}

// Fill sets a server's batch fill ratio.
func (m *Meter) Fill(server string, running, batch int) {
	if batch > 0 {
		m.fill.WithLabelValues(server).Set(float64(running) / float64(batch))
	}
}

// Lease sets whether the lease is valid.
func (m *Meter) Lease(valid bool) {
	v := 0.0
	if valid {
		v = 1
	}
	m.lease.Set(v)
}

// Revision sets the revision of the catalog and the roster in force.
func (m *Meter) Revision(catalog, roster uint64) {
	m.revision.WithLabelValues("catalog").Set(float64(catalog))
	m.revision.WithLabelValues("roster").Set(float64(roster))
}

func histogram(name, help string, buckets []float64) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
}

func histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(histogram(name, help, buckets), labels)
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
