package budgeter

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const limit = 8 << 20

var start = time.Unix(1_000_000, 0)

// Ten connections hold nearly the whole budget and stop short of their end: an ordinary small request gets room without any wait, and
// when also the reserve is used up, the one that holds most is evicted for it.
func TestSmallRequestGetsRoomBesideStoppedBodies(t *testing.T) {
	b := New(limit)
	var stopped []*Holder
	for range 10 {
		h := b.Open(start)
		d, _ := b.Take(start, h, limit*7/8/10)
		qt.Assert(t, d, qt.Equals, Granted)
		stopped = append(stopped, h)
	}
	d, evicted := b.Take(start, b.Open(start), 4<<10)
	qt.Check(t, d, qt.Equals, Granted)
	qt.Check(t, evicted, qt.IsNil)

	for b.Used()+smallBytes <= limit {
		d, _ := b.Take(start, b.Open(start), smallBytes)
		qt.Assert(t, d, qt.Equals, Granted)
	}
	h := b.Open(start)
	d, evicted = b.Take(start, h, smallBytes)
	qt.Check(t, d, qt.Equals, Wait)
	qt.Check(t, stopped, qt.Contains, evicted)
	d, again := b.Take(start, h, smallBytes)
	qt.Check(t, d, qt.Equals, Wait)
	qt.Check(t, again, qt.IsNil, qt.Commentf("the first eviction is enough"))
	d, _ = b.Take(start, evicted, 1)
	qt.Check(t, d, qt.Equals, Refused)
	b.Close(evicted)
	d, _ = b.Take(start, h, smallBytes)
	qt.Check(t, d, qt.Equals, Granted)
}

// Large bodies that arrive together are within the limits: none is evicted for another before it had its time.
func TestLargeBodiesWaitForEachOther(t *testing.T) {
	b := New(limit)
	first, second := b.Open(start), b.Open(start)
	d, _ := b.Take(start, first, 4<<20)
	qt.Assert(t, d, qt.Equals, Granted)
	d, evicted := b.Take(start, second, 4<<20)
	qt.Check(t, d, qt.Equals, Wait)
	qt.Check(t, evicted, qt.IsNil)
	now := start.Add(patience)
	d, evicted = b.Take(now, second, 4<<20)
	qt.Check(t, d, qt.Equals, Wait)
	qt.Check(t, evicted, qt.Equals, first)
	b.Close(first)
	d, _ = b.Take(now, second, 4<<20)
	qt.Check(t, d, qt.Equals, Granted)
}

// The wait for room is bounded, and a request that a server runs is never evicted.
func TestRequestsInServiceAreNotEvicted(t *testing.T) {
	b := New(limit)
	running := b.Open(start)
	d, _ := b.Take(start, running, limit-100)
	qt.Assert(t, d, qt.Equals, Wait)
	d, _ = b.Take(start, running, limit*7/8)
	qt.Assert(t, d, qt.Equals, Granted)
	b.Serve(start, running)
	h := b.Open(start)
	for now := start; now.Before(start.Add(maxWait)); now = now.Add(100 * time.Millisecond) {
		d, evicted := b.Take(now, h, 1<<20)
		qt.Assert(t, d, qt.Equals, Wait)
		qt.Assert(t, evicted, qt.IsNil)
	}
	d, _ = b.Take(start.Add(maxWait), h, 1<<20)
	qt.Check(t, d, qt.Equals, Refused)
}

// A caller that doesn't read its response costs itself: it is evicted when another one needs the room, and only then.
func TestSlowReaderIsEvictedForOthers(t *testing.T) {
	b := New(limit)
	slow := b.Open(start)
	d, _ := b.Take(start, slow, limit*7/8)
	qt.Assert(t, d, qt.Equals, Granted)
	b.Serve(start, slow)
	b.Send(start, slow)
	h := b.Open(start)
	d, evicted := b.Take(start, h, 2<<20)
	qt.Check(t, d, qt.Equals, Wait)
	qt.Check(t, evicted, qt.IsNil)
	_, evicted = b.Take(start.Add(patience), h, 2<<20)
	qt.Check(t, evicted, qt.Equals, slow)
}

// The connections that wait are bounded, as their unread bytes are memory of the machine.
func TestWaitersAreBounded(t *testing.T) {
	b := New(limit)
	running := b.Open(start)
	d, _ := b.Take(start, running, limit*7/8)
	qt.Assert(t, d, qt.Equals, Granted)
	b.Serve(start, running)
	waiting := 0
	var last *Holder
	for range 1000 {
		h := b.Open(start)
		if d, _ := b.Take(start, h, 1<<20); d == Wait {
			waiting, last = waiting+1, h
		}
	}
	qt.Check(t, waiting, qt.Equals, limit/bytesPerWaiter)
	b.Close(last)
	d, _ = b.Take(start, b.Open(start), 1<<20)
	qt.Check(t, d, qt.Equals, Wait)
}

// Whatever connections do, the budget isn't exceeded and nothing is lost.
func TestBudgetHolds(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := New(limit)
		now := start
		var open []*Holder
		for range 3000 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			if len(open) < 40 {
				open = append(open, b.Open(now))
			}
			i := r.IntN(len(open))
			switch h := open[i]; r.IntN(6) {
			case 0:
				b.Serve(now, h)
			case 1:
				b.Send(now, h)
			case 2:
				b.Release(h, r.Int64N(1<<20))
			case 3:
				b.Close(h)
				open[i] = open[len(open)-1]
				open = open[:len(open)-1]
			default:
				b.Take(now, h, r.Int64N(4<<20))
			}
			var sum, waiters int64
			for _, h := range open {
				sum += h.held
				if !h.waiting.IsZero() {
					waiters++
				}
			}
			var evicting int64
			for _, h := range open {
				if h.evicted {
					evicting += h.held
				}
			}
			if b.evicting != evicting {
				t.Fatalf("seed %d: %d bytes of evicted connections, %d counted", seed, evicting, b.evicting)
			}
			if b.Used() != sum || b.waiters != waiters || sum > limit {
				t.Fatalf("seed %d: %d bytes used, %d held, %d waiting, %d counted", seed, b.Used(), sum, waiters, b.waiters)
			}
		}
		for _, h := range open {
			b.Close(h)
		}
		qt.Assert(t, b.Used(), qt.Equals, int64(0))
	}
}
