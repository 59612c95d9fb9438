package controller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of a control replica.
type metrics struct {
	leading        prometheus.Gauge
	settled        prometheus.Gauge
	revision       prometheus.Gauge
	entries        prometheus.Gauge
	sessions       prometheus.Gauge
	servers        prometheus.Gauge
	unowned        prometheus.Gauge
	permits        prometheus.Gauge
	permitsWaiting prometheus.Gauge
	operatorCalls  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "redwingstage", Subsystem: "control", Name: name, Help: help,
		})
	}
	m := &metrics{
		leading:        gauge("leading", "1 while this replica leads."),
		settled:        gauge("settled", "1 once the leases of earlier leaders have run out."),
		revision:       gauge("revision", "Revision of the configuration at this replica."),
		entries:        gauge("entries", "Entries with a running lease, at the leader."),
		sessions:       gauge("sessions", "Entries connected to this replica."),
		servers:        gauge("servers", "Backend servers listed, at the leader."),
		unowned:        gauge("servers_unowned", "Backend servers without an owner, at the leader."),
		permits:        gauge("permits", "Load permits given out, at the leader."),
		permitsWaiting: gauge("permits_waiting", "Requests for load permits that wait, at the leader."),
		operatorCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "redwingstage", Subsystem: "control", Name: "changes_total", Help: "Operators' calls by result.",
		}, []string{"call", "code"}),
	}
	reg.MustRegister(m.leading, m.settled, m.revision, m.entries, m.sessions, m.servers, m.unowned, m.permits, m.permitsWaiting, m.operatorCalls)
	return m
}

// observe sets the gauges; it runs on the control goroutine.
func (m *metrics) observe(h *hub, now time.Time) {
	m.revision.Set(float64(h.machine.catalogRevision()))
	m.sessions.Set(float64(len(h.sessions)))
	if !h.isLeading(now) {
		for _, g := range []prometheus.Gauge{m.leading, m.settled, m.entries, m.servers, m.unowned, m.permits, m.permitsWaiting} {
			g.Set(0)
		}
		return
	}
	m.leading.Set(1)
	m.settled.Set(map[bool]float64{true: 1}[h.leader.settled])
	entries, servers, owned := h.leader.registry.Counts()
	m.entries.Set(float64(entries))
	m.servers.Set(float64(servers))
	m.unowned.Set(float64(servers - owned))
	m.permits.Set(float64(h.leader.permits.Used()))
	m.permitsWaiting.Set(float64(h.leader.permits.Waiting()))
}
