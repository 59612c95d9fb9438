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
	// beatEvery is the interval between renewals of an entry's lease.
	beatEvery = time.Second
	// retryAfter is the wait before a call that the leader couldn't execute is sent again.
	retryAfter = 100 * time.Millisecond
	// keepBeats bounds the heartbeats whose send times are kept to date answers.
	keepBeats = 32
	// maxCalls bounds the calls of one message.
	maxCalls = 32
	// announceTTL is how long an entry forwards a backend server's last announcement.
	announceTTL = 4 * time.Second
)

// agent is the entry's end of the control streams: state, lease, grants and pending calls; it has no clock.
type agent struct {
	name        string
	incarnation uint64
	addr        string
	zone        string

	tenure    *leaser.Tenure
	ttl       time.Duration
	era       uint64
	welcomed  bool
	nextBeat  time.Time
	beats     map[uint64]time.Time
	catalogs  spreader.Joiner
	lives     spreader.Joiner
	catalog   *configurer.Catalog
	roster    *registrar.Roster
	standings *quarantiner.Standings

	announced map[string]*announced
	calls     map[uint64]*pendingCall
	lastCall  uint64
	// again are calls that the leader asked to be sent again.
	again   []*pendingCall
	permits map[uint64]time.Time
	locks   map[quarantiner.Digest]uint64
	// epochs are this entry's latest ownership epochs, by server.
	epochs map[string]uint64
	// withdrawn are cancelled calls that the leader may still grant.
	withdrawn map[uint64]callFrame
	out       []up
}

type announced struct {
	server registrar.Server
	at     time.Time
	// whole says that the whole announcement was sent, seen that its last repetition was.
	whole bool
	seen  bool
}

// pendingCall is a call without a final answer.
type pendingCall struct {
	frame callFrame
	asked time.Time
	again time.Time
	done  func(answerFrame)
}

func newAgent(cfg ClientConfig) *agent {
	return &agent{
		name: cfg.Name, incarnation: cfg.Incarnation, addr: cfg.Addr, zone: cfg.Zone,
		tenure:    leaser.NewTenure(),
		beats:     make(map[uint64]time.Time),
		catalog:   &configurer.Catalog{},
		roster:    registrar.NewRoster(0, nil, nil, nil),
		standings: &quarantiner.Standings{},
		announced: make(map[string]*announced),
		calls:     make(map[uint64]*pendingCall),
		permits:   make(map[uint64]time.Time),
		locks:     make(map[quarantiner.Digest]uint64),
		epochs:    make(map[string]uint64),
		withdrawn: make(map[uint64]callFrame),
	}
}

// lapse forgets the locks once the lease has expired.
func (a *agent) lapse(now time.Time) {
	if !a.tenure.Held(now) {
		clear(a.locks)
	}
}

// connected opens a session.
func (a *agent) connected(now time.Time) {
	a.disconnected()
	a.lapse(now)
	a.out = append(a.out, up{Hello: &helloFrame{
		Name: a.name, Incarnation: a.incarnation, Addr: a.addr, Zone: a.zone,
		Catalog: a.catalogs.Revision(), Live: a.lives.Revision(), Held: a.tenure.Held(now),
	}})
	a.nextBeat = now
}

// disconnected discards the state of the last session.
func (a *agent) disconnected() {
	a.welcomed = false
	a.catalogs.Reset()
	a.lives.Reset()
	a.out = nil
}

// receive applies a message of the leader; changed says that catalog, roster or standings changed.
func (a *agent) receive(now time.Time, f down) (changed bool, err error) {
	a.lapse(now)
	if f.Welcome != nil {
		a.welcome(now, *f.Welcome)
	}
	var ack up
	if f.Catalog != nil {
		if changed, err = a.takeCatalog(*f.Catalog); err != nil {
			return false, err
		}
		if changed {
			ack.Catalog = a.catalogs.Revision()
		}
	}
	if f.Live != nil {
		live, err := a.takeLive(*f.Live)
		if err != nil {
			return changed, err
		}
		if live {
			ack.Live = a.lives.Revision()
		}
		changed = changed || live
	}
	if ack.Catalog+ack.Live > 0 {
		a.out = append(a.out, ack)
	}
	if f.Beat > 0 {
		a.tenure.Renewed(f.Beat, a.ttl)
	}
	for _, ans := range f.Answers {
		a.answer(now, ans)
	}
	for _, name := range f.Need {
		if s, ok := a.announced[name]; ok {
			s.whole = false
		}
	}
	return changed, nil
}

// welcome claims what an earlier leader granted and sends pending calls and announcements again.
func (a *agent) welcome(now time.Time, w welcomeFrame) {
	f := up{Catalog: a.catalogs.Revision(), Live: a.lives.Revision()}
	f.Claims = a.claims(now, w.Era)
	a.era, a.ttl, a.welcomed = w.Era, time.Duration(w.TTL)*time.Millisecond, true
	for _, s := range a.announced {
		s.whole = false
	}
	for _, id := range slices.Sorted(maps.Keys(a.calls)) {
		f.Calls = append(f.Calls, a.calls[id].frame)
	}
	a.out = append(a.out, f)
	a.nextBeat = now
	a.tick(now)
}

// claims lists what this entry holds; without a valid lease it owns no server.
func (a *agent) claims(now time.Time, era uint64) *claimsFrame {
	c := &claimsFrame{Era: era}
	if a.tenure.Held(now) {
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
	for d, s := range a.standings.Known() {
		c.Standings = append(c.Standings, standingFrame{Digest: d, Standing: s})
	}
	return c
}

func (a *agent) takeCatalog(d spreader.Delta) (bool, error) {
	whole, ok, err := a.catalogs.Join(d)
	if err != nil || !ok {
		return false, err
	}
	base := a.catalog
	if whole.Full {
		base = &configurer.Catalog{}
	}
	next, err := base.With(whole.To, whole.Items)
	if err != nil {
		a.catalogs.Back(a.catalog.Revision())
		return false, errors.Wrap(err, "catalog")
	}
	a.catalog = next
	return true, nil
}

func (a *agent) takeLive(d spreader.Delta) (bool, error) {
	whole, ok, err := a.lives.Join(d)
	if err != nil || !ok {
		return false, err
	}
	next, err := a.roster.With(whole.To, whole.Full, whole.Items)
	if err != nil {
		a.lives.Back(a.roster.Revision())
		return false, errors.Wrap(err, "roster")
	}
	a.roster = next
	for _, it := range whole.Items {
		server, _ := registrar.OwnerKey(it)
		if o, ok := next.Owner(server); ok && o.Entry == a.name && o.Addr == a.addr {
			a.epochs[server] = o.Epoch
		}
	}
	a.standings = a.standings.With(whole.Full, whole.Items)
	return true, nil
}

// tick sends heartbeats, announcements and retried calls that are due.
func (a *agent) tick(now time.Time) {
	a.lapse(now)
	if !a.welcomed {
		return
	}
	var f up
	beat := !now.Before(a.nextBeat)
	if beat {
		a.nextBeat = now.Add(beatEvery)
		f.Beat = a.tenure.Renew(now)
		a.beats[f.Beat] = now
		delete(a.beats, f.Beat-keepBeats)
	}
	for _, name := range slices.Sorted(maps.Keys(a.announced)) {
		a.passOn(now, name, beat, &f)
	}
	f.Calls = a.retry(now)
	maps.DeleteFunc(a.permits, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	if f.Beat > 0 || len(f.Servers)+len(f.Calls) > 0 {
		a.out = append(a.out, f)
	}
}

// retry returns the calls whose retry is due.
func (a *agent) retry(now time.Time) []callFrame {
	var due []callFrame
	rest := a.again[:0]
	for _, c := range a.again {
		switch {
		case now.Before(c.again):
			rest = append(rest, c)
		case a.calls[c.frame.ID] == c:
			due = append(due, c.frame)
		}
	}
	clear(a.again[len(rest):])
	a.again = rest
	return due
}

// passOn adds a backend server's announcement: whole when it is new to the leader, else in short form with each heartbeat.
func (a *agent) passOn(now time.Time, name string, beat bool, f *up) {
	s := a.announced[name]
	switch {
	case now.Sub(s.at) > announceTTL:
		delete(a.announced, name)
	case !s.whole:
		s.whole, s.seen = true, true
		f.Servers = append(f.Servers, newServerFrame(s.server))
	case beat && !s.seen:
		s.seen = true
		f.Seen = append(f.Seen, seenFrame{Name: name, Incarnation: s.server.Incarnation})
	}
}

// announce records a backend server's announcement.
func (a *agent) announce(now time.Time, s registrar.Server) {
	old, ok := a.announced[s.Name]
	if !ok {
		old = &announced{}
		a.announced[s.Name] = old
	}
	if old.server != s {
		old.server, old.whole = s, false
	}
	old.at, old.seen = now, false
	if !old.whole {
		a.tick(now)
	}
}

// call sends a call to the leader; done is called once with the final answer.
func (a *agent) call(now time.Time, f callFrame, done func(answerFrame)) *pendingCall {
	if f.Kind == callRelease {
		f.Epoch = a.epochs[f.Server]
	}
	c := &pendingCall{frame: f, done: done}
	a.ask(now, c)
	return c
}

// ask sends a call under a new ID.
func (a *agent) ask(now time.Time, c *pendingCall) {
	delete(a.calls, c.frame.ID)
	a.lastCall++
	c.frame.ID, c.asked = a.lastCall, now
	a.calls[c.frame.ID] = c
	if a.welcomed {
		a.out = append(a.out, up{Calls: []callFrame{c.frame}})
	}
}

// withdraw cancels a call; a grant that comes later is returned.
func (a *agent) withdraw(c *pendingCall) {
	id := c.frame.ID
	if a.calls[id] != c || c.frame.Kind == callAccuse {
		// A crash report is sent as soon as there is a leader again, whether or not its caller still waits.
		return
	}
	delete(a.calls, id)
	if c.frame.Kind != callPermit && c.frame.Kind != callLock {
		return
	}
	a.withdrawn[id] = c.frame
	delete(a.withdrawn, id-keepAnswered)
	if a.welcomed {
		a.out = append(a.out, up{Withdrawn: []uint64{id}})
	}
}

func (a *agent) answer(now time.Time, ans answerFrame) {
	c, ok := a.calls[ans.ID]
	if !ok {
		a.giveBack(now, ans)
		return
	}
	if ans.Code == answerRetry {
		c.again = now.Add(retryAfter)
		a.again = append(a.again, c)
		return
	}
	if ans.Code == answerOK && c.frame.Kind == callPermit {
		until := a.permitEnd(c, ans)
		if !now.Before(until) {
			// The permit expired before it arrived.
			a.call(now, callFrame{Kind: callReturn, Grant: ans.Permit, Unused: true}, nil)
			a.ask(now, c)
			return
		}
		ans.until = until
		a.permits[ans.Permit] = until
	}
	if ans.Code == answerOK && c.frame.Kind == callLock {
		if !a.tenure.Held(now) {
			// Another entry may have got the lock once the lease expired.
			a.forgo(now, c.frame, ans)
			a.ask(now, c)
			return
		}
		a.locks[c.frame.Digests[0]] = ans.ID
	}
	delete(a.calls, ans.ID)
	if c.done != nil {
		c.done(ans)
	}
}

// permitEnd returns a permit's expiry on this entry's clock, never later than the leader's.
func (a *agent) permitEnd(c *pendingCall, ans answerFrame) time.Time {
	granted := c.asked
	if sent, ok := a.beats[ans.Beat]; ok {
		if at := sent.Add(time.Duration(ans.After) * time.Millisecond); at.After(granted) {
			granted = at
		}
	}
	return granted.Add(registrar.PermitTTL())
}

// giveBack returns the grant of a cancelled call.
func (a *agent) giveBack(now time.Time, ans answerFrame) {
	frame, ok := a.withdrawn[ans.ID]
	if !ok || ans.Code != answerOK {
		return
	}
	delete(a.withdrawn, ans.ID)
	a.forgo(now, frame, ans)
}

// forgo returns a call's permit or lock to the leader.
func (a *agent) forgo(now time.Time, f callFrame, ans answerFrame) {
	switch f.Kind {
	case callPermit:
		delete(a.permits, ans.Permit)
		a.call(now, callFrame{Kind: callReturn, Grant: ans.Permit, Unused: true}, nil)
	case callLock:
		a.unlock(now, f.Digests[0], ans.ID)
	}
}

// unlock releases a lock; one that was lost with the lease may be held again under another ID.
func (a *agent) unlock(now time.Time, d quarantiner.Digest, id uint64) {
	if a.locks[d] == id {
		delete(a.locks, d)
	}
	a.call(now, callFrame{Kind: callUnlock, Digests: []quarantiner.Digest{d}, Grant: id}, nil)
}

// take returns the messages to send, with consecutive calls merged.
func (a *agent) take() []up {
	var out []up
	for _, f := range a.out {
		n := len(out) - 1
		if n >= 0 && f.hasOnlyCalls() && len(out[n].Calls)+len(f.Calls) <= maxCalls {
			out[n].Calls = append(out[n].Calls, f.Calls...)
			continue
		}
		out = append(out, f)
	}
	a.out = nil
	return out
}

// hasOnlyCalls reports whether the message carries only calls; the leader executes a message's calls last.
func (f up) hasOnlyCalls() bool {
	return len(f.Calls) > 0 && f.Hello == nil && f.Beat+f.Catalog+f.Live == 0 && f.Claims == nil &&
		len(f.Servers)+len(f.Seen)+len(f.Withdrawn) == 0
}
