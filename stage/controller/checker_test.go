package controller

import (
	"fmt"
	"strings"
	"time"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

// checker verifies the invariants at every step of the simulation.
type checker struct {
	w   *simWorld
	err error
	// onlyContaining limits the checker to failures that contain this text.
	onlyContaining  string
	scheduled       []timed[func()]
	inForceRevision uint64
	suspects        []quarantiner.Digest
	accepted        map[uint64]string
	replies         map[string]configurer.Reply
	runs            map[recorder.Key]string
	fences          map[string]uint64
	views           map[*agent]*entryView
	// orphanedPermits are the permits of processes that ended, whose loads may still run.
	orphanedPermits map[uint64]time.Time
	// granted are the permits that entries got, returnedUnused those that they returned unused.
	granted, returnedUnused map[uint64]bool
	startedAt               time.Time
}

// entryView is the state of an entry's process as last seen.
type entryView struct {
	catalog, live uint64
	owned         map[string]ownedSince
	released      map[string]uint64
	// knownSuspects counts the suspects that were found in standings.
	standings     *quarantiner.Standings
	knownSuspects int
}

type ownedSince struct {
	epoch uint64
	at    time.Time
}

func newChecker(w *simWorld) *checker {
	return &checker{
		w: w, accepted: make(map[uint64]string),
		replies: make(map[string]configurer.Reply), runs: make(map[recorder.Key]string), fences: make(map[string]uint64),
		views: make(map[*agent]*entryView), orphanedPermits: make(map[uint64]time.Time),
		granted: make(map[uint64]bool), returnedUnused: make(map[uint64]bool), startedAt: w.now,
	}
}

func (c *checker) fail(format string, args ...any) {
	err := fmt.Errorf(format, args...)
	if c.err == nil && strings.Contains(err.Error(), c.onlyContaining) {
		c.w.tracef("%v", err)
		c.err = err
	}
}

func (c *checker) view(a *agent) *entryView {
	v, ok := c.views[a]
	if !ok {
		v = &entryView{owned: make(map[string]ownedSince), released: make(map[string]uint64)}
		c.views[a] = v
	}
	return v
}

// processReplaced records that an entry's process was replaced.
func (c *checker) processReplaced(e *simEntry) {
	for a := range c.views {
		if a.name == e.name() {
			for id, until := range a.permits {
				c.orphanedPermits[id] = until
			}
			delete(c.views, a)
		}
	}
	for key := range c.w.workload.lockPending {
		c.w.workload.lockPending[key] = 0
	}
}

func (c *checker) markInForce(revision uint64) { c.inForceRevision = max(c.inForceRevision, revision) }

func (c *checker) addSuspect(d quarantiner.Digest) { c.suspects = append(c.suspects, d) }

func (c *checker) recordRelease(e *simEntry, server string) {
	if o, ok := e.agent.roster.Owner(server); ok {
		c.view(e.agent).released[server] = o.Epoch
	}
}

// checkReply checks that one change wins a revision, and that a repeated change gets its first reply.
func (c *checker) checkReply(ch configurer.Change, res result) {
	reply := *res.Reply
	reply.Repeated = false
	if first, ok := c.replies[ch.ID]; ok {
		if fmt.Sprint(first) != fmt.Sprint(reply) {
			c.fail("change %s: first answered %+v, then %+v", ch.ID, first, reply)
		}
		return
	}
	c.replies[ch.ID] = reply
	if reply.Outcome == configurer.OutcomeAccepted && len(reply.Changed) > 0 {
		if other, ok := c.accepted[ch.ExpectedRevision]; ok {
			c.fail("changes %s and %s were both accepted at revision %d", other, ch.ID, ch.ExpectedRevision)
		}
		c.accepted[ch.ExpectedRevision] = ch.ID
	}
	if reply.Outcome == configurer.OutcomeConflict && res.Winner == nil {
		c.fail("change %s: a conflict without a winner", ch.ID)
	}
}

// checkBooking checks that a booking runs at most once.
func (c *checker) checkBooking(key recorder.Key, attempt string) {
	if other, ok := c.runs[key]; ok && other != attempt {
		c.fail("booking %s runs as %s and as %s", key.Key, other, attempt)
	}
	c.runs[key] = attempt
}

// step checks the state of all entries.
func (c *checker) step() {
	now := c.w.now
	rest := c.scheduled[:0]
	for _, l := range c.scheduled {
		if l.at.After(now) {
			rest = append(rest, l)
		} else {
			l.v()
		}
	}
	c.scheduled = rest
	commanders, locks := make(map[string]string), make(map[quarantiner.Digest]string)
	for _, e := range c.w.entries {
		if !e.alive() {
			continue
		}
		c.checkMonotonic(e)
		if e.agent.lease.Held(now) {
			c.checkInForce(e)
			c.checkOwners(e, commanders)
			for d := range e.agent.locks {
				if other, ok := locks[d]; ok {
					c.fail("lock %x held by %s and %s", d[:2], other, e.name())
				}
				locks[d] = e.name()
			}
		}
	}
	c.checkPermits()
}

// checkMonotonic checks that no entry's revisions go back, nor start below those in force before.
func (c *checker) checkMonotonic(e *simEntry) {
	v := c.view(e.agent)
	catalog, live := e.agent.catalog.Revision(), e.agent.roster.Revision()
	if catalog < v.catalog || live < v.live {
		c.fail("%s went back: catalog %d to %d, live %d to %d", e.name(), v.catalog, catalog, v.live, live)
	}
	if catalog > 0 && catalog < e.inForceAtStart {
		c.fail("%s started with catalog %d after %d was in force", e.name(), catalog, e.inForceAtStart)
	}
	v.catalog, v.live = catalog, live
}

// checkInForce checks that an entry with a lease has what was reported as in force everywhere.
func (c *checker) checkInForce(e *simEntry) {
	if got := e.agent.catalog.Revision(); got < c.inForceRevision {
		c.fail("%s holds a lease with catalog %d though %d was declared in force", e.name(), got, c.inForceRevision)
	}
	v := c.view(e.agent)
	if v.standings != e.agent.standings {
		v.standings, v.knownSuspects = e.agent.standings, 0
	}
	for _, d := range c.suspects[v.knownSuspects:] {
		if e.agent.standings.Of(d) == quarantiner.Clear {
			c.fail("%s holds a lease and does not have suspect %x", e.name(), d[:1])
		}
	}
	v.knownSuspects = len(c.suspects)
}

// checkOwners checks that one entry at a time may command a server, under epochs that never decrease.
func (c *checker) checkOwners(e *simEntry, commanders map[string]string) {
	v, now := c.view(e.agent), c.w.now
	e.agent.roster.Owners(func(server string, o registrar.Owner) {
		if o.Entry != e.name() || o.Addr != e.agent.addr || v.released[server] == o.Epoch {
			return
		}
		if v.owned[server].epoch != o.Epoch {
			v.owned[server] = ownedSince{o.Epoch, now}
		}
		if now.Before(v.owned[server].at.Add(o.OrderAfter)) {
			return
		}
		if other, ok := commanders[server]; ok {
			c.fail("%s and %s both command %s", other, e.name(), server)
		}
		commanders[server] = e.name()
		if o.Epoch < c.fences[server] {
			c.fail("%s commands %s under epoch %d after %d", e.name(), server, o.Epoch, c.fences[server])
		}
		c.fences[server] = o.Epoch
	})
}

// checkPermits checks that the loads that may be running stay within the store's limit.
func (c *checker) checkPermits() {
	n := 0
	count := func(until time.Time) {
		if c.w.now.Before(until) {
			n++
		}
	}
	for _, until := range c.orphanedPermits {
		count(until)
	}
	for _, e := range c.w.entries {
		for _, until := range e.agent.permits {
			count(until)
		}
	}
	if n > simParallel {
		c.fail("%d loads may be running, the store allows %d", n, simParallel)
	}
}

// checkGranted checks that the permits so far don't exceed the store's rate since the start, plus one that the first leader
// starts with and those that were returned unused, each once.
func (c *checker) checkGranted(id uint64) {
	c.granted[id] = true
	allowed := 1 + simRate*c.w.now.Sub(c.startedAt).Seconds() + float64(len(c.returnedUnused))
	if n := float64(len(c.granted)); n > allowed {
		c.fail("%v loads were permitted, the store's rate allows %.1f", n, allowed)
	}
}

// recordReturn records a returned permit, also one that its entry could no longer use.
func (c *checker) recordReturn(id uint64, unused bool) {
	if unused {
		c.returnedUnused[id] = true
	}
}

// checkRecovered checks that everything works again after the last fault.
func (c *checker) checkRecovered() {
	if c.w.quorum.leader < 0 {
		c.fail("no leader after recovery")
		return
	}
	revision := c.w.replicas[c.w.quorum.leader].hub.machine.catalogRevision()
	for _, e := range c.w.entries {
		if !e.agent.lease.Held(c.w.now) {
			c.fail("%s has no lease after recovery", e.name())
		}
		if e.agent.catalog.Revision() != revision {
			c.fail("%s has catalog %d after recovery, not %d", e.name(), e.agent.catalog.Revision(), revision)
		}
		for i := range simServers {
			if _, ok := e.agent.roster.Server(fmt.Sprintf("engine-%d", i)); !ok {
				c.fail("%s does not list engine-%d after recovery", e.name(), i)
			}
		}
	}
}
