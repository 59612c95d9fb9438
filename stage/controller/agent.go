package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/leaser"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
)

const (
	// heartbeatInterval is how often an entry renews its lease.
	heartbeatInterval = time.Second
	// callRetryDelay is the wait before a call that the leader couldn't execute is sent again.
	callRetryDelay = 100 * time.Millisecond
	// maxKeptHeartbeats bounds the heartbeats whose send times are kept to date answers.
	maxKeptHeartbeats = 32
	// maxCallsPerMessage bounds the calls of one message.
	maxCallsPerMessage = 32
	// announceTTL is how long an entry forwards a backend server's last announcement.
	announceTTL = 4 * time.Second
)

// agent is an entry's end of the streams: state, lease, grants and pending calls; it has no clock.
type agent struct {
	name        string
	incarnation uint64
	addr        string
	zone        string

	lease            *leaser.HolderLease
	ttl              time.Duration
	leaderEpoch      uint64
	welcomed         bool
	nextHeartbeat    time.Time
	heartbeatTimes   map[uint64]time.Time
	catalogAssembler spreader.DeltaAssembler
	liveAssembler    spreader.DeltaAssembler
	catalog          *configurer.Catalog
	roster           *registrar.Roster
	standings        *quarantiner.Standings

	servers    map[string]*announcedServer
	calls      map[uint64]*pendingCall
	lastCallID uint64
	// retries are calls that the leader rejected with answerRetry.
	retries []*pendingCall
	permits map[uint64]time.Time
	locks   map[quarantiner.Digest]uint64
	// epochs are this entry's latest ownership epochs, by server.
	epochs map[string]uint64
	// cancelled are cancelled calls that the leader may still grant.
	cancelled map[uint64]callFrame
	outgoing  []entryMessage
}

type announcedServer struct {
	server      registrar.Server
	announcedAt time.Time
	// sentWhole is set once the whole announcement was sent, refreshSent once its last repetition was.
	sentWhole   bool
	refreshSent bool
}

// pendingCall is a call without a final answer.
type pendingCall struct {
	frame       callFrame
	requestedAt time.Time
	retryAt     time.Time
	done        func(answerFrame)
}

func newAgent(cfg ClientConfig) *agent {
	return &agent{
		name: cfg.Name, incarnation: cfg.Incarnation, addr: cfg.Addr, zone: cfg.Zone,
		lease:          leaser.NewHolderLease(),
		heartbeatTimes: make(map[uint64]time.Time),
		catalog:        &configurer.Catalog{},
		roster:         registrar.NewRoster(0, nil, nil, nil),
		standings:      &quarantiner.Standings{},
		servers:        make(map[string]*announcedServer),
		calls:          make(map[uint64]*pendingCall),
		permits:        make(map[uint64]time.Time),
		locks:          make(map[quarantiner.Digest]uint64),
		epochs:         make(map[string]uint64),
		cancelled:      make(map[uint64]callFrame),
	}
}

// dropExpiredLocks forgets the locks once the lease has expired.
func (a *agent) dropExpiredLocks(now time.Time) {
	if !a.lease.Held(now) {
		clear(a.locks)
	}
}

// startSession queues the hello of a new session.
func (a *agent) startSession(now time.Time) {
	a.resetSession()
	a.dropExpiredLocks(now)
	a.outgoing = append(a.outgoing, entryMessage{Hello: &helloFrame{
		Name: a.name, Incarnation: a.incarnation, Addr: a.addr, Zone: a.zone,
		Catalog: a.catalogAssembler.Revision(), Live: a.liveAssembler.Revision(), LeaseHeld: a.lease.Held(now),
	}})
	a.nextHeartbeat = now
}

// resetSession discards the state of the last session.
func (a *agent) resetSession() {
	a.welcomed = false
	a.catalogAssembler.Reset()
	a.liveAssembler.Reset()
	a.outgoing = nil
}

// receive applies a message of the leader; changed reports whether catalog, roster or standings changed.
func (a *agent) receive(now time.Time, f leaderMessage) (changed bool, err error) {
	a.dropExpiredLocks(now)
	if f.Welcome != nil {
		a.welcome(now, *f.Welcome)
	}
	var ack entryMessage
	if f.Catalog != nil {
		if changed, err = a.applyCatalog(*f.Catalog); err != nil {
			return false, err
		}
		if changed {
			ack.Catalog = a.catalogAssembler.Revision()
		}
	}
	if f.Live != nil {
		live, err := a.applyLive(*f.Live)
		if err != nil {
			return changed, err
		}
		if live {
			ack.Live = a.liveAssembler.Revision()
		}
		changed = changed || live
	}
	if ack.Catalog+ack.Live > 0 {
		a.outgoing = append(a.outgoing, ack)
	}
	if f.Heartbeat > 0 {
		a.lease.Acknowledge(f.Heartbeat, a.ttl)
	}
	for _, ans := range f.Answers {
		a.receiveAnswer(now, ans)
	}
	for _, name := range f.NeedServers {
		if s, ok := a.servers[name]; ok {
			s.sentWhole = false
		}
	}
	return changed, nil
}

// welcome claims an earlier leader's grants and sends pending calls and announcements again.
func (a *agent) welcome(now time.Time, w welcomeFrame) {
	f := entryMessage{Catalog: a.catalogAssembler.Revision(), Live: a.liveAssembler.Revision()}
	f.Claims = a.claims(now, w.LeaderEpoch)
	a.leaderEpoch, a.ttl, a.welcomed = w.LeaderEpoch, time.Duration(w.TTLMillis)*time.Millisecond, true
	for _, s := range a.servers {
		s.sentWhole = false
	}
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		f.Calls = append(f.Calls, a.calls[id].frame)
	}
	a.outgoing = append(a.outgoing, f)
	a.nextHeartbeat = now
	a.tick(now)
}

// claims lists the grants that this entry holds; without a valid lease it owns no server.
func (a *agent) claims(now time.Time, leaderEpoch uint64) *claimsFrame {
	c := &claimsFrame{LeaderEpoch: leaderEpoch}
	if a.lease.Held(now) {
		a.roster.Owners(func(server string, o registrar.Owner) {
			if o.Entry == a.name && o.Addr == a.addr {
				c.Servers = append(c.Servers, claimFrame{Server: server, Epoch: o.Epoch})
			}
		})
	}
	for _, id := range slices.Sorted(maps.Keys(a.permits)) {
		if now.Before(a.permits[id]) {
			c.Permits = append(c.Permits, id)
		}
	}
	for d, id := range a.locks {
		c.Locks = append(c.Locks, lockFrame{Digest: d, ID: id})
	}
	for d, s := range a.standings.NotClear() {
		c.Standings = append(c.Standings, standingFrame{Digest: d, Standing: s})
	}
	return c
}

func (a *agent) applyCatalog(d spreader.Delta) (bool, error) {
	delta, ok, err := a.catalogAssembler.AddPart(d)
	if err != nil || !ok {
		return false, err
	}
	base := a.catalog
	if delta.Full {
		base = &configurer.Catalog{}
	}
	next, err := base.With(delta.To, delta.Items)
	if err != nil {
		a.catalogAssembler.SetRevision(a.catalog.Revision())
		return false, errors.Wrap(err, "catalog")
	}
	a.catalog = next
	return true, nil
}

func (a *agent) applyLive(d spreader.Delta) (bool, error) {
	delta, ok, err := a.liveAssembler.AddPart(d)
	if err != nil || !ok {
		return false, err
	}
	next, err := a.roster.With(delta.To, delta.Full, delta.Items)
	if err != nil {
		a.liveAssembler.SetRevision(a.roster.Revision())
		return false, errors.Wrap(err, "roster")
	}
	a.roster = next
	for _, it := range delta.Items {
		server, _ := registrar.OwnerKey(it)
		if o, ok := next.Owner(server); ok && o.Entry == a.name && o.Addr == a.addr {
			a.epochs[server] = o.Epoch
		}
	}
	a.standings = a.standings.With(delta.Full, delta.Items)
	return true, nil
}

// tick sends heartbeats, announcements and retried calls that are due.
func (a *agent) tick(now time.Time) {
	a.dropExpiredLocks(now)
	if !a.welcomed {
		return
	}
	var f entryMessage
	heartbeat := !now.Before(a.nextHeartbeat)
	if heartbeat {
		a.nextHeartbeat = now.Add(heartbeatInterval)
		f.Heartbeat = a.lease.Renew(now)
		a.heartbeatTimes[f.Heartbeat] = now
		delete(a.heartbeatTimes, f.Heartbeat-maxKeptHeartbeats)
	}
	for _, name := range slices.Sorted(maps.Keys(a.servers)) {
		a.addAnnouncement(now, name, heartbeat, &f)
	}
	f.Calls = a.dueRetries(now)
	maps.DeleteFunc(a.permits, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	if f.Heartbeat > 0 || len(f.Servers)+len(f.Calls) > 0 {
		a.outgoing = append(a.outgoing, f)
	}
}

// dueRetries returns the calls whose retry is due.
func (a *agent) dueRetries(now time.Time) []callFrame {
	var due []callFrame
	rest := a.retries[:0]
	for _, c := range a.retries {
		switch {
		case now.Before(c.retryAt):
			rest = append(rest, c)
		case a.calls[c.frame.ID] == c:
			due = append(due, c.frame)
		}
	}
	clear(a.retries[len(rest):])
	a.retries = rest
	return due
}

// addAnnouncement adds a backend server's announcement: whole when it is new to the leader, else in short form with each heartbeat.
func (a *agent) addAnnouncement(now time.Time, name string, heartbeat bool, f *entryMessage) {
	s := a.servers[name]
	switch {
	case now.Sub(s.announcedAt) > announceTTL:
		delete(a.servers, name)
	case !s.sentWhole:
		s.sentWhole, s.refreshSent = true, true
		f.Servers = append(f.Servers, newServerFrame(s.server))
	case heartbeat && !s.refreshSent:
		s.refreshSent = true
		f.Refreshed = append(f.Refreshed, refreshFrame{Name: name, Incarnation: s.server.Incarnation})
	}
}

// announce records a backend server's announcement.
func (a *agent) announce(now time.Time, s registrar.Server) {
	old, ok := a.servers[s.Name]
	if !ok {
		old = &announcedServer{}
		a.servers[s.Name] = old
	}
	if old.server != s {
		old.server, old.sentWhole = s, false
	}
	old.announcedAt, old.refreshSent = now, false
	if !old.sentWhole {
		a.tick(now)
	}
}

// call calls the leader; done is called once with the final answer.
func (a *agent) call(now time.Time, f callFrame, done func(answerFrame)) *pendingCall {
	if f.Kind == callReleaseServer {
		f.Epoch = a.epochs[f.Server]
	}
	c := &pendingCall{frame: f, done: done}
	a.sendCall(now, c)
	return c
}

// sendCall sends a call under a new ID.
func (a *agent) sendCall(now time.Time, c *pendingCall) {
	delete(a.calls, c.frame.ID)
	a.lastCallID++
	c.frame.ID, c.requestedAt = a.lastCallID, now
	a.calls[c.frame.ID] = c
	if a.welcomed {
		a.outgoing = append(a.outgoing, entryMessage{Calls: []callFrame{c.frame}})
	}
}

// cancel abandons a call; a grant that comes later is returned.
func (a *agent) cancel(c *pendingCall) {
	id := c.frame.ID
	if a.calls[id] != c || c.frame.Kind == callReportCrash {
		// A crash report is sent as soon as there is a leader again, whether or not its caller still waits.
		return
	}
	delete(a.calls, id)
	if c.frame.Kind != callPermit && c.frame.Kind != callLockSuspect {
		return
	}
	a.cancelled[id] = c.frame
	delete(a.cancelled, id-maxKeptAnswers)
	if a.welcomed {
		a.outgoing = append(a.outgoing, entryMessage{Cancelled: []uint64{id}})
	}
}

func (a *agent) receiveAnswer(now time.Time, ans answerFrame) {
	c, ok := a.calls[ans.ID]
	if !ok {
		a.returnLateGrant(now, ans)
		return
	}
	if ans.Code == answerRetry {
		c.retryAt = now.Add(callRetryDelay)
		a.retries = append(a.retries, c)
		return
	}
	if ans.Code == answerOK && c.frame.Kind == callPermit {
		until := a.permitExpiry(c, ans)
		if !now.Before(until) {
			// The permit expired before it arrived.
			a.call(now, callFrame{Kind: callReturnPermit, Grant: ans.Permit, Unused: true}, nil)
			a.sendCall(now, c)
			return
		}
		ans.expires = until
		a.permits[ans.Permit] = until
	}
	if ans.Code == answerOK && c.frame.Kind == callLockSuspect {
		if !a.lease.Held(now) {
			// Another entry may have got the lock once the lease expired.
			a.returnGrant(now, c.frame, ans)
			a.sendCall(now, c)
			return
		}
		a.locks[c.frame.Digests[0]] = ans.ID
	}
	delete(a.calls, ans.ID)
	if c.done != nil {
		c.done(ans)
	}
}

// permitExpiry returns a permit's expiry on this entry's clock, never later than the leader's.
func (a *agent) permitExpiry(c *pendingCall, ans answerFrame) time.Time {
	granted := c.requestedAt
	if sent, ok := a.heartbeatTimes[ans.Heartbeat]; ok {
		if at := sent.Add(time.Duration(ans.AfterMillis) * time.Millisecond); at.After(granted) {
			granted = at
		}
	}
	return granted.Add(registrar.PermitTTL())
}

// returnLateGrant returns the grant of a cancelled call.
func (a *agent) returnLateGrant(now time.Time, ans answerFrame) {
	frame, ok := a.cancelled[ans.ID]
	if !ok || ans.Code != answerOK {
		return
	}
	delete(a.cancelled, ans.ID)
	a.returnGrant(now, frame, ans)
}

// returnGrant returns a call's permit or lock to the leader.
func (a *agent) returnGrant(now time.Time, f callFrame, ans answerFrame) {
	switch f.Kind {
	case callPermit:
		delete(a.permits, ans.Permit)
		a.call(now, callFrame{Kind: callReturnPermit, Grant: ans.Permit, Unused: true}, nil)
	case callLockSuspect:
		a.unlock(now, f.Digests[0], ans.ID)
	}
}

// unlock releases a lock; one that was lost with the lease may be held again under another ID.
func (a *agent) unlock(now time.Time, d quarantiner.Digest, id uint64) {
	if a.locks[d] == id {
		delete(a.locks, d)
	}
	a.call(now, callFrame{Kind: callUnlockSuspect, Digests: []quarantiner.Digest{d}, Grant: id}, nil)
}

// takeMessages returns the messages to send, with consecutive calls merged.
func (a *agent) takeMessages() []entryMessage {
	var out []entryMessage
	for _, f := range a.outgoing {
		n := len(out) - 1
		if n >= 0 && f.hasOnlyCalls() && len(out[n].Calls)+len(f.Calls) <= maxCallsPerMessage {
			out[n].Calls = append(out[n].Calls, f.Calls...)
			continue
		}
		out = append(out, f)
	}
	a.outgoing = nil
	return out
}

// hasOnlyCalls reports whether the message carries only calls; the leader executes a message's calls last.
func (f entryMessage) hasOnlyCalls() bool {
	return len(f.Calls) > 0 && f.Hello == nil && f.Heartbeat+f.Catalog+f.Live == 0 && f.Claims == nil &&
		len(f.Servers)+len(f.Refreshed)+len(f.Cancelled) == 0
}
