package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/registrar"
)

const (
	simStep     = 30 * time.Millisecond
	simReplicas = 3
	simEntries  = 3
	simServers  = 4
)

// simWorld simulates hubs and agents in virtual time over fake streams and a fake log.
type simWorld struct {
	now      time.Time
	rng      *rand.Rand
	quorum   *fakeQuorum
	replicas []*simReplica
	entries  []*simEntry
	// cut holds the directions that deliver nothing: "e0>r1", "r1>e0", "r0>r1".
	cut         map[string]bool
	delay       time.Duration
	hubSwitches func(*hub)
	// lateLease has entries count a lease from its answer, which the checker must detect.
	lateLease bool
	workload  *workload
	checker   *checker
	trace     []string
}

type simReplica struct {
	w           *simWorld
	id          int
	hub         *hub
	log         *replicaLog
	dead        bool
	isolated    bool
	pausedUntil time.Time
	nextTick    time.Time
	link        *simLink
}

// simLink is a replica's uplink to another one.
type simLink struct {
	uplink   *uplink
	replica  int
	peer     *linkPeer
	up       pipe[linkUp]
	down     pipe[linkDown]
	openedAt time.Time
}

type simEntry struct {
	w              *simWorld
	id             int
	agent          *agent
	inForceAtStart uint64
	dead           bool
	pausedUntil    time.Time
	nextConnect    time.Time
	conn           *simConn
	incarnation    uint64
}

// simConn is an entry's stream to a replica.
type simConn struct {
	replica      int
	session      *session
	up           pipe[entryMessage]
	down         pipe[leaderMessage]
	lastReceived time.Time
}

func newSimWorld(seed uint64) *simWorld {
	w := &simWorld{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), cut: make(map[string]bool),
		delay: 30 * time.Millisecond,
	}
	w.quorum = &fakeQuorum{w: w, rng: rand.New(rand.NewPCG(seed, 2)), leader: -1, lostResults: 0.05}
	for i := range simReplicas {
		r := &simReplica{w: w, id: i}
		w.replicas = append(w.replicas, r)
		r.start()
	}
	for i := range simEntries {
		e := &simEntry{w: w, id: i}
		w.entries = append(w.entries, e)
		e.start()
	}
	w.checker = newChecker(w)
	w.workload = newWorkload(w, seed)
	return w
}

// configureHubs disables a mechanism of all replicas, also after they restart.
func (w *simWorld) configureHubs(f func(*hub)) {
	w.hubSwitches = f
	for _, r := range w.replicas {
		f(r.hub)
	}
}

func (w *simWorld) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%7.2fs ", w.now.Sub(time.Unix(1_700_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// start starts a replica that catches up from the quorum, as after a restart.
func (r *simReplica) start() {
	w := r.w
	r.log = &replicaLog{quorum: w.quorum, id: r.id, results: make(map[int][]byte)}
	r.log.status.ID = uint64(r.id + 1)
	for i := range simReplicas {
		r.log.status.Members = append(r.log.status.Members, simMember(i))
	}
	r.hub = &hub{
		log: r.log, machine: newMachine(), limits: registrar.StoreLimits{Rate: simRate, Parallel: simParallel},
		clock: func() time.Time { return w.now }, logger: noLogger(), ctx: context.Background(),
		spawn: func(f func()) { f() }, events: make(chan func(time.Time), maxQueuedEvents),
		live: spreader.New(), sessions: make(map[uint64]*session), links: make(map[uint64]*linkPeer),
	}
	r.hub.dial = func(_ context.Context, u *uplink, addr string) {
		var to int
		_, _ = fmt.Sscan(addr, &to)
		r.link = &simLink{uplink: u, replica: to, openedAt: w.now}
	}
	if w.hubSwitches != nil {
		w.hubSwitches(r.hub)
	}
	r.dead, r.link = false, nil
}

func (r *simReplica) alive() bool { return !r.dead && !r.w.now.Before(r.pausedUntil) }

// kill stops a replica and breaks its streams.
func (r *simReplica) kill() {
	r.dead = true
	r.link = nil
	for _, o := range r.w.replicas {
		if o.link != nil && o.link.replica == r.id {
			o.link = nil
		}
	}
	for _, e := range r.w.entries {
		if e.conn != nil && e.conn.replica == r.id {
			e.disconnect()
		}
	}
}

func (e *simEntry) start() {
	e.incarnation++
	e.agent = newAgent(ClientConfig{Name: e.name(), Incarnation: e.incarnation, Addr: fmt.Sprintf("10.0.0.%d:1", e.id), Zone: "kl-1"})
	e.dead = false
	e.nextConnect = e.w.now
	e.conn = nil
	if e.w.checker != nil {
		e.inForceAtStart = e.w.checker.inForceRevision
		e.w.checker.processReplaced(e)
	}
}

func (e *simEntry) name() string { return fmt.Sprintf("entry-%d", e.id) }

func (e *simEntry) alive() bool { return !e.dead && !e.w.now.Before(e.pausedUntil) }

func (e *simEntry) kill() {
	e.disconnect()
	e.dead = true
}

// disconnect breaks the stream on both ends, the replica's only if it would notice.
func (e *simEntry) disconnect() {
	if e.conn == nil {
		return
	}
	r, s := e.w.replicas[e.conn.replica], e.conn.session
	if !r.dead && !e.w.cut[direction("e", e.id, "r", e.conn.replica)] {
		r.hub.closeSession(s)
	}
	e.conn = nil
	e.agent.resetSession()
	e.nextConnect = e.w.now.Add(50*time.Millisecond + time.Duration(e.w.rng.Int64N(int64(200*time.Millisecond))))
}

func direction(a string, i int, b string, j int) string { return fmt.Sprintf("%s%d>%s%d", a, i, b, j) }

func (w *simWorld) randomDelay() time.Duration { return time.Duration(w.rng.Int64N(int64(w.delay))) }

// step advances the time by simStep and runs all parts.
func (w *simWorld) step() {
	w.now = w.now.Add(simStep)
	w.quorum.step(w.now)
	for _, r := range w.replicas {
		if r.alive() {
			r.step()
		}
	}
	for _, e := range w.entries {
		if e.alive() {
			e.step()
		}
	}
	w.workload.step()
	for _, r := range w.replicas {
		if r.alive() {
			r.drain()
		}
	}
	w.checker.step()
}

func (r *simReplica) step() {
	r.log.catchUp(r)
	r.pump()
	for _, e := range r.w.entries {
		for c := e.conn; c != nil && c.replica == r.id && !r.w.cut[direction("e", e.id, "r", r.id)]; {
			f, ok := c.up.pop(r.w.now)
			if !ok {
				break
			}
			r.hub.receiveFromEntry(r.w.now, c.session, f)
		}
	}
	if !r.w.now.Before(r.nextTick) {
		r.nextTick = r.w.now.Add(tickInterval)
		r.hub.tick(context.Background(), r.w.now)
	}
	r.drain()
}

// drain runs posted events and moves queued messages into the streams.
func (r *simReplica) drain() {
	for len(r.hub.events) > 0 {
		f := <-r.hub.events
		f(r.w.now)
	}
	select {
	case <-r.hub.machine.changed:
	default:
	}
	r.hub.flush(context.Background(), r.w.now)
	for _, e := range r.w.entries {
		if c := e.conn; c != nil && c.replica == r.id {
			frames, more := c.session.out.take()
			for _, f := range mergeMessages(frames) {
				c.down.push(r.w.now, r.w.randomDelay(), f)
			}
			if !more && len(c.down.items) == 0 && !r.w.cut[direction("r", r.id, "e", e.id)] {
				e.disconnect()
			}
		}
	}
}

// pump moves a replica's uplink messages.
func (r *simReplica) pump() {
	l, w := r.link, r.w
	if l == nil {
		if r.hub.uplink != nil {
			r.hub.closeUplink(r.hub.uplink)
		}
		return
	}
	to := w.replicas[l.replica]
	unreachable := r.isolated || to.isolated || to.dead
	items, more := l.uplink.out.take()
	for _, it := range items {
		l.up.push(w.now, w.randomDelay(), it)
	}
	if !more {
		if l.peer != nil && !unreachable {
			to.hub.closeLink(l.peer)
		}
		r.link = nil
		return
	}
	if unreachable || !to.alive() {
		return
	}
	if l.peer == nil {
		if l.peer = to.hub.openLink(w.now); l.peer == nil {
			r.hub.closeUplink(l.uplink)
			r.link = nil
			return
		}
	}
	for {
		it, ok := l.up.pop(w.now)
		if !ok {
			break
		}
		to.hub.receiveFromLink(w.now, l.peer, []linkUp{it})
	}
	downs, more := l.peer.out.take()
	for _, it := range downs {
		l.down.push(w.now, w.randomDelay(), it)
	}
	for {
		it, ok := l.down.pop(w.now)
		if !ok {
			break
		}
		r.hub.receiveFromLeader(w.now, l.uplink, []linkDown{it})
	}
	if !more {
		r.hub.closeUplink(l.uplink)
		r.link = nil
	}
}

func (e *simEntry) step() {
	w := e.w
	if e.conn == nil {
		e.connect()
		return
	}
	c := e.conn
	for !w.cut[direction("r", c.replica, "e", e.id)] && e.conn == c {
		f, ok := c.down.pop(w.now)
		if !ok {
			break
		}
		c.lastReceived = w.now
		if w.lateLease && f.Heartbeat > 0 {
			f.Heartbeat = e.agent.lease.Renew(w.now.Add(time.Second))
		}
		if _, err := e.agent.receive(w.now, f); err != nil {
			w.checker.fail("entry %d: %v", e.id, err)
			e.disconnect()
			return
		}
	}
	e.agent.tick(w.now)
	if w.now.Sub(c.lastReceived) > clientSilenceTimeout {
		e.disconnect()
		return
	}
	for _, f := range e.agent.takeMessages() {
		c.up.push(w.now, w.randomDelay(), f)
	}
}

func (e *simEntry) connect() {
	w := e.w
	if w.now.Before(e.nextConnect) {
		return
	}
	to := w.rng.IntN(simReplicas)
	r := w.replicas[to]
	e.nextConnect = w.now.Add(50*time.Millisecond + time.Duration(w.rng.Int64N(int64(200*time.Millisecond))))
	if !r.alive() || w.cut[direction("e", e.id, "r", to)] || w.cut[direction("r", to, "e", e.id)] {
		return
	}
	s := r.hub.openSession(w.now)
	if s == nil {
		return
	}
	e.conn = &simConn{replica: to, session: s, lastReceived: w.now}
	e.agent.startSession(w.now)
}
