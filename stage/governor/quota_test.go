package governor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
)

var testQuotaBounds = limiter.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 100_000}

// newQuotaFleet returns a fleet whose document limits one account, and whose pool has had the time to fill up.
func newQuotaFleet(c *qt.C, zones, perZone int) *fleet {
	f := newFleet(c, zones, perZone)
	// The leader's own relay reports at the fleet's time.
	f.hub.relay.setUpstream(func(up UpMessage) bool {
		f.hub.applyReport(f.now, f.hub.ownSession, up)
		return true
	})
	f.limitAccount(c, 0)
	f.wait(5 * time.Second)
	return f
}

// limitAccount makes the leader's quotas begin anew, with the number of entries that the last leader announced.
func (f *fleet) limitAccount(c *qt.C, entries int) {
	table, err := matcher.New(1, nil, nil, matcher.Limits{}, matcher.Account{Name: "a", Quota: matcher.Quota{Rate: 10_000, Burst: 10_000, Unit: matcher.Tokens}})
	c.Assert(err, qt.IsNil)
	f.hub.leader.quotas = newLeaderQuotas(f.now, testQuotaBounds, table, entries)
}

// wait lets a time pass in steps, with a sign of life of each entry and relay at each step.
func (f *fleet) wait(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.live()
		f.step(50 * time.Millisecond)
	}
}

func (f *fleet) live() {
	for _, s := range f.relaySessions {
		s.lastReceived = f.now
	}
	for _, r := range f.relays {
		for s := range r.sessions {
			s.lastReceived = f.now
		}
		r.tick(f.now)
	}
}

// received returns the quota updates that are queued for an entry.
func received(c *qt.C, s *session) []QuotaUpdate {
	var out []QuotaUpdate
	for len(s.queue) > 0 {
		data := <-s.queue
		s.queuedBytes.Add(-int64(len(data)))
		var d DownMessage
		c.Assert(encoder.Unmarshal(data, &d), qt.IsNil)
		message, err := decompress(&d)
		c.Assert(err, qt.IsNil)
		if message.Quotas != nil {
			out = append(out, *message.Quotas)
		}
	}
	return out
}

// anySession returns one of a relay's sessions.
func anySession(r *relay) *session {
	for s := range r.sessions {
		return s
	}
	return nil
}

// exchange delivers messages of the leader and relays without emptying the entries' queues.
func (f *fleet) exchange() {
	f.live()
	f.now = f.now.Add(50 * time.Millisecond)
	for _, r := range f.relays {
		r.sendReport(f.now)
	}
	f.hub.flush(f.now)
	for i, peer := range f.relaySessions {
		for len(peer.queue) > 0 {
			data := <-peer.queue
			peer.queuedBytes.Add(-int64(len(data)))
			var d DownMessage
			f.c.Assert(encoder.Unmarshal(data, &d), qt.IsNil)
			message, err := decompress(&d)
			f.c.Assert(err, qt.IsNil)
			f.relays[i].apply(message)
		}
		f.relays[i].sendUpdate(f.now)
	}
}

// An entry gets the additions that answer its own demands, and no other entry gets them.
func TestAdditionsReachOnlyTheirEntry(t *testing.T) {
	c := qt.New(t)
	f := newQuotaFleet(c, 3, 4)
	for i, r := range f.relays {
		s := anySession(r)
		r.receive(s, UpMessage{Quotas: &QuotaReport{Demands: []QuotaDemand{{Account: "a", Seq: uint32(i + 1), Level: -5, Want: 7000, Must: 5}}}})
		f.exchange()
		got := received(c, s)
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0], qt.DeepEquals, QuotaUpdate{Additions: []QuotaAddition{{Account: "a", Seq: uint32(i + 1), Thousandths: 7000}}})
		for _, other := range f.relays {
			for s := range other.sessions {
				c.Check(received(c, s), qt.HasLen, 0)
			}
		}
	}
}

// An entry that joins learns the number of entries, which falls only after the leases of those that are gone have ended.
func TestAnnouncedNumberOfEntries(t *testing.T) {
	c := qt.New(t)
	f := newQuotaFleet(c, 3, 4)
	announced := func() int {
		s := &session{queue: make(chan encoder.Raw, 9), hello: &Hello{Node: "late"}, lastReceived: f.now}
		r := f.relays[0]
		r.addSession(f.now, s)
		defer r.closeSession(s, endBroken)
		got := received(c, s)
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Epoch, qt.Equals, f.hub.leader.leaderEpoch)
		return got[0].Entries
	}
	c.Check(announced(), qt.Equals, 12)
	for range 2 {
		f.relays[0].closeSession(anySession(f.relays[0]), endBroken)
	}
	f.wait(6 * time.Second)
	c.Check(announced(), qt.Equals, 12)
	f.wait(2 * time.Second)
	c.Check(announced(), qt.Equals, 10)
}

// The leader that follows amid grants gives out nothing of what the last one had, and counts the entries that the last one
// knew, also those that come back later or only report their number.
func TestNextLeaderBeginsWithEmptyPool(t *testing.T) {
	c := qt.New(t)
	f := newQuotaFleet(c, 3, 4)
	r := f.relays[0]
	s := anySession(r)
	f.limitAccount(c, r.view.quotas.Entries)
	f.hub.leader.leaderEpoch++
	r.receive(s, UpMessage{Quotas: &QuotaReport{Demands: []QuotaDemand{{Account: "a", Seq: 1, Want: 9_000_000, Must: 9_000_000}}}})
	f.exchange()
	for _, u := range received(c, s) {
		c.Check(u.Additions, qt.HasLen, 0)
	}
	r.receive(s, UpMessage{Quotas: &QuotaReport{Entries: 40}})
	f.exchange()
	f.exchange()
	c.Check(r.view.quotas.Entries, qt.Equals, 40)
	c.Check(r.view.quotas.Epoch, qt.Equals, f.hub.leader.leaderEpoch)
}

// An entry that dies with a grant, or amid its demand, leaves nothing that others get twice.
func TestEntryDiesWithGrant(t *testing.T) {
	c := qt.New(t)
	f := newQuotaFleet(c, 2, 4)
	r := f.relays[0]
	dead := anySession(r)
	pool := f.hub.leader.quotas.pool
	ask := func(s *session, seq uint32) {
		r.receive(s, UpMessage{Quotas: &QuotaReport{Demands: []QuotaDemand{{Account: "a", Seq: seq, Want: 3_000_000, Must: 3_000_000}}}})
	}
	ask(dead, 1)
	f.exchange()
	c.Assert(pool.TakeStatus(), qt.HasLen, 1)
	ask(dead, 2)
	f.now = f.now.Add(50 * time.Millisecond)
	r.sendReport(f.now)
	r.closeSession(dead, endBroken)
	f.exchange()
	other := anySession(r)
	c.Check(received(c, other), qt.HasLen, 0)
	ask(other, 1)
	f.exchange()
	got := received(c, other)
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Additions, qt.DeepEquals, []QuotaAddition{{Account: "a", Seq: 1, Thousandths: 3_000_000}})
}

// Without limited accounts nothing about quotas is sent.
func TestNoQuotaMessagesWithoutLimits(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, 4)
	f.wait(time.Second)
	f.exchange()
	for _, r := range f.relays {
		c.Check(r.quotas.report(), qt.IsNil)
		c.Check(r.view.quotas, qt.DeepEquals, QuotaUpdate{})
		for s := range r.sessions {
			c.Check(received(c, s), qt.HasLen, 0)
		}
	}
	c.Check(f.hub.leader.quotas.entries, qt.Equals, 0)
}

// What an entry sends and gets about quotas with 63 and 320 entries: some reports a second, of a few dozen bytes each.
func TestSizeOfQuotaMessages(t *testing.T) {
	c := qt.New(t)
	for _, demands := range []int{1, 4, 16} {
		up, down := UpMessage{Quotas: &QuotaReport{}}, DownMessage{Quotas: &QuotaUpdate{}}
		for i := range demands {
			account := fmt.Sprintf("account-%02d", i)
			up.Quotas.Demands = append(up.Quotas.Demands, QuotaDemand{Account: account, Seq: 70_000, Level: -612_345, Want: 1_131_345, Must: 612_345})
			down.Quotas.Additions = append(down.Quotas.Additions, QuotaAddition{Account: account, Seq: 70_000, Thousandths: 1_131_345})
		}
		sent, err := encoder.Marshal(&up)
		c.Assert(err, qt.IsNil)
		answered, err := encoder.Marshal(&down)
		c.Assert(err, qt.IsNil)
		t.Logf("%d accounts: %d bytes up, %d bytes down", demands, len(sent), len(answered))
		c.Check(len(sent) <= 16+44*demands, qt.IsTrue)
		c.Check(len(answered) <= 16+32*demands, qt.IsTrue)
	}
}
