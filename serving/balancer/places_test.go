package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// archive and desk are two plain services at half of their capacity, with far more entries than places.
func archive() site {
	return site{
		seed: 1, entries: 63, servers: 7, slots: 6, queue: 24, work: 60 * time.Millisecond, target: 300 * time.Millisecond, deadline: 4 * time.Second, attempts: 2,
		rate: func(time.Duration) float64 { return 367 },
	}
}

func desk() site {
	return site{
		seed: 1, entries: 88, servers: 3, slots: 6, queue: 24, work: 30 * time.Millisecond, target: 150 * time.Millisecond, deadline: 4 * time.Second, attempts: 2,
		rate: func(time.Duration) float64 { return 302 },
	}
}

// withShortQueues makes servers refuse what exceeds one and a half times their slots.
func withShortQueues(s site) site {
	s.queue = s.slots / 2
	return s
}

// engines are model engines whose adapters are on one to three engines each; adapter 0 is asked for six times as often.
func engines(load float64) site {
	return site{
		seed: 1, entries: 63, servers: 56, slots: 16, queue: 16, work: 500 * time.Millisecond, target: time.Second, deadline: 4 * time.Second, attempts: 2,
		adapters: 200, holders: func(a int) []int {
			out := []int{a * 5 % 56, (a*5 + 19) % 56, (a*5 + 38) % 56}
			if a > 0 {
				out = out[:1+a%3]
			}
			return out
		}, popularity: func(a int) float64 {
			if a == 0 {
				return 6
			}
			return 1
		},
		rate: func(time.Duration) float64 { return load * 56 * 16 / 0.5 },
	}
}

// The ways in which entries have contact with the leader.
var contacts = map[string]func(at time.Duration) bool{
	"leader": nil, "no leader": func(time.Duration) bool { return true },
	"leader away": func(at time.Duration) bool { return at > 3*time.Second && at < 9*time.Second },
}

// uneven makes entries' demand differ by a factor of three and servers' speeds by more than two.
func uneven(s site) site {
	s.demand = func(entry int) float64 { return float64(1 + entry%3) }
	s.speed = func(server int) float64 { return []float64{0.55, 1.3, 1, 0.8}[server%4] }
	return s
}

// The sums of loads are older than a short request takes: entries that went by them all chose the same servers, which
// refused 15 of 100 requests of this load, and twice as many on a site.
func TestFewRefusalsAtHalfLoad(t *testing.T) {
	services := map[string]site{
		"archive": archive(), "desk": desk(), "uneven archive": uneven(archive()), "uneven desk": uneven(desk()),
		"archive, short queues": withShortQueues(archive()), "desk, short queues": withShortQueues(desk()),
		"uneven archive, short queues": withShortQueues(uneven(archive())),
	}
	for service, d := range services {
		for contact, leaderless := range contacts {
			t.Run(service+", "+contact, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				d := d
				d.leaderless = leaderless
				got := simulate(d, 2*time.Second, 12*time.Second)
				t.Log(got)
				c.Check(got.rejectedShare() < 0.05, qt.IsTrue)
				c.Check(got.servedShare() > 0.99, qt.IsTrue)
				c.Check(got.leastServed() > 0.9, qt.IsTrue, qt.Commentf("no entry's callers are starved"))
			})
		}
	}
}

// At nine tenths of what the servers can do, sums of a leader that has gone must not lead all entries to the same servers.
func TestFewRefusalsBeforeNearlyFullServers(t *testing.T) {
	for service, d := range map[string]site{"archive": archive(), "desk": desk()} {
		for contact, leaderless := range contacts {
			t.Run(service+", "+contact, func(t *testing.T) {
				c := qt.New(t)
				d := d
				d.leaderless = leaderless
				most := 0.9 * float64(d.servers*d.slots) / d.work.Seconds()
				d.rate = func(time.Duration) float64 { return most }
				got := simulate(d, 2*time.Second, 7*time.Second)
				t.Log(got)
				c.Check(got.rejectedShare() < 0.05, qt.IsTrue)
				c.Check(got.servedShare() > 0.99, qt.IsTrue)
			})
		}
	}
}

// Four seconds of three times the demand are one and a half times what the servers can do.
func TestServersStayBusyInBurst(t *testing.T) {
	for service, d := range map[string]site{"archive": archive(), "desk": desk(), "uneven archive": uneven(archive()), "archive, short queues": withShortQueues(archive())} {
		for contact, leaderless := range contacts {
			t.Run(service+", "+contact, func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				d, usual := d, d.rate
				d.leaderless = leaderless
				d.rate = func(at time.Duration) float64 {
					if at >= 4*time.Second && at < 8*time.Second {
						return 3 * usual(at)
					}
					return usual(at)
				}
				during := simulate(d, 4500*time.Millisecond, 8*time.Second)
				t.Log("in the burst:", during)
				c.Check(during.utilisation() > 0.9, qt.IsTrue)
				c.Check(during.rejectedShare() < 0.4, qt.IsTrue, qt.Commentf("callers aren't sent from server to server"))
				all := simulate(d, 2*time.Second, 12*time.Second)
				t.Log("in all:", all)
				c.Check(all.servedShare() > 0.75, qt.IsTrue, qt.Commentf("servers can answer two thirds of the burst's callers"))
				after := simulate(d, 11*time.Second, 14*time.Second)
				t.Log("after it:", after)
				c.Check(after.servedShare() > 0.99, qt.IsTrue)
			})
		}
	}
}

// An entry that ends with requests at servers: its last report must not keep places taken.
func TestEndedEntryReturnsItsPlaces(t *testing.T) {
	c := qt.New(t)
	d := archive()
	d.deadAt = 6 * time.Second
	got := simulate(d, 7*time.Second, 12*time.Second)
	t.Log(got)
	c.Check(got.rejectedShare() < 0.05, qt.IsTrue)
	c.Check(got.servedShare() > 0.99, qt.IsTrue)
}

// With few entries, and where servers are few or many, the choice is as good as before.
func TestOtherSizesOfSites(t *testing.T) {
	few := archive()
	few.entries = 8
	nine := archive()
	nine.entries = 9
	streams, apart := engines(0.8), engines(0.5)
	apart.leaderless = contacts["no leader"]
	many := engines(0.7)
	many.entries, many.servers, many.slots, many.queue = 195, 56, 12, 24
	many.rate = func(time.Duration) float64 { return 0.7 * 56 * 12 / 0.5 }
	for name, d := range map[string]site{"8 entries": few, "9 entries": nine, "busy engines": streams, "engines, no leader": apart, "195 entries": many} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			got := simulate(d, time.Second, 5*time.Second)
			t.Log(got)
			c.Check(got.rejectedShare() < 0.05, qt.IsTrue)
			c.Check(got.servedShare() > 0.99, qt.IsTrue)
		})
	}
}
