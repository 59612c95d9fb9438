package balancer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

// newCrowded returns the balancer of one of twenty entries before servers x and y.
func newCrowded() *balancer.Balancer {
	b := balancer.New()
	b.SetEntries(20)
	b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
	return b
}

var plain = balancer.Request{Service: "s", Zone: "z"}

// attempt picks a server and ends the attempt 20 ms later.
func attempt(c *qt.C, b *balancer.Balancer, now time.Time, r balancer.Result) {
	ch, status := b.Pick(now, plain)
	c.Assert(status, qt.Equals, balancer.Picked)
	b.End(now.Add(20*time.Millisecond), ch, plain.Adapter, r)
}

// admittedShare makes 200 requests without counting them as answered or refused.
func admittedShare(b *balancer.Balancer, now time.Time) float64 {
	n := 0
	for range 200 {
		if b.Admit(now, plain).Admitted {
			n++
		}
	}
	return float64(n) / 200
}

func TestAdmittedShareFollowsRefusals(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	now := start
	c.Check(admittedShare(b, now), qt.Equals, 1.0)
	for i := range 100 {
		now = now.Add(50 * time.Millisecond)
		r := balancer.OK
		if i%2 == 0 {
			r = balancer.Rejected
		}
		attempt(c, b, now, r)
		b.Admit(now, plain)
	}
	c.Check(admittedShare(b, now) < 0.5, qt.IsTrue, qt.Commentf("half of the requests were refused for 5 s"))
	refused := balancer.Admission{Admitted: true}
	for refused.Admitted {
		refused = b.Admit(now, plain)
	}
	c.Check(refused.Share < 0.5, qt.IsTrue)
	c.Check(refused.RetryAfter >= time.Second, qt.IsTrue, qt.Commentf("%v", refused.RetryAfter))
	for range 60 {
		now = now.Add(50 * time.Millisecond)
		attempt(c, b, now, balancer.OK)
		b.Admit(now, plain)
	}
	c.Check(admittedShare(b, now), qt.Equals, 1.0, qt.Commentf("servers have refused nothing for 3 s"))
}

// A few refusals among few requests are chance; entries with few requests of their own go by what others were refused.
func TestFewRefusalsRefuseNobody(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		r := balancer.OK
		if i%20 == 19 {
			r = balancer.Rejected
		}
		attempt(c, b, now, r)
		c.Check(b.Admit(now, plain).Share, qt.Equals, 1.0)
	}
}

func TestAllEntriesLearnOfRefusals(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	// Twenty refusals beside four busy slots at each server.
	full := []balancer.Load{{Server: "x", Running: 6, Refusals: 20}, {Server: "y", Running: 6, Refusals: 20}}
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		b.SetLoads(now, full)
		b.Admit(now, plain)
	}
	c.Check(b.Admit(now, plain).Share < 0.8, qt.IsTrue)
	free := []balancer.Load{{Server: "x", Running: 1, Refusals: 20}, {Server: "y", Running: 1, Refusals: 20}}
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		b.SetLoads(now, free)
		b.Admit(now, plain)
	}
	c.Check(b.Admit(now, plain).Share, qt.Equals, 1.0, qt.Commentf("nothing is refused while slots are free"))
}

func TestOnlyPlainServicesOfManyEntriesLimitAdmission(t *testing.T) {
	for name, tt := range map[string]struct {
		entries int
		req     balancer.Request
	}{
		"few entries": {8, plain}, "engines": {20, balancer.Request{Service: "s", Zone: "z", Adapter: adapter}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newCrowded()
			b.SetEntries(tt.entries)
			b.AddResident("x", adapter, 1)
			for i := range 50 {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				ch, status := b.Pick(now, tt.req)
				c.Assert(status, qt.Equals, balancer.Picked)
				b.End(now, ch, tt.req.Adapter, balancer.Rejected)
				c.Check(b.Admit(now, tt.req), qt.Equals, balancer.Admission{Admitted: true, Share: 1})
			}
		})
	}
}

func TestRetryAfterIsSpreadWithinCallersTime(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	req := plain
	req.Deadline = start.Add(1200 * time.Millisecond)
	seen := make(map[string]bool)
	for range 100 {
		v := b.RetryAfter(start, req, time.Second)
		c.Check(v >= 200*time.Millisecond && v <= 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", v))
		seen[fmt.Sprintf("%.2f", v.Seconds())] = true
	}
	c.Check(len(seen) > 10, qt.IsTrue)
	b.SetEntries(3)
	c.Check(b.RetryAfter(start, req, time.Second), qt.Equals, time.Second)
}

// Entries without load of their own at a server: they still report that it refused them, and that this is over.
func TestRefusalsAreReportedWhileTheyAreRecent(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	b.Remove([]string{"y"})
	attempt(c, b, start, balancer.Rejected)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Refusals: 1}})
	c.Check(b.Loads(), qt.HasLen, 0)
	b.SetLoads(start.Add(time.Second), nil)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}})
}

// A full server may fail as well: its refusals were taken for sound answers.
func TestRefusalIsNoSoundAnswer(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
	attempt(c, b, start, balancer.Failed)
	for range 20 {
		ch, _ := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Except: map[string]bool{"y": true}})
		c.Assert(ch.Key.ID, qt.Equals, "x")
		b.End(start, ch, tracker.Adapter{}, balancer.Rejected)
	}
	ch, _ := b.Pick(start, plain)
	c.Check(ch.Key.ID, qt.Equals, "y")
}

// Routes that were added with the highest priority were refused as often as all others of a full service.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	full := []balancer.Load{{Server: "x", Running: 6, Refusals: 20}, {Server: "y", Running: 6, Refusals: 20}}
	urgent, other := plain, plain
	other.Priority = 2
	asked, admitted := make(map[int]float64), make(map[int]float64)
	share := 0.0
	const rounds = 4000
	for i := range rounds {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		b.SetLoads(now, full)
		ch, status := b.Pick(now, plain)
		c.Assert(status, qt.Equals, balancer.Picked)
		// Servers refuse more than half of what is admitted at first, and few once the admitted share has fallen.
		r := balancer.OK
		if float64(i%10) < 10*(1-min(0.3/max(share, 0.05), 1)) {
			r = balancer.Rejected
		}
		b.End(now, ch, plain.Adapter, r)
		req := other
		if i%10 == 0 {
			req = urgent
		}
		a := b.Admit(now, req)
		share = a.Share
		if i < rounds/10 {
			continue
		}
		asked[req.Priority]++
		if a.Admitted {
			admitted[req.Priority]++
		}
	}
	all := (admitted[0] + admitted[2]) / (asked[0] + asked[2])
	c.Check(all > 0.1 && all < 0.5, qt.IsTrue, qt.Commentf("%.2f of all are admitted", all))
	c.Check(admitted[0]/asked[0] > 0.9, qt.IsTrue, qt.Commentf("%.2f of the urgent ones are admitted", admitted[0]/asked[0]))
	c.Check(admitted[2]/asked[2] > all/2, qt.IsTrue, qt.Commentf("%.2f of the others are admitted, %.2f of all", admitted[2]/asked[2], all))
}

// Entries whose servers were full by the sums of loads refused nearly all requests for lack of a place, and admitted the next ones all
// the same, whatever their priority.
func TestRequestsWithoutPlaceLowerAdmittedShare(t *testing.T) {
	c := qt.New(t)
	b := newCrowded()
	full := []balancer.Load{{Server: "x", Running: 40}, {Server: "y", Running: 40}}
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		b.SetLoads(now, full)
		if !b.Admit(now, plain).Admitted {
			continue
		}
		_, status := b.Pick(now, plain)
		c.Assert(status, qt.Equals, balancer.LimitReached)
		b.CountUnplaced(now, plain)
	}
	c.Check(b.Admit(now, plain).Share < 0.2, qt.IsTrue, qt.Commentf("no request found a place for 5 s"))
}
