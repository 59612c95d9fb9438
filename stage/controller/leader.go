package controller

import (
	"time"

	"redwingstage.org/coord/leaser"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
)

const (
	// catalogLagInterval is the interval at which the catalog that leases require advances; an entry may lag one to two of it.
	catalogLagInterval = 3 * time.Second
	// maxKeptAnswers bounds the answers kept per entry for repeated calls.
	maxKeptAnswers = 512
	// maxBookingsPerCommand bounds the bookings of one command.
	maxBookingsPerCommand = 256
	// maxBookingCommands bounds the booking commands in flight.
	maxBookingCommands = 4
)

// peerKey identifies an entry's session at the leader: its link, 0 for the leader's own, and its ID at that link's replica.
type peerKey struct {
	link    uint64
	session uint64
}

// outMessage is a message to a session; close ends the session after it.
type outMessage struct {
	to    peerKey
	frame leaderMessage
	close bool
}

// proposal is a command to propose to the log.
type proposal struct {
	cmd command
	// refs are the calls of the command's bookings, in order.
	refs []callRef
}

type callRef struct {
	holder string
	id     uint64
}

// leaderState is the state of one leader epoch: leases, ownership, permits, quarantine and the live state; it has no clock.
type leaderState struct {
	leaderEpoch uint64
	granter     *leaser.Granter
	registry    *registrar.Registry
	permits     *registrar.Permits
	suspects    *quarantiner.Quarantine
	live        *spreader.State
	revisions   leaser.Sequence
	// settled is set once the leases of earlier leaders have expired and the roster is published.
	settled         bool
	catalogRevision uint64
	// requiredCatalog is the catalog revision below which no lease is renewed; nextRequired replaces it at nextRequiredAt.
	requiredCatalog uint64
	nextRequired    uint64
	nextRequiredAt  time.Time
	peers           map[peerKey]*peer
	byHolder        map[string]*peer
	histories       map[string]*callHistory
	// listedHolders are the holders that the log lists; joiningHolders and pendingLosses have commands in flight.
	listedHolders  map[string]bool
	joiningHolders map[string]bool
	pendingLosses  map[string]int
	// unclaimedHolders are the holders of earlier leases that haven't sent their claims.
	unclaimedHolders        map[string]bool
	revisionWaits           []revisionWait
	bookings                []pendingBooking
	bookingCommandsInFlight int
	messages                []outMessage
	proposals               []proposal
	// skipAcks skips the acknowledgements for --wait and leases, to show that their tests can fail.
	skipAcks bool
	// countPermitsAsUnused treats each returned permit as unused, to show the same.
	countPermitsAsUnused bool
}

// peer is the leader's view of an entry's session.
type peer struct {
	key    peerKey
	holder string
	hello  helloFrame
	// needCatalog and needLive must be acknowledged before the lease is renewed.
	needCatalog  uint64
	needLive     uint64
	ackedCatalog uint64
	ackedLive    uint64
	// heartbeat is the last one, heartbeatAt its receipt; heartbeatPending is set until it is answered.
	heartbeat        uint64
	heartbeatAt      time.Time
	heartbeatPending bool
	// renewDeferred is set while the renewal waits until the leader has settled.
	renewDeferred bool
}

// callHistory holds the open calls of an entry and its latest answers.
type callHistory struct {
	answers     map[uint64]answerFrame
	answerOrder []uint64
	openCalls   map[uint64]bool
}

type pendingBooking struct {
	ref callRef
	cmd bookingCommand
}

// revisionWait is due once its revisions are in force at every entry.
type revisionWait struct {
	catalog uint64
	live    uint64
	done    chan<- bool
	// ref is the call to answer if done is nil.
	ref callRef
}

// newLeaderState returns the state of a leader epoch that began at now; leased are the processes that may hold an earlier lease.
func newLeaderState(
	leaderEpoch uint64, now time.Time, fresh bool, limits registrar.StoreLimits, live *spreader.State, leased []entryProcess,
) *leaderState {
	g := leaser.New(leaderEpoch, now, fresh)
	l := &leaderState{
		leaderEpoch:      leaderEpoch,
		granter:          g,
		registry:         registrar.New(g),
		permits:          registrar.NewPermits(leaderEpoch, now, fresh, limits),
		suspects:         quarantiner.NewQuarantine(quarantiner.New(quarantiner.Config{}), g.SettledAt()),
		live:             live,
		revisions:        leaser.NewSequence(leaderEpoch),
		nextRequiredAt:   now.Add(catalogLagInterval),
		peers:            make(map[peerKey]*peer),
		byHolder:         make(map[string]*peer),
		histories:        make(map[string]*callHistory),
		listedHolders:    make(map[string]bool),
		joiningHolders:   make(map[string]bool),
		pendingLosses:    make(map[string]int),
		unclaimedHolders: make(map[string]bool),
	}
	for _, p := range leased {
		l.listedHolders[p.holder()] = true
		l.unclaimedHolders[p.holder()] = true
	}
	return l
}

func (p entryProcess) holder() string { return registrar.Holder(p.Entry, p.Incarnation) }

// receive handles a message of a session.
func (l *leaderState) receive(now time.Time, key peerKey, f entryMessage) {
	if f.Hello != nil {
		l.handleHello(now, key, *f.Hello)
	}
	p, ok := l.peers[key]
	if !ok {
		l.messages = append(l.messages, outMessage{to: key, close: true})
		return
	}
	if f.Claims != nil && f.Claims.LeaderEpoch == l.leaderEpoch {
		l.restoreClaims(now, p, *f.Claims)
	}
	p.ackedCatalog, p.ackedLive = max(p.ackedCatalog, f.Catalog), max(p.ackedLive, f.Live)
	l.registry.Acknowledge(p.holder, p.ackedLive)
	if f.Heartbeat > 0 {
		p.heartbeat, p.heartbeatAt, p.heartbeatPending = f.Heartbeat, now, true
	}
	l.renew(now, p)
	if len(l.revisionWaits) > 0 && f.Catalog+f.Live > 0 {
		l.finishWaits(now)
	}
	l.announce(now, p, f)
	for _, id := range f.Cancelled {
		l.permits.Withdraw(p.holder, id)
		l.suspects.Withdraw(p.holder, id)
		delete(l.history(p.holder).openCalls, id)
	}
	for _, c := range f.Calls {
		l.executeCall(now, p, c)
	}
}

// handleHello opens a session and closes an older one of the same process.
func (l *leaderState) handleHello(now time.Time, key peerKey, h helloFrame) {
	if reason := configurer.CheckName(h.Name); reason != "" || h.Addr == "" {
		// The session is closed, since it has no peer; the entry's settings are invalid.
		return
	}
	holder := registrar.Holder(h.Name, h.Incarnation)
	if old, ok := l.byHolder[holder]; ok && old.key != key {
		l.messages = append(l.messages, outMessage{to: old.key, close: true})
		delete(l.peers, old.key)
	}
	p := &peer{key: key, holder: holder, hello: h, ackedCatalog: h.Catalog, ackedLive: h.Live}
	l.peers[key] = p
	l.byHolder[holder] = p
	l.resync(now, p)
}

// resync requires acknowledgement of the current state before the lease is renewed.
func (l *leaderState) resync(now time.Time, p *peer) {
	l.publish(now)
	p.needCatalog, p.needLive = l.catalogRevision, l.live.Revision()
	l.messages = append(l.messages, outMessage{to: p.key, frame: leaderMessage{Welcome: &welcomeFrame{
		LeaderEpoch: l.leaderEpoch, Catalog: p.needCatalog, Live: p.needLive, TTLMillis: l.granter.TTL().Milliseconds(),
	}}})
}

// restoreClaims restores an earlier leader's grants to an entry.
func (l *leaderState) restoreClaims(now time.Time, p *peer, c claimsFrame) {
	delete(l.unclaimedHolders, p.holder)
	if p.hello.LeaseHeld && l.listedHolders[p.holder] && !l.granter.Settled(now) {
		// The lease is still valid, whether or not the entry owns a server.
		l.registry.Join(now, p.entry())
	}
	claims := make([]registrar.Claim, 0, len(c.Servers))
	for _, s := range c.Servers {
		claims = append(claims, registrar.Claim{Server: s.Server, Epoch: s.Epoch})
	}
	l.registry.Claim(now, p.holder, claims)
	for _, id := range c.Permits {
		l.permits.Claim(p.holder, id)
	}
	for _, lock := range c.Locks {
		l.suspects.Claim(now, quarantiner.Ticket{Digest: lock.Digest, Holder: p.holder, ID: lock.ID})
	}
	for _, s := range c.Standings {
		l.suspects.MergeStanding(now, s.Digest, s.Standing)
	}
}

func (p *peer) entry() registrar.Entry {
	return registrar.Entry{Name: p.hello.Name, Incarnation: p.hello.Incarnation, Addr: p.hello.Addr, Zone: p.hello.Zone}
}

// renew renews an entry's lease and answers its heartbeat once the entry has the required revisions.
func (l *leaderState) renew(now time.Time, p *peer) {
	if !p.heartbeatPending {
		return
	}
	if !l.settled && !p.hello.LeaseHeld && !l.skipAcks {
		// Only entries with a valid lease have the last live state of an earlier leader.
		p.renewDeferred = true
		return
	}
	if p.renewDeferred {
		p.renewDeferred = false
		p.needCatalog, p.needLive = l.catalogRevision, l.live.Revision()
	}
	inForce := p.ackedCatalog >= max(p.needCatalog, l.requiredCatalog) && p.ackedLive >= p.needLive
	if !inForce && !l.skipAcks {
		return
	}
	if p.heartbeatAt.Before(now.Add(-l.granter.TTL())) {
		return
	}
	if !l.ensureListed(now, p) {
		return
	}
	l.registry.Join(now, p.entry())
	p.heartbeatPending = false
	l.messages = append(l.messages, outMessage{to: p.key, frame: leaderMessage{Heartbeat: p.heartbeat}})
}

// ensureListed reports whether the log lists the process, else proposes it, so that a later leader knows its lease.
func (l *leaderState) ensureListed(now time.Time, p *peer) bool {
	if l.pendingLosses[p.holder] > 0 {
		return false
	}
	if !l.listedHolders[p.holder] && !l.joiningHolders[p.holder] {
		l.joiningHolders[p.holder] = true
		cmd := newCommand(now)
		cmd.Joined = []entryProcess{{p.hello.Name, p.hello.Incarnation}}
		l.proposals = append(l.proposals, proposal{cmd: cmd})
	}
	return l.listedHolders[p.holder]
}

// handleProcessResult handles the result of a command that lists or removes processes.
func (l *leaderState) handleProcessResult(now time.Time, cmd command, err error) {
	for _, p := range cmd.Joined {
		delete(l.joiningHolders, p.holder())
		// While a removal is in flight, the commands' order isn't known; the process is listed again.
		l.listedHolders[p.holder()] = err == nil && l.pendingLosses[p.holder()] == 0
		if peer, ok := l.byHolder[p.holder()]; ok && err == nil {
			l.renew(now, peer)
		}
	}
	for _, p := range cmd.Lost {
		if l.pendingLosses[p.holder()]--; l.pendingLosses[p.holder()] <= 0 {
			delete(l.pendingLosses, p.holder())
		}
	}
	if cmd.Lost != nil && err != nil {
		l.proposeLost(now, cmd.Lost)
	}
}

func (l *leaderState) announce(now time.Time, p *peer, f entryMessage) {
	for _, s := range f.Servers {
		// An invalid announcement is dropped; the entry that received it has sent the server the reason.
		_ = l.registry.Announce(now, s.server())
	}
	var need []string
	for _, s := range f.Refreshed {
		if !l.registry.Refresh(now, s.Name, s.Incarnation) {
			need = append(need, s.Name)
		}
	}
	if len(need) > 0 {
		l.messages = append(l.messages, outMessage{to: p.key, frame: leaderMessage{NeedServers: need}})
	}
}

// removeSession removes a session; the entry's lease stays valid.
func (l *leaderState) removeSession(key peerKey) {
	p, ok := l.peers[key]
	if !ok {
		return
	}
	delete(l.peers, key)
	if l.byHolder[p.holder] == p {
		delete(l.byHolder, p.holder)
	}
	if !l.granter.Live(p.heartbeatAt, p.holder) {
		delete(l.histories, p.holder)
	}
}

// setCatalogRevision raises the catalog's revision.
func (l *leaderState) setCatalogRevision(revision uint64) {
	l.catalogRevision = max(l.catalogRevision, revision)
}

// tick runs the leader's periodic work.
func (l *leaderState) tick(now time.Time) {
	if !now.Before(l.nextRequiredAt) {
		l.requiredCatalog, l.nextRequired, l.nextRequiredAt = l.nextRequired, l.catalogRevision, now.Add(catalogLagInterval)
	}
	if len(l.unclaimedHolders) == 0 {
		l.granter.Settle(now)
		l.suspects.Settle(now)
	}
	for _, lost := range l.registry.Tick(now) {
		holder := registrar.Holder(lost.Name, lost.Incarnation)
		l.permits.WithdrawAll(holder)
		l.suspects.ReleaseHolder(holder)
		delete(l.histories, holder)
		if p, ok := l.byHolder[holder]; ok {
			l.resync(now, p)
		}
		delete(l.unclaimedHolders, holder)
		l.proposeLost(now, []entryProcess{{lost.Name, lost.Incarnation}})
	}
	l.suspects.Expire(now)
	l.grant(now)
	l.publish(now)
	l.finishWaits(now)
}

// proposeLost proposes that processes are lost, so that their bookings end as unknown.
func (l *leaderState) proposeLost(now time.Time, lost []entryProcess) {
	cmd := newCommand(now)
	cmd.Lost = lost
	for _, p := range lost {
		delete(l.listedHolders, p.holder())
		l.pendingLosses[p.holder()]++
	}
	l.proposals = append(l.proposals, proposal{cmd: cmd})
}

// publish adds a revision of the live state with all changes; a new leader publishes the roster only once settled.
func (l *leaderState) publish(now time.Time) {
	items := l.suspects.Changes(now)
	full := false
	if l.settled || l.granter.Settled(now) {
		roster, err := l.registry.Changes()
		if err != nil {
			return
		}
		items = append(items, roster...)
		full = !l.settled
	}
	if len(items) == 0 && !full {
		return
	}
	revision, err := l.revisions.Next()
	if err != nil {
		return
	}
	if full {
		err = l.live.Replace(revision, l.withSuspects(now, items))
		l.settled = true
	} else {
		err = l.live.Change(revision, items)
	}
	if err == nil {
		l.suspects.Published(revision)
	}
	if err == nil && l.settled {
		l.registry.Published(revision)
	}
}

// withSuspects adds the quarantine items published before the leader settled, without deleted ones.
func (l *leaderState) withSuspects(now time.Time, items []spreader.Item) []spreader.Item {
	all := append(l.suspects.All(now), items...)
	out := all[:0]
	for _, it := range all {
		if it.Value != nil {
			out = append(out, it)
		}
	}
	return out
}

// inForce reports whether every live entry has acknowledged the revisions and all other leases have expired.
func (l *leaderState) inForce(now time.Time, catalog, live uint64) bool {
	if l.skipAcks {
		return true
	}
	if !l.granter.Settled(now) {
		return false
	}
	return l.registry.All(func(holder string) bool {
		p, ok := l.byHolder[holder]
		return ok && p.ackedCatalog >= catalog && p.ackedLive >= live
	})
}

// awaitInForce sends true on done once the catalog revision is in force at every entry; done must be buffered.
func (l *leaderState) awaitInForce(now time.Time, revision uint64, done chan<- bool) {
	l.revisionWaits = append(l.revisionWaits, revisionWait{catalog: revision, done: done})
	l.finishWaits(now)
}

func (l *leaderState) finishWaits(now time.Time) {
	rest := l.revisionWaits[:0]
	for _, w := range l.revisionWaits {
		switch {
		case !l.inForce(now, w.catalog, w.live):
			rest = append(rest, w)
		case w.done != nil:
			w.done <- true
		default:
			l.answer(w.ref, answerFrame{})
		}
	}
	clear(l.revisionWaits[len(rest):])
	l.revisionWaits = rest
}

// failWaits sends false to operators' waits when the replica no longer leads.
func (l *leaderState) failWaits() {
	for _, w := range l.revisionWaits {
		if w.done != nil {
			w.done <- false
		}
	}
	l.revisionWaits = nil
}

// takeOutput returns and clears the messages to send and the commands to propose.
func (l *leaderState) takeOutput() ([]outMessage, []proposal) {
	out, proposed := l.messages, l.proposals
	l.messages, l.proposals = nil, nil
	return out, proposed
}
