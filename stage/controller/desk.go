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
	// lagGrace is the interval at which the catalog that leases require advances; an entry may lag one to two of it.
	lagGrace = 3 * time.Second
	// keepAnswered bounds the answers kept per entry for repeated calls.
	keepAnswered = 512
	// maxBatch bounds the bookings of one command.
	maxBatch = 256
	// maxProposals bounds the booking commands in flight.
	maxProposals = 4
)

// peerKey identifies an entry's session at the leader: its link, 0 for the leader's own, and its ID at that link's replica.
type peerKey struct {
	link    uint64
	session uint64
}

// outFrame is a message to a session; close ends the session after it.
type outFrame struct {
	to    peerKey
	frame down
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

// desk is the leader's state of one era: leases, ownership, permits, quarantine and the live state; it has no clock.
type desk struct {
	era       uint64
	granter   *leaser.Granter
	registry  *registrar.Registry
	permits   *registrar.Permits
	suspects  *quarantiner.Board
	live      *spreader.State
	revisions leaser.Sequence
	settled   bool
	catalog   uint64
	// required is the catalog revision below which no lease is renewed; next replaces it at nextAt.
	required uint64
	next     uint64
	nextAt   time.Time
	peers    map[peerKey]*peer
	holders  map[string]*peer
	answered map[string]*answered
	// known are the holders that the log lists; joining and losing are those whose commands are in flight.
	known   map[string]bool
	joining map[string]bool
	losing  map[string]int
	// expected are the holders of earlier leases that haven't sent their claims.
	expected map[string]bool
	waits    []wait
	bookings []pendingBooking
	flying   int
	out      []outFrame
	proposed []proposal
	// eager skips the confirmations that --wait and leases need, to show that their tests can fail.
	eager bool
	// allUnused treats each returned permit as unused, to show the same.
	allUnused bool
}

// peer is the leader's view of an entry's session.
type peer struct {
	key    peerKey
	holder string
	hello  helloFrame
	// needCatalog and needLive must be acknowledged before the lease is renewed.
	needCatalog uint64
	needLive    uint64
	catalog     uint64
	live        uint64
	// beat is the last heartbeat and beatAt its time of receipt; owed says that it isn't answered yet.
	beat   uint64
	beatAt time.Time
	owed   bool
	// deferred says that the renewal waits until the leader has settled.
	deferred bool
}

// answered holds the open calls of an entry and its latest answers.
type answered struct {
	byID  map[uint64]answerFrame
	order []uint64
	open  map[uint64]bool
}

type pendingBooking struct {
	ref callRef
	cmd bookingCommand
}

// wait is due once its revisions are in force at every entry.
type wait struct {
	catalog uint64
	live    uint64
	done    chan<- bool
	// ref is the call to answer if done is nil.
	ref callRef
}

// newDesk returns the state of an era that begins at now; leased are the processes that may hold a lease of an earlier era.
func newDesk(
	era uint64, now time.Time, fresh bool, limits registrar.StoreLimits, live *spreader.State, leased []process,
) *desk {
	g := leaser.New(era, now, fresh)
	d := &desk{
		era:       era,
		granter:   g,
		registry:  registrar.New(g),
		permits:   registrar.NewPermits(era, now, fresh, limits),
		suspects:  quarantiner.NewBoard(quarantiner.New(quarantiner.Config{}), g.SettledAt()),
		live:      live,
		revisions: leaser.NewSequence(era),
		nextAt:    now.Add(lagGrace),
		peers:     make(map[peerKey]*peer),
		holders:   make(map[string]*peer),
		answered:  make(map[string]*answered),
		known:     make(map[string]bool),
		joining:   make(map[string]bool),
		losing:    make(map[string]int),
		expected:  make(map[string]bool),
	}
	for _, p := range leased {
		d.known[p.holder()] = true
		d.expected[p.holder()] = true
	}
	return d
}

func (p process) holder() string { return registrar.Holder(p.Entry, p.Incarnation) }

// receive handles a message of a session.
func (d *desk) receive(now time.Time, key peerKey, f up) {
	if f.Hello != nil {
		d.hello(now, key, *f.Hello)
	}
	p, ok := d.peers[key]
	if !ok {
		d.out = append(d.out, outFrame{to: key, close: true})
		return
	}
	if f.Claims != nil && f.Claims.Era == d.era {
		d.claim(now, p, *f.Claims)
	}
	p.catalog, p.live = max(p.catalog, f.Catalog), max(p.live, f.Live)
	d.registry.Acknowledge(p.holder, p.live)
	if f.Beat > 0 {
		p.beat, p.beatAt, p.owed = f.Beat, now, true
	}
	d.renew(now, p)
	if len(d.waits) > 0 && f.Catalog+f.Live > 0 {
		d.finishWaits(now)
	}
	d.announce(now, p, f)
	for _, id := range f.Withdrawn {
		d.permits.Withdraw(p.holder, id)
		d.suspects.Withdraw(p.holder, id)
		delete(d.memory(p.holder).open, id)
	}
	for _, c := range f.Calls {
		d.call(now, p, c)
	}
}

// hello opens a session and closes an older one of the same process.
func (d *desk) hello(now time.Time, key peerKey, h helloFrame) {
	if reason := configurer.CheckName(h.Name); reason != "" || h.Addr == "" {
		// The session is closed, since it has no peer; the entry's settings are invalid.
		return
	}
	holder := registrar.Holder(h.Name, h.Incarnation)
	if old, ok := d.holders[holder]; ok && old.key != key {
		d.out = append(d.out, outFrame{to: old.key, close: true})
		delete(d.peers, old.key)
	}
	p := &peer{key: key, holder: holder, hello: h, catalog: h.Catalog, live: h.Live}
	d.peers[key] = p
	d.holders[holder] = p
	d.resync(now, p)
}

// resync makes renewal of the lease depend on acknowledgement of the current revisions.
func (d *desk) resync(now time.Time, p *peer) {
	d.publish(now)
	p.needCatalog, p.needLive = d.catalog, d.live.Revision()
	d.out = append(d.out, outFrame{to: p.key, frame: down{Welcome: &welcomeFrame{
		Era: d.era, Catalog: p.needCatalog, Live: p.needLive, TTL: d.granter.TTL().Milliseconds(),
	}}})
}

// claim restores what an earlier leader granted to an entry.
func (d *desk) claim(now time.Time, p *peer, c claimsFrame) {
	delete(d.expected, p.holder)
	if p.hello.Held && d.known[p.holder] && !d.granter.Settled(now) {
		// The lease is still valid, whether or not the entry owns a server.
		d.registry.Join(now, p.entry())
	}
	claims := make([]registrar.Claim, 0, len(c.Servers))
	for _, s := range c.Servers {
		claims = append(claims, registrar.Claim{Server: s.Server, Epoch: s.Epoch})
	}
	d.registry.Claim(now, p.holder, claims)
	for _, id := range c.Permits {
		d.permits.Claim(p.holder, id)
	}
	for _, l := range c.Locks {
		d.suspects.Claim(now, quarantiner.Ticket{Digest: l.Digest, Holder: p.holder, ID: l.ID})
	}
	for _, s := range c.Standings {
		d.suspects.Report(now, s.Digest, s.Standing)
	}
}

func (p *peer) entry() registrar.Entry {
	return registrar.Entry{Name: p.hello.Name, Incarnation: p.hello.Incarnation, Addr: p.hello.Addr, Zone: p.hello.Zone}
}

// renew renews an entry's lease and answers its heartbeat once the entry has the required revisions.
func (d *desk) renew(now time.Time, p *peer) {
	if !p.owed {
		return
	}
	if !d.settled && !p.hello.Held && !d.eager {
		// Only entries with a valid lease have the last live state of an earlier leader.
		p.deferred = true
		return
	}
	if p.deferred {
		p.deferred = false
		p.needCatalog, p.needLive = d.catalog, d.live.Revision()
	}
	inForce := p.catalog >= max(p.needCatalog, d.required) && p.live >= p.needLive
	if !inForce && !d.eager {
		return
	}
	if p.beatAt.Before(now.Add(-d.granter.TTL())) {
		return
	}
	if !d.isRecorded(now, p) {
		return
	}
	d.registry.Join(now, p.entry())
	p.owed = false
	d.out = append(d.out, outFrame{to: p.key, frame: down{Beat: p.beat}})
}

// isRecorded reports whether the log lists the process, else proposes it, so that a later leader knows the possible leases.
func (d *desk) isRecorded(now time.Time, p *peer) bool {
	if d.losing[p.holder] > 0 {
		return false
	}
	if !d.known[p.holder] && !d.joining[p.holder] {
		d.joining[p.holder] = true
		cmd := newCommand(now)
		cmd.Joined = []process{{p.hello.Name, p.hello.Incarnation}}
		d.proposed = append(d.proposed, proposal{cmd: cmd})
	}
	return d.known[p.holder]
}

// recorded handles the result of a command that lists or removes processes.
func (d *desk) recorded(now time.Time, cmd command, err error) {
	for _, p := range cmd.Joined {
		delete(d.joining, p.holder())
		// While a removal is in flight, the order of the two commands isn't known, so the process is listed again.
		d.known[p.holder()] = err == nil && d.losing[p.holder()] == 0
		if peer, ok := d.holders[p.holder()]; ok && err == nil {
			d.renew(now, peer)
		}
	}
	for _, p := range cmd.Lost {
		if d.losing[p.holder()]--; d.losing[p.holder()] <= 0 {
			delete(d.losing, p.holder())
		}
	}
	if cmd.Lost != nil && err != nil {
		d.lose(now, cmd.Lost)
	}
}

func (d *desk) announce(now time.Time, p *peer, f up) {
	for _, s := range f.Servers {
		// An invalid announcement is dropped; the entry that received it has told the server why.
		_ = d.registry.Announce(now, s.server())
	}
	var need []string
	for _, s := range f.Seen {
		if !d.registry.Seen(now, s.Name, s.Incarnation) {
			need = append(need, s.Name)
		}
	}
	if len(need) > 0 {
		d.out = append(d.out, outFrame{to: p.key, frame: down{Need: need}})
	}
}

// closed removes a session; the entry's lease stays valid.
func (d *desk) closed(key peerKey) {
	p, ok := d.peers[key]
	if !ok {
		return
	}
	delete(d.peers, key)
	if d.holders[p.holder] == p {
		delete(d.holders, p.holder)
	}
	if !d.granter.Live(p.beatAt, p.holder) {
		delete(d.answered, p.holder)
	}
}

// advance raises the catalog's revision.
func (d *desk) advance(revision uint64) { d.catalog = max(d.catalog, revision) }

// tick runs the leader's periodic work.
func (d *desk) tick(now time.Time) {
	if !now.Before(d.nextAt) {
		d.required, d.next, d.nextAt = d.next, d.catalog, now.Add(lagGrace)
	}
	if len(d.expected) == 0 {
		d.granter.Settle(now)
		d.suspects.Settle(now)
	}
	for _, lost := range d.registry.Tick(now) {
		holder := registrar.Holder(lost.Name, lost.Incarnation)
		d.permits.Drop(holder)
		d.suspects.Drop(holder)
		delete(d.answered, holder)
		if p, ok := d.holders[holder]; ok {
			d.resync(now, p)
		}
		delete(d.expected, holder)
		d.lose(now, []process{{lost.Name, lost.Incarnation}})
	}
	d.suspects.Expire(now)
	d.grant(now)
	d.publish(now)
	d.finishWaits(now)
}

// lose proposes that processes are lost, so that their bookings end as unknown.
func (d *desk) lose(now time.Time, list []process) {
	cmd := newCommand(now)
	cmd.Lost = list
	for _, p := range list {
		delete(d.known, p.holder())
		d.losing[p.holder()]++
	}
	d.proposed = append(d.proposed, proposal{cmd: cmd})
}

// publish adds a revision of the live state with all changes; a new leader publishes the roster only once settled.
func (d *desk) publish(now time.Time) {
	items := d.suspects.Changes(now)
	whole := false
	if d.settled || d.granter.Settled(now) {
		roster, err := d.registry.Changes()
		if err != nil {
			return
		}
		items = append(items, roster...)
		whole = !d.settled
	}
	if len(items) == 0 && !whole {
		return
	}
	revision, err := d.revisions.Next()
	if err != nil {
		return
	}
	if whole {
		err = d.live.Replace(revision, d.withSuspects(now, items))
		d.settled = true
	} else {
		err = d.live.Change(revision, items)
	}
	if err == nil {
		d.suspects.Published(revision)
	}
	if err == nil && d.settled {
		d.registry.Published(revision)
	}
}

// withSuspects adds the quarantine items published before the leader settled, without deleted ones.
func (d *desk) withSuspects(now time.Time, items []spreader.Item) []spreader.Item {
	all := append(d.suspects.All(now), items...)
	out := all[:0]
	for _, it := range all {
		if it.Value != nil {
			out = append(out, it)
		}
	}
	return out
}

// inForce reports whether every live entry has acknowledged the revisions and all other leases have expired.
func (d *desk) inForce(now time.Time, catalog, live uint64) bool {
	if d.eager {
		return true
	}
	if !d.granter.Settled(now) {
		return false
	}
	return d.registry.All(func(holder string) bool {
		p, ok := d.holders[holder]
		return ok && p.catalog >= catalog && p.live >= live
	})
}

// await sends true on done once the catalog revision is in force at every entry; done must be buffered.
func (d *desk) await(now time.Time, revision uint64, done chan<- bool) {
	d.waits = append(d.waits, wait{catalog: revision, done: done})
	d.finishWaits(now)
}

func (d *desk) finishWaits(now time.Time) {
	rest := d.waits[:0]
	for _, w := range d.waits {
		switch {
		case !d.inForce(now, w.catalog, w.live):
			rest = append(rest, w)
		case w.done != nil:
			w.done <- true
		default:
			d.answer(w.ref, answerFrame{})
		}
	}
	clear(d.waits[len(rest):])
	d.waits = rest
}

// abandon sends false to operators' waits when the replica no longer leads.
func (d *desk) abandon() {
	for _, w := range d.waits {
		if w.done != nil {
			w.done <- false
		}
	}
	d.waits = nil
}

// take returns and clears the messages to send and the commands to propose.
func (d *desk) take() ([]outFrame, []proposal) {
	out, proposed := d.out, d.proposed
	d.out, d.proposed = nil, nil
	return out, proposed
}
