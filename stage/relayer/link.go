package relayer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

const (
	// useEvery is the shortest interval between reports of adapter usage to the leader; it is usePerEntry for each entry if
	// that is longer, which bounds the number of messages in large deployments.
	useEvery    = 100 * time.Millisecond
	usePerEntry = 500 * time.Microsecond
	// linkPause is the delay between two rounds of connection attempts over the known replicas.
	linkPause = 150 * time.Millisecond
	maxUps    = 1024
	// homeRetry is how long a failed replica is tried last, and isn't returned to while another one serves.
	homeRetry = 10 * time.Second
	// readyGrace is how long an entry without a session stays ready: a leader change takes less, and after it other entries
	// have newer state. Open connections are still served.
	readyGrace = 3 * time.Second
)

// link keeps a session with a control replica, preferably one in this entry's data centre.
type link struct {
	entry *Relayer
	up    chan governor.Up

	mu       sync.Mutex
	seeds    []string
	replicas []governor.Peer
	// at is the address of the session's replica, cancel ends the session; lost is when the last one ended, zero during one.
	at     string
	cancel context.CancelFunc
	lost   time.Time
	// failed is the time of the last failure, by address; asked that of the last request.
	failed map[string]time.Time
	asked  map[ask]time.Time
}

// ask identifies a request for an adapter, or for another copy of it.
type ask struct {
	service string
	adapter tracker.Adapter
	copied  bool
}

func newLink(e *Relayer) *link {
	return &link{
		entry: e, up: make(chan governor.Up, maxUps), seeds: slices.Clone(e.cfg.Controls), asked: make(map[ask]time.Time),
		failed: make(map[string]time.Time), lost: time.Now(),
	}
}

func (l *link) setSeeds(addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(addrs)
}

// addresses returns all known control replicas: those in this entry's data centre first, recently failed ones last,
// otherwise ordered by a hash that includes the node, which spreads entries over them.
func (l *link) addresses(now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	home := make(map[string]bool)
	var out []string
	for _, p := range l.replicas {
		home[p.Addr] = p.Zone == l.entry.cfg.Zone
		out = append(out, p.Addr)
	}
	for _, a := range l.seeds {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	rank := func(addr string) int {
		switch at, ok := l.failed[addr]; {
		case ok && now.Sub(at) < homeRetry:
			return 2
		case home[addr]:
			return 0
		}
		return 1
	}
	own := func(addr string) uint64 { return xxhash.Sum64String(l.entry.cfg.Node + "\x00" + addr) }
	slices.SortFunc(out, func(x, y string) int {
		rx, ry := rank(x), rank(y)
		if rx == 2 && ry == 2 {
			return l.failed[x].Compare(l.failed[y])
		}
		return cmp.Or(cmp.Compare(rx, ry), cmp.Compare(own(x), own(y)))
	})
	return out
}

// goHome ends a session in another data centre once a replica in this entry's data centre is available.
func (l *link) goHome(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancel == nil {
		return
	}
	better := false
	for _, p := range l.replicas {
		switch at, failed := l.failed[p.Addr]; {
		case p.Addr == l.at && (p.Zone == l.entry.cfg.Zone || p.Zone == ""):
			return
		case p.Zone == l.entry.cfg.Zone && (!failed || now.Sub(at) >= homeRetry):
			better = true
		}
	}
	if better {
		l.cancel()
		l.cancel = nil
	}
}

// silentFor returns how long there has been no session, 0 during one.
func (l *link) silentFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost.IsZero() {
		return 0
	}
	return now.Sub(l.lost)
}

// want asks the leader for an adapter; repeated requests for the same one are rate limited.
func (l *link) want(w governor.Want) {
	now := time.Now()
	pause := wantEvery / 2
	if w.Copy {
		pause = copyPause
	}
	l.mu.Lock()
	k := ask{w.Service, w.Adapter, w.Copy}
	at, ok := l.asked[k]
	if ok && now.Sub(at) < pause {
		l.mu.Unlock()
		return
	}
	if len(l.asked) > maxUps {
		clear(l.asked)
	}
	l.asked[k] = now
	l.mu.Unlock()
	l.send(governor.Up{Wants: []governor.Want{w}})
}

func (l *link) missing(m governor.AdapterAt) { l.send(governor.Up{Missing: []governor.AdapterAt{m}}) }

// send queues a message; when the queue is full, the message is dropped: requests are repeated later, loads sent again.
func (l *link) send(up governor.Up) {
	select {
	case l.up <- up:
	default:
		if len(up.Loads) > 0 {
			l.entry.balancer.RetellLoads()
		}
	}
}

// tellLoads reports this entry's load at servers where it changed.
func (l *link) tellLoads() {
	if up := l.loads(); len(up.Loads) > 0 {
		l.send(up)
	}
}

func (l *link) loads() governor.Up {
	var up governor.Up
	for _, v := range l.entry.balancer.Loads() {
		up.Loads = append(up.Loads, governor.Load(v))
	}
	return up
}

// run keeps a session open until ctx is done.
func (l *link) run(ctx context.Context) {
	var reporting conc.WaitGroup
	reporting.Go(func() { l.report(ctx) })
	defer reporting.Wait()
	for ctx.Err() == nil {
		pause := linkPause
		for _, addr := range l.addresses(time.Now()) {
			began, moved := l.try(ctx, addr)
			if ctx.Err() != nil {
				return
			}
			if moved {
				pause = 0
			}
			if began {
				break
			}
		}
		waiter.Wait(ctx, pause)
	}
}

// try runs a session with a replica, or with the leader that it redirects to. It reports whether one began, and whether it
// was ended to return to this entry's data centre.
func (l *link) try(ctx context.Context, addr string) (began, moved bool) {
	for range 2 {
		for len(l.up) > 0 {
			// Messages queued for an earlier session are dropped; requests that still wait ask again.
			<-l.up
		}
		var redirect string
		var err error
		began, redirect, err = l.session(ctx, addr)
		now := time.Now()
		l.mu.Lock()
		moved = l.cancel == nil
		if began && l.lost.IsZero() {
			l.lost = now
		}
		if !began || !moved {
			l.failed[addr] = now
		}
		l.at, l.cancel = "", nil
		l.mu.Unlock()
		if began {
			l.entry.log.Error("session with a control replica ended", err)
			return true, moved
		}
		if redirect == "" || redirect == addr {
			return false, false
		}
		addr = redirect
	}
	return false, false
}

// session runs a session with a replica until it ends; redirect is the leader's address if the replica names one.
func (l *link) session(ctx context.Context, addr string) (began bool, redirect string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.at, l.cancel = addr, cancel
	l.mu.Unlock()
	hello := governor.Hello{Node: l.entry.cfg.Node, Zone: l.entry.cfg.Zone}
	redirect, err = governor.Dial(ctx, addr, hello, l.up, func(d governor.Down) {
		if d.Welcome != nil {
			began = true
			l.mu.Lock()
			delete(l.failed, addr)
			l.mu.Unlock()
			l.entry.balancer.RetellLoads()
			l.entry.log.Info("session with a control replica", addr)
		}
		l.take(d)
	})
	return began, redirect, err
}

// take applies a message from the replica.
func (l *link) take(d governor.Down) {
	e := l.entry
	if len(d.Replicas) > 0 {
		l.mu.Lock()
		l.replicas = slices.Clone(d.Replicas)
		l.mu.Unlock()
	}
	if d.Doc != nil && d.Doc.Version > 0 {
		l.document(*d.Doc)
	}
	now := time.Now()
	b := e.balancer
	b.SetVersions(now, d.Versions)
	b.Leave(d.Left)
	if d.Welcome != nil {
		l.begin(&d)
	}
	b.Set(d.Engines, d.Welcome != nil)
	b.Set(d.Exact, true)
	b.Remove(d.Gone)
	for _, m := range d.Moves {
		if m.Gone {
			b.Drop(m.Engine, m.Adapter)
		} else {
			b.Hold(m.Engine, m.Adapter, m.Version)
		}
	}
	if len(d.Loads) > 0 {
		sums := make([]balancer.Load, 0, len(d.Loads))
		for _, v := range d.Loads {
			sums = append(sums, balancer.Load(v))
		}
		b.SetLoads(now, sums)
	}
	if d.Entries > 0 {
		b.SetEntries(d.Entries)
	}
}

// begin compares the known servers with a session's first message. A settled leader's list is complete, so that unlisted
// servers are removed; to any other leader they are reported.
func (l *link) begin(d *governor.Down) {
	l.mu.Lock()
	l.lost = time.Time{}
	l.mu.Unlock()
	listed := make(map[string]bool, len(d.Engines))
	for _, in := range d.Engines {
		listed[in.Key.ID] = true
	}
	var known []tracker.Instance
	var gone []string
	for _, in := range l.entry.balancer.Known() {
		switch {
		case listed[in.Key.ID]:
		case d.Welcome.Settled:
			gone = append(gone, in.Key.ID)
		default:
			known = append(known, in)
		}
	}
	l.entry.balancer.Remove(gone)
	if len(known) > 0 {
		l.send(governor.Up{Known: known})
	}
}

// document applies a version of the operator's document, never an older one, and acknowledges the version in force.
func (l *link) document(doc governor.Doc) {
	e := l.entry
	if t := e.table.Load(); t == nil || t.Version() < doc.Version {
		t, err := e.deps.Decode(doc)
		if err != nil {
			e.log.Error("read the operator's document", err)
			return
		}
		e.table.Store(t)
		e.log.Document(doc.Version)
	}
	l.send(governor.Up{Version: e.table.Load().Version()})
}

// report periodically sends adapter usage and loads to the leader.
func (l *link) report(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, max(useEvery, time.Duration(l.entry.balancer.Entries())*usePerEntry))
		l.goHome(time.Now())
		up := l.loads()
		for _, u := range l.entry.balancer.Uses() {
			up.Uses = append(up.Uses, governor.Use{Engine: u.Engine, Adapter: u.Adapter, Starts: u.Starts, Running: u.Running})
		}
		if len(up.Uses)+len(up.Loads) > 0 {
			l.send(up)
		}
	}
}
