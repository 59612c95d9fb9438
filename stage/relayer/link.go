package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

const (
	// useEvery is how often the leader is told which adapters are in use, and usePerEntry what each entry adds to it beyond
	// usual deployments, so that the leader gets a bounded number of messages.
	useEvery    = 100 * time.Millisecond
	usePerEntry = 4 * time.Millisecond
	// linkPause is the wait between two rounds over the known replicas.
	linkPause = 150 * time.Millisecond
	maxUps    = 1024
)

// link keeps a session to the control leader.
type link struct {
	entry *Relayer
	up    chan governor.Up

	mu       sync.Mutex
	seeds    []string
	replicas []string
	// last is where the last session was.
	last  string
	asked map[ask]time.Time
}

// ask is what was asked for.
type ask struct {
	service string
	adapter tracker.Adapter
	copied  bool
}

func newLink(e *Relayer) *link {
	return &link{entry: e, up: make(chan governor.Up, maxUps), seeds: slices.Clone(e.cfg.Controls), asked: make(map[ask]time.Time)}
}

func (l *link) setSeeds(addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = slices.Clone(addrs)
}

// addresses returns all control replicas that are known, that of the last session at the end.
func (l *link) addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.replicas)
	for _, a := range l.seeds {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	if i := slices.Index(out, l.last); i >= 0 {
		out = append(slices.Delete(out, i, i+1), l.last)
	}
	return out
}

// want asks for an adapter; the same is asked for again only after a while.
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

// send queues a message; without a session, or when it is slow, messages are dropped and asked for again.
func (l *link) send(up governor.Up) {
	select {
	case l.up <- up:
	default:
	}
}

// tellLoads tells what this entry has at servers, where that changed.
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

// run keeps a session open until ctx ends.
func (l *link) run(ctx context.Context) {
	go l.report(ctx)
	for ctx.Err() == nil {
		for _, addr := range l.addresses() {
			began := l.try(ctx, addr)
			if ctx.Err() != nil {
				return
			}
			if began {
				// What broke is most likely the leader: the others are asked first.
				break
			}
		}
		waiter.Wait(ctx, linkPause)
	}
}

// try runs a session at a replica, or at the leader that it names; it reports whether one began.
func (l *link) try(ctx context.Context, addr string) bool {
	for range 2 {
		for len(l.up) > 0 {
			// What was meant for an earlier session is asked for again by who still waits.
			<-l.up
		}
		hello := governor.Hello{Node: l.entry.cfg.Node, Zone: l.entry.cfg.Zone, Known: l.entry.balancer.Known()}
		began, at := false, addr
		redirect, err := governor.Dial(ctx, addr, hello, l.up, func(d governor.Down) {
			if d.Welcome != nil {
				began = true
				l.entry.balancer.RetellLoads()
				l.entry.log.Info("session with the control leader", at)
			}
			l.take(d)
		})
		if began {
			l.entry.log.Error("session with the control leader ended", err)
			l.mu.Lock()
			l.last = at
			l.mu.Unlock()
			return true
		}
		if redirect == "" || redirect == addr {
			return false
		}
		addr = redirect
	}
	return false
}

// take takes a message of the leader.
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

// document takes a version of the operator's document into force, never an older one.
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

// report tells the leader which adapters are in use.
func (l *link) report(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, max(useEvery, time.Duration(l.entry.balancer.Entries())*usePerEntry))
		up := l.loads()
		for _, u := range l.entry.balancer.Uses() {
			up.Uses = append(up.Uses, governor.Use{Engine: u.Engine, Adapter: u.Adapter, Starts: u.Starts, Running: u.Running})
		}
		if len(up.Uses)+len(up.Loads) > 0 {
			l.send(up)
		}
	}
}
