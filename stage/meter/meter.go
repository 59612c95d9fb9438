package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const namespace = "redwingstage"

// Meter holds the metrics; its methods are safe for concurrent use.
type Meter struct {
	firstToken   *prometheus.HistogramVec
	interToken   *prometheus.HistogramVec
	loadSeconds  prometheus.Histogram
	loads        *prometheus.CounterVec
	refusals     *prometheus.CounterVec
	outcomes     *prometheus.CounterVec
	retries      *prometheus.CounterVec
	events       prometheus.Counter
	atRisk       *prometheus.CounterVec
	ownedServers prometheus.Gauge
	jobs         prometheus.Gauge
	batchFill    *prometheus.GaugeVec
	leaseValid   prometheus.Gauge
	revision     *prometheus.GaugeVec
}

// New registers the metrics; it panics on duplicates.
func New(reg prometheus.Registerer) *Meter {
	bucketSeconds := []float64{.005, .01, .02, .04, .068, .1, .2, .4, .8, 1.5, 2, 4, 8, 30}
	m := &Meter{
		firstToken:   newHistogramVec("first_token_seconds", "Time from arrival to the first token.", bucketSeconds, "class"),
		interToken:   newHistogramVec("inter_token_seconds", "Time between tokens.", bucketSeconds, "class"),
		loadSeconds:  prometheus.NewHistogram(histogramOpts("load_stall_seconds", "Time of adapter loads.", bucketSeconds)),
		loads:        newCounterVec("loads_total", "Adapter loads by result.", "result"),
		refusals:     newCounterVec("refusals_total", "Requests refused before running, by reason.", "reason"),
		outcomes:     newCounterVec("requests_total", "Requests by class, outcome and whether they met their budget.", "class", "outcome", "met"),
		retries:      newCounterVec("retries_total", "Attempts after the first, by the reason of the last.", "reason"),
		events:       prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "events_total", Help: "Streamed events sent to callers."}),
		atRisk:       newCounterVec("deadlines_at_risk_total", "Waiting work at risk of missing its deadline.", "class"),
		ownedServers: newGauge("owned_servers", "Backend servers that this entry owns."),
		jobs:         newGauge("jobs", "Jobs queued or running on owned servers."),
		batchFill:    newGaugeVec("batch_fill_ratio", "Running requests by the batch size of a server.", "server"),
		leaseValid:   newGauge("lease_valid", "Whether this entry's lease is valid."),
		revision:     newGaugeVec("revision", "Revision in force, by kind.", "kind"),
	}
	reg.MustRegister(m.firstToken, m.interToken, m.loadSeconds, m.loads, m.refusals, m.outcomes, m.retries, m.events, m.atRisk,
		m.ownedServers, m.jobs, m.batchFill, m.leaseValid, m.revision)
	return m
}

// FirstTokenObserver returns a class's observer of first-token seconds.
func (m *Meter) FirstTokenObserver(class string) prometheus.Observer {
	return m.firstToken.WithLabelValues(class)
}

// InterTokenObserver returns a class's observer of inter-token seconds.
func (m *Meter) InterTokenObserver(class string) prometheus.Observer {
	return m.interToken.WithLabelValues(class)
}

// ObserveLoad counts a finished load and observes its time if ok.
func (m *Meter) ObserveLoad(ok bool, took time.Duration) {
	result := "failed"
	if ok {
		result = "ok"
		m.loadSeconds.Observe(took.Seconds())
	}
	m.loads.WithLabelValues(result).Inc()
}

// CountRefusal counts a refusal before running.
func (m *Meter) CountRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// CountRequest counts a finished request; goodput is the rate of those done that met their budget.
func (m *Meter) CountRequest(class, outcome string, metBudget bool) {
	label := "no"
	if metBudget {
		label = "yes"
	}
	m.outcomes.WithLabelValues(class, outcome, label).Inc()
}

// CountRetry counts a retry or a hedge.
func (m *Meter) CountRetry(reason string) { m.retries.WithLabelValues(reason).Inc() }

// CountEvents counts n streamed events.
func (m *Meter) CountEvents(n int) { m.events.Add(float64(n)) }

// CountDeadlineAtRisk counts a deadline at risk.
func (m *Meter) CountDeadlineAtRisk(class string) { m.atRisk.WithLabelValues(class).Inc() }

// SetOwned sets the number of owned servers and of jobs on them.
func (m *Meter) SetOwned(servers, jobs int) {
	m.ownedServers.Set(float64(servers))
	m.jobs.Set(float64(jobs))
}

// SetBatchFill sets a server's batch fill ratio.
func (m *Meter) SetBatchFill(server string, running, batch int) {
	if batch > 0 {
		m.batchFill.WithLabelValues(server).Set(float64(running) / float64(batch))
	}
}

// SetLeaseValid sets whether the lease is valid.
func (m *Meter) SetLeaseValid(valid bool) {
	v := 0.0
	if valid {
		v = 1
	}
	m.leaseValid.Set(v)
}

// SetRevisions sets the revision of the catalog and the roster in force.
func (m *Meter) SetRevisions(catalog, roster uint64) {
	m.revision.WithLabelValues("catalog").Set(float64(catalog))
	m.revision.WithLabelValues("roster").Set(float64(roster))
}

func histogramOpts(name, help string, bucketSeconds []float64) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: bucketSeconds}
}

func newHistogramVec(name, help string, bucketSeconds []float64, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(histogramOpts(name, help, bucketSeconds), labels)
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
