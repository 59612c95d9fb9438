package governor

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"redwingstage.org/serving/allocator"
	"redwingstage.org/serving/profiler"
)

// metricsPath is the path of the metrics on the listener for entries and other replicas.
const metricsPath = "/metrics"

// metrics are a replica's Prometheus metrics.
type metrics struct {
	registry *prometheus.Registry
	orders   *prometheus.CounterVec
	loads    *prometheus.HistogramVec
	sessions prometheus.Gauge
	leads    prometheus.Gauge
	bytes    *prometheus.CounterVec
	messages *prometheus.CounterVec
	granted  *prometheus.CounterVec
	// speeds has series for the servers that this leader sent a speed of.
	speeds *prometheus.GaugeVec
	// memory has series for the servers that requests take memory of.
	memory *prometheus.GaugeVec
	writes prometheus.Histogram
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_control_orders_total", Help: "Orders to engines by kind and by how they ended.",
		}, []string{"kind", "outcome"}),
		loads: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "redwingstage_control_load_seconds", Help: "From an accepted load to its confirmation.",
			Buckets: []float64{.03, .1, .25, .3, .4, .6, 1, 2, 4},
		}, []string{"recent"}),
		sessions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingstage_control_sessions", Help: "Sessions of entries and replicas at this leader.",
		}),
		leads: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "redwingstage_control_leads", Help: "1 while this replica leads.",
		}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_control_sent_bytes_total", Help: "Bytes of messages to relays and entries, by kind.",
		}, []string{"kind"}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "redwingstage_control_sent_messages_total", Help: "Messages to relays and entries, by kind.",
		}, []string{"kind"}),
		speeds: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "redwingstage_control_server_speed_ratio", Help: "Speed of a server by the median of its service, between events and before the first one.",
		}, []string{"server", "part"}),
		memory: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "redwingstage_control_server_memory_tokens", Help: "Tokens that requests are reckoned to take in a server's memory, or claim.",
		}, []string{"server"}),
	}
	m.granted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_control_quota_granted_total", Help: "What the leader gave to entries of client accounts' quotas, in the quota's unit.",
	}, []string{"account"})
	m.writes = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "redwingstage_control_journal_write_seconds", Help: "Time until a write to the log's journal is durable.",
		Buckets: []float64{.0005, .002, .005, .01, .025, .05, .1, .25, .5, .7, 1.4, 3, 10},
	})
	m.registry.MustRegister(m.orders, m.loads, m.sessions, m.leads, m.bytes, m.messages, m.granted, m.speeds, m.memory, m.writes)
	return m
}

// countSent counts a message and its bytes: kind "relay" from the leader to a relay, others from a relay to an entry.
func (m *metrics) countSent(kind string, bytes int) {
	m.bytes.WithLabelValues(kind).Add(float64(bytes))
	m.messages.WithLabelValues(kind).Inc()
}

func (m *metrics) setSpeed(v Speed) {
	m.speeds.WithLabelValues(v.Server, "step").Set(float64(v.Step) / profiler.Usual)
	m.speeds.WithLabelValues(v.Server, "prefill").Set(float64(v.Prefill) / profiler.Usual)
}

func (m *metrics) setMemory(l Load) {
	if l.Memory > 0 {
		m.memory.WithLabelValues(l.Server).Set(float64(l.Memory))
	} else {
		m.memory.DeleteLabelValues(l.Server)
	}
}

// removeServer deletes the series of a server.
func (m *metrics) removeServer(id string) {
	m.speeds.DeletePartialMatch(prometheus.Labels{"server": id})
	m.memory.DeleteLabelValues(id)
}

// resetServers deletes the series of all servers.
func (m *metrics) resetServers() {
	m.speeds.Reset()
	m.memory.Reset()
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

var outcomeLabels = map[allocator.Outcome]string{
	allocator.Done: "done", allocator.NotExecuted: "undone", allocator.Unconfirmed: "doubtful",
}

func (m *metrics) countOrder(kind string, out allocator.Outcome) {
	m.orders.WithLabelValues(kind, outcomeLabels[out]).Inc()
}

func (m *metrics) observeLoad(recent bool, took time.Duration) {
	m.loads.WithLabelValues(strconv.FormatBool(recent)).Observe(took.Seconds())
}

// observeWrite observes the time that a write to the journal took; any goroutine may call it.
func (m *metrics) observeWrite(took time.Duration) { m.writes.Observe(took.Seconds()) }
