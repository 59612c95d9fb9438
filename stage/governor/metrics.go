package governor

import (
	"math"
	"net/http"
	"strconv"
	"strings"
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
	// peers has series for entries as a whole, and for each relay of this leader.
	peers     *prometheus.GaugeVec
	ends      *prometheus.CounterVec
	leaderAge prometheus.Gauge
	plans     prometheus.Histogram
	loop      *prometheus.CounterVec
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
	m.peers = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "redwingstage_control_peer_sessions", Help: "Sessions of entries at this replica, and of each relay at this leader.",
	}, []string{"kind", "node"})
	m.ends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_control_sessions_ended_total", Help: "Sessions that ended, by kind and by why.",
	}, []string{"kind", "reason"})
	m.leaderAge = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "redwingstage_control_leader_age_seconds", Help: "How long ago the leader is known to have served this replica's relay; infinite before that.",
	})
	m.leaderAge.Set(math.Inf(1))
	m.plans = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "redwingstage_control_plan_seconds", Help: "Time that a plan of adapters took.",
		Buckets: []float64{.0001, .0003, .001, .003, .01, .03, .1, .3},
	})
	m.loop = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "redwingstage_control_loop_seconds_total", Help: "Time of the goroutine that serves sessions, by what it did; plans are part of flushes.",
	}, []string{"part"})
	m.registry.MustRegister(m.orders, m.loads, m.sessions, m.leads, m.bytes, m.messages, m.granted, m.speeds, m.memory, m.writes, m.peers, m.ends, m.leaderAge, m.plans, m.loop)
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

// addLoop adds the time since began to a part of the control goroutine's work.
func (m *metrics) addLoop(part string, began time.Time) {
	m.loop.WithLabelValues(part).Add(time.Since(began).Seconds())
}

// addRelay sets that a relay has a session with this leader.
func (m *metrics) addRelay(node string) {
	m.peers.WithLabelValues("relay", strings.ToValidUTF8(node, "?")).Set(1)
}

// removeRelay deletes the series of a relay.
func (m *metrics) removeRelay(node string) {
	m.peers.DeleteLabelValues("relay", strings.ToValidUTF8(node, "?"))
}

// setRelay sets the sessions of this replica's relay and the age of the leader's confirmation; confirmed is zero before it.
func (m *metrics) setRelay(entries int, confirmed, now time.Time) {
	m.peers.WithLabelValues("entry", "").Set(float64(entries))
	if !confirmed.IsZero() {
		m.leaderAge.Set(max(now.Sub(confirmed), 0).Seconds())
	}
}

// countEnd counts the end of a session once; the leader's session with its own relay isn't counted.
func (m *metrics) countEnd(s *session, why sessionEnd) {
	if !s.closed && s.queue != nil {
		m.ends.WithLabelValues(s.kind(), string(why)).Inc()
	}
}
