package controller

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"redwingstage.org/coord/carrier"
	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

// tracer records the events of a benchmark's three replicas in order of time.
type tracer struct {
	// keepEvents is set if events are stored; they are counted in any case.
	keepEvents bool
	mu         sync.Mutex
	events     []traceEvent
	counts     map[string]*atomic.Int64
}

// countedKinds are the events whose number per booking is reported.
var countedKinds = []string{"turn", "propose", "sync", "send append", "send ack"}

func newTracer(keep bool) *tracer {
	t := &tracer{keepEvents: keep, counts: make(map[string]*atomic.Int64)}
	for _, kind := range countedKinds {
		t.counts[kind] = new(atomic.Int64)
	}
	return t
}

func (t *tracer) reset() {
	for _, n := range t.counts {
		n.Store(0)
	}
}

// report reports the number of events per booking, which is a begin and an end.
func (t *tracer) report(b *testing.B, n int) {
	for _, kind := range countedKinds {
		b.ReportMetric(float64(t.counts[kind].Load())/float64(n), strings.ReplaceAll(kind, " ", "-")+"s/booking")
	}
}

type traceEvent struct {
	at      time.Time
	replica uint64
	kind    string
}

func (t *tracer) record(replica uint64, kind string) {
	if n := t.counts[kind]; n != nil {
		n.Add(1)
	}
	if !t.keepEvents {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, traceEvent{time.Now(), replica, kind})
}

func (t *tracer) take() []traceEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := t.events
	t.events = nil
	return events
}

// tracedDisk records the syncs of a replica's journal.
type tracedDisk struct {
	journaler.OSFileSystem
	t  *tracer
	id uint64
}

type tracedFile struct {
	journaler.File
	f tracedDisk
}

func (f tracedDisk) Create(path string) (journaler.File, error) {
	file, err := f.OSFileSystem.Create(path)
	return tracedFile{file, f}, err
}

func (f tracedDisk) Open(path string) (journaler.File, error) {
	file, err := f.OSFileSystem.Open(path)
	return tracedFile{file, f}, err
}

func (f tracedFile) Sync() error {
	f.f.t.record(f.f.id, "sync")
	defer f.f.t.record(f.f.id, "synced")
	return f.File.Sync()
}

// tracedTransport records appends with entries and their acknowledgements.
type tracedTransport struct {
	*carrier.Carrier
	t  *tracer
	id uint64
}

func (c tracedTransport) SetReceiver(receive func(replicator.Message) error) {
	c.Carrier.SetReceiver(func(m replicator.Message) error {
		switch {
		case m.Type == replicator.TypeAppend && len(m.Entries) > 0:
			c.t.record(c.id, "receive append")
		case m.Type == replicator.TypeAppendResponse:
			c.t.record(c.id, "receive ack")
		}
		return receive(m)
	})
}

func (c tracedTransport) Send(m replicator.Message) {
	switch {
	case m.Type == replicator.TypeAppend && len(m.Entries) > 0:
		c.t.record(c.id, "send append")
	case m.Type == replicator.TypeAppendResponse:
		c.t.record(c.id, "send ack")
	}
	c.Carrier.Send(m)
}

// tracedLog records a replica's proposals and their results.
type tracedLog struct {
	*quorumLog
	t  *tracer
	id uint64
}

func (l tracedLog) Propose(ctx context.Context, cmd []byte) (runner.Result, error) {
	l.t.record(l.id, "propose")
	defer l.t.record(l.id, "proposed")
	return l.quorumLog.Propose(ctx, cmd)
}

func (l tracedLog) Handler() (string, http.Handler) { return l.quorumLog.Handler() }

type tracedMachine struct {
	runner.StateMachine
	t  *tracer
	id uint64
}

func (m tracedMachine) Apply(index uint64, cmd []byte) ([]byte, error) {
	m.t.record(m.id, "apply")
	return m.StateMachine.Apply(index, cmd)
}

// open returns the option that traces a replica's clock, log and transport.
func (t *tracer) open(cfg Config) Option {
	return func(c *Controller) {
		c.clock = func() time.Time {
			t.record(cfg.ID, "turn")
			return time.Now()
		}
		c.open = func(m runner.StateMachine) (Log, error) {
			carry := carrier.New(cfg.ID, cfg.Cluster)
			r, err := runner.New(
				runner.Config{ID: cfg.ID, Cluster: cfg.Cluster, DataFolder: cfg.DataFolder, InitialMembers: cfg.Members},
				tracedMachine{m, t, cfg.ID}, tracedTransport{carry, t, cfg.ID},
				runner.WithFileSystem(tracedDisk{t: t, id: cfg.ID}),
			)
			if err != nil {
				return nil, err
			}
			return tracedLog{&quorumLog{Runner: r, carrier: carry}, t, cfg.ID}, nil
		}
	}
}

// hop is a part of a booking's path; it ends at the first matching event after the previous hop.
type hop struct {
	name    string
	kind    string
	matches func(replica, leader, relay uint64) bool
}

func atLeader(r, leader, _ uint64) bool   { return r == leader }
func atRelay(r, _, relay uint64) bool     { return r == relay }
func atFollower(r, leader, _ uint64) bool { return r != leader }

// hops are the hops of a booking that an entry begins at a follower, which forwards it.
var hops = []hop{
	{"1-to-relay", "turn", atRelay},
	{"2-to-leader", "turn", atLeader},
	{"3-to-log", "propose", atLeader},
	{"4-sent", "send append", atLeader},
	{"5-at-follower", "receive append", atFollower},
	{"6-sync-begun", "sync", atFollower},
	{"7-synced", "synced", atFollower},
	{"8-ack-sent", "send ack", atFollower},
	{"9-ack-received", "receive ack", atLeader},
	{"10-applied", "apply", atLeader},
	{"11-answered", "proposed", atLeader},
	{"12-at-leader", "turn", atLeader},
	{"13-at-relay", "turn", atRelay},
}

// splitHops divides the time of one call into its hops; the rest after the last one is the way back to the entry.
func splitHops(events []traceEvent, began, ended time.Time, leader, relay uint64, into map[string][]time.Duration) {
	last, i := began, 0
	for _, s := range hops {
		for i < len(events) && (events[i].kind != s.kind || !s.matches(events[i].replica, leader, relay)) {
			i++
		}
		if i == len(events) {
			return
		}
		into[s.name] = append(into[s.name], max(events[i].at.Sub(last), 0))
		last = events[i].at
		i++
	}
	into["14-at-entry"] = append(into["14-at-entry"], max(ended.Sub(last), 0))
}

// BenchmarkBookingHops measures each hop of a Begin from one caller at an entry of a follower.
func BenchmarkBookingHops(b *testing.B) {
	t := newTracer(true)
	n := newTracedCluster(b, t)
	defer n.close()
	leader := n.ctls[0].log.Status().Leader
	relay := leader%3 + 1
	cl := n.entry("entry-s", 1, []string{n.cfgs[relay-1].Addr})
	n.awaitLeases(1)
	parts := make(map[string][]time.Duration)
	t.take()
	b.ResetTimer()
	var all []time.Duration
	for i := range b.N {
		t.take()
		began := time.Now()
		n.begin(cl, i)
		ended := time.Now()
		all = append(all, ended.Sub(began))
		splitHops(t.take(), began, ended, leader, relay, parts)
		n.end(cl, i)
	}
	b.StopTimer()
	reportPercentiles(b, "begin", all)
	for _, name := range sortedKeys(parts) {
		times := parts[name]
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-us")
	}
}

func sortedKeys(m map[string][]time.Duration) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// newTracedCluster starts three traced replicas and waits for their leader.
func newTracedCluster(b *testing.B, t *tracer) *benchCluster {
	n := newReplicas(b, t.open)
	for n.ctls[0].log.Status().Leader == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return n
}
