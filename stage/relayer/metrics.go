package relayer

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingstage.org/serving/balancer"
)

// metricsPath is the path of the metrics on the readiness listener.
const metricsPath = "/metrics"

// metrics are the Prometheus metrics of an entry.
type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	attempts  *prometheus.CounterVec
	late      *prometheus.CounterVec
	firstByte prometheus.Histogram
	wait      prometheus.Histogram
	prompts   *prometheus.CounterVec
}

func newMetrics() *metrics {
	buckets := []float64{.01, .03, .1, .2, .3, .6, 1, 2, 5}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_requests_total", Help: "Requests by how they ended.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_entry_attempts_total", Help: "Tries at backend servers by what they tell of the server.",
		}, []string{"result"}),
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
	m.registry.MustRegister(m.requests, m.attempts, m.late, m.firstByte, m.wait, m.prompts)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// resultLabels are the label values of attempt results.
var resultLabels = map[balancer.Result]string{
	balancer.OK: "ok", balancer.Rejected: "rejected", balancer.Failed: "failed", balancer.Unreachable: "unreachable",
	balancer.NoEvidence: "void",
}

func (m *metrics) countAttempt(r balancer.Result) { m.attempts.WithLabelValues(resultLabels[r]).Inc() }

func (m *metrics) observeWait(c *call, now time.Time) {
	if c.sends == 0 {
		m.wait.Observe(now.Sub(c.arrived).Seconds())
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
