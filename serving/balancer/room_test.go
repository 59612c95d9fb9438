package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

// roomLoad is a load on engines with a memory in tokens, seen by many entries that learn each other's sums late.
type roomLoad struct {
	r        *rand.Rand
	now      time.Time
	capacity int
	engines  []tracker.Instance
	entries  []*balancer.Balancer
	// reported are the entries' latest loads by engine, sums what they were told late.
	reported []map[string]balancer.Load
	running  []*roomRequest
	waiting  []*roomRequest
	held     map[string]int
	// dead are entries that have ended.
	dead map[int]bool
	// overfull is how often an engine held more than its memory in steps looks, most the most tokens that one held.
	overfull, steps, most int
	kinds                 map[string]*roomCount
}

type roomCount struct{ asked, served, refused, waited int }

// roomRequest is a request; truth is the memory that it takes in the end.
type roomRequest struct {
	kind    string
	entry   int
	req     balancer.Request
	truth   int
	took    time.Duration
	choice  balancer.Choice
	endsAt  time.Time
	retryAt time.Time
}

const (
	roomStep     = 10 * time.Millisecond
	reportEvery  = 100 * time.Millisecond
	maxRoomWait  = 1500 * time.Millisecond
	roomPoll     = 40 * time.Millisecond
	answerTokens = 66
)

// roomKinds are 612 live and 122 unhurried questions of 646 tokens and 19.6 digests of 9,190 tokens a second.
var roomKinds = []struct {
	name     string
	perSec   float64
	tokens   int
	priority int
	deadline time.Duration
	took     time.Duration
}{
	{"live", 612, 646, 0, 4 * time.Second, 400 * time.Millisecond},
	{"unhurried", 122, 646, 1, 8 * time.Second, 400 * time.Millisecond},
	{"digest", 19.6, 9190, 1, 4 * time.Second, 700 * time.Millisecond},
}

func newRoomLoad(seed uint64, engines, entries, capacity int) *roomLoad {
	l := &roomLoad{
		r: rand.New(rand.NewPCG(seed, 3)), now: start, capacity: capacity, held: make(map[string]int), dead: make(map[int]bool),
		kinds: make(map[string]*roomCount),
	}
	for _, k := range roomKinds {
		l.kinds[k.name] = &roomCount{}
	}
	for i := range engines {
		in := server(fmt.Sprintf("e%02d", i), "z")
		in.Slots = 16
		l.engines = append(l.engines, in)
	}
	for range entries {
		b := balancer.New()
		b.SetRandom(l.r.IntN)
		b.SetEntries(entries)
		b.Set(l.engines, true)
		l.entries = append(l.entries, b)
		l.reported = append(l.reported, make(map[string]balancer.Load))
	}
	l.report()
	return l
}

// report tells all entries the sums of the reports before this one.
func (l *roomLoad) report() {
	sums := make([]balancer.Load, 0, len(l.engines))
	for _, in := range l.engines {
		sum := balancer.Load{Server: in.Key.ID}
		for _, r := range l.reported {
			sum.Running += r[in.Key.ID].Running
			sum.Memory += r[in.Key.ID].Memory
		}
		sums = append(sums, sum)
	}
	for i, b := range l.entries {
		if l.dead[i] {
			continue
		}
		b.SetLoads(l.now, sums)
		for _, v := range b.Loads() {
			l.reported[i][v.Server] = v
		}
	}
}

func (l *roomLoad) kill(entry int) {
	l.dead[entry] = true
	clear(l.reported[entry])
	for _, r := range l.running {
		if r.entry == entry {
			r.endsAt = l.now
		}
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(r *roomRequest) bool { return r.entry == entry })
}

// restart restarts an engine under its ID: what ran there is lost.
func (l *roomLoad) restart(i int) {
	l.engines[i].Key.StartedMS++
	for _, b := range l.entries {
		b.Set([]tracker.Instance{l.engines[i]}, true)
	}
	for _, r := range l.running {
		if r.choice.Key.ID == l.engines[i].Key.ID {
			r.endsAt = l.now
		}
	}
}

func (l *roomLoad) run(d time.Duration, factor float64) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(roomStep)
		l.endRequests()
		for _, k := range roomKinds {
			for n := l.poisson(k.perSec * factor * roomStep.Seconds()); n > 0; n-- {
				entry := l.r.IntN(len(l.entries))
				if l.dead[entry] {
					continue
				}
				l.kinds[k.name].asked++
				answer := int(answerTokens * math.Exp(0.7*l.r.NormFloat64()))
				l.waiting = append(l.waiting, &roomRequest{
					kind: k.name, entry: entry, truth: k.tokens + answer, took: k.took, retryAt: l.now,
					req: balancer.Request{
						Service: "s", Zone: "z", Tokens: k.tokens, Memory: k.tokens + answerTokens, Capacity: l.capacity, Priority: k.priority,
						Arrived: l.now, Deadline: l.now.Add(k.deadline),
					},
				})
			}
		}
		l.waiting = slices.DeleteFunc(l.waiting, l.try)
		for _, n := range l.held {
			l.steps++
			l.most = max(l.most, n)
			if n > l.capacity {
				l.overfull++
			}
		}
		if l.now.UnixMilli()%reportEvery.Milliseconds() == 0 {
			l.report()
		}
	}
}

func (l *roomLoad) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for u := l.r.Float64(); u > p; n++ {
		u -= p
		p *= mean / float64(n+1)
	}
	return n
}

func (l *roomLoad) endRequests() {
	l.running = slices.DeleteFunc(l.running, func(r *roomRequest) bool {
		if l.now.Before(r.endsAt) {
			return false
		}
		l.held[r.choice.Key.ID] -= r.truth
		l.entries[r.entry].End(l.now, r.choice, tracker.Adapter{}, balancer.OK)
		return true
	})
}

// try tries to place a request; it reports whether the request waits no more.
func (l *roomLoad) try(r *roomRequest) bool {
	if l.now.Before(r.retryAt) {
		return false
	}
	b, count := l.entries[r.entry], l.kinds[r.kind]
	choice, status := b.Pick(l.now, r.req)
	switch {
	case status == balancer.Picked:
		r.choice, r.endsAt = choice, l.now.Add(time.Duration(float64(r.took)*(0.7+0.6*l.r.Float64())))
		l.held[choice.Key.ID] += r.truth
		l.running = append(l.running, r)
		count.served++
	case l.now.Sub(r.req.Arrived) > maxRoomWait:
		count.refused++
	default:
		if status == balancer.NoRoom && r.req.Room == nil {
			count.waited++
			r.req.Room = b.WaitForRoom(r.req)
		}
		r.retryAt = l.now.Add(roomPoll)
		return false
	}
	if r.req.Room != nil {
		b.StopWaiting("s", r.req.Room)
	}
	return true
}

func (l *roomLoad) served(kind string) float64 {
	return float64(l.kinds[kind].served) / float64(max(l.kinds[kind].asked, 1))
}

func (l *roomLoad) String() string {
	s := fmt.Sprintf("overfull %d of %d, at most %d tokens", l.overfull, l.steps, l.most)
	for _, k := range roomKinds {
		s += fmt.Sprintf(", %s %+v", k.name, *l.kinds[k.name])
	}
	return s
}

// The load: 56 engines of 16 slots and 211,700 tokens, 63 entries. There is room for everybody.
func TestNobodyWaitsWhileThereIsRoom(t *testing.T) {
	c := qt.New(t)
	l := newRoomLoad(1, 56, 63, 211_700)
	l.run(2*time.Second, 1)
	for _, k := range roomKinds {
		c.Check(l.kinds[k.name].waited+l.kinds[k.name].refused, qt.Equals, 0, qt.Commentf("%v", l))
	}
	c.Check(l.overfull, qt.Equals, 0)
}

// The load: the same requests six times as often for 2 s, at engines with a quarter of the memory, which holds five digests
// and little more. The entries learn of each other's requests 100 to 200 ms late, and still overfill engines seldom and by
// little. Digests, fourteen times as large as questions, are served nearly as often as these.
func TestBurstOverfillsFewEnginesAndStarvesNoSize(t *testing.T) {
	for seed := range uint64(2) {
		c := qt.New(t)
		l := newRoomLoad(seed, 56, 63, 52_925)
		l.run(500*time.Millisecond, 1)
		l.run(2*time.Second, 6)
		l.run(time.Second, 1)
		t.Log(l)
		c.Check(l.overfull*100 <= l.steps*3, qt.IsTrue, qt.Commentf("%d of %d: %v", l.overfull, l.steps, l))
		c.Check(l.most <= 2*52_925, qt.IsTrue, qt.Commentf("%d tokens at an engine", l.most))
		c.Check(l.kinds["digest"].waited > 0, qt.IsTrue, qt.Commentf("the load is too small to show anything: %v", l))
		c.Check(l.served("digest") >= 0.75*l.served("live"), qt.IsTrue, qt.Commentf("%v", l))
		c.Check(l.served("unhurried") >= 0.75*l.served("live"), qt.IsTrue, qt.Commentf("%v", l))
	}
}

// The load: one engine with room for 20 questions, which come from eight entries all the time, and one digest that needs all of
// it. Without a claim it would never find room.
func TestLargeRequestIsNotOvertakenForever(t *testing.T) {
	c := qt.New(t)
	const capacity = 15_000
	sum := 0
	b := balancer.New()
	b.SetEntries(8)
	other := balancer.New()
	other.SetEntries(8)
	for _, v := range []*balancer.Balancer{b, other} {
		v.Set([]tracker.Instance{server("x", "z")}, true)
	}
	type run struct {
		choice balancer.Choice
		ends   time.Time
	}
	var runs []run
	question := balancer.Request{Service: "s", Zone: "z", Memory: 700, Capacity: capacity, Arrived: start, Deadline: start.Add(time.Hour)}
	large := balancer.Request{Service: "s", Zone: "z", Memory: 13_000, Capacity: capacity, Priority: 3, Arrived: start.Add(30 * roomStep), Deadline: start.Add(30*roomStep + 4*time.Second)}
	reported := make([]int, 2)
	var placed time.Duration
	for step := range 300 {
		now := start.Add(time.Duration(step) * roomStep)
		runs = slices.DeleteFunc(runs, func(r run) bool {
			if !now.Before(r.ends) {
				other.End(now, r.choice, tracker.Adapter{}, balancer.OK)
			}
			return !now.Before(r.ends)
		})
		if step%10 == 0 {
			for i, v := range []*balancer.Balancer{b, other} {
				for _, load := range v.Loads() {
					reported[i] = load.Memory
				}
			}
			sum = reported[0] + reported[1]
			for _, v := range []*balancer.Balancer{b, other} {
				v.SetLoads(now, []balancer.Load{{Server: "x", Running: 1, Memory: sum}})
			}
		}
		// As many questions as there is room for.
		for {
			ch, status := other.Pick(now, question)
			if status != balancer.Picked {
				break
			}
			runs = append(runs, run{ch, now.Add(300 * time.Millisecond)})
		}
		if step < 30 {
			// The engine is full first.
			continue
		}
		if _, status := b.Pick(now, large); status == balancer.Picked {
			placed = now.Sub(large.Arrived)
			if large.Room != nil {
				b.StopWaiting("s", large.Room)
			}
			break
		}
		if large.Room == nil {
			large.Room = b.WaitForRoom(large)
		}
	}
	c.Check(placed > 0 && placed < 2*time.Second, qt.IsTrue, qt.Commentf("placed after %v", placed))
	b.Loads()
	c.Check(b.WaitingForRoom("s"), qt.Equals, 0)
}

// An engine restarts with its room reckoned full: the new start has all of it, also once late sums of before came in.
func TestRestartedEngineHasItsRoom(t *testing.T) {
	c := qt.New(t)
	l := newRoomLoad(3, 1, 5, 20_000)
	l.run(time.Second, 0.2)
	c.Assert(l.held["e00"] > 12_000, qt.IsTrue, qt.Commentf("%d", l.held["e00"]))
	l.waiting = nil
	l.restart(0)
	l.run(300*time.Millisecond, 0)
	req := balancer.Request{Service: "s", Zone: "z", Memory: 17_000, Capacity: 20_000, Arrived: l.now, Deadline: l.now.Add(time.Second)}
	_, status := l.entries[0].Pick(l.now, req)
	c.Check(status, qt.Equals, balancer.Picked)
}

// An entry dies with requests at all engines: what it held is free for the others after the next sums.
func TestDeadEntryGivesItsRoomBack(t *testing.T) {
	c := qt.New(t)
	l := newRoomLoad(4, 1, 2, 20_000)
	big := balancer.Request{Service: "s", Zone: "z", Memory: 17_000, Capacity: 20_000, Arrived: start, Deadline: start.Add(time.Second)}
	_, status := l.entries[0].Pick(l.now, big)
	c.Assert(status, qt.Equals, balancer.Picked)
	l.report()
	l.report()
	_, status = l.entries[1].Pick(l.now, big)
	c.Assert(status, qt.Equals, balancer.NoRoom)
	l.kill(0)
	l.report()
	_, status = l.entries[1].Pick(l.now, big)
	c.Check(status, qt.Equals, balancer.Picked)
}

// Without sums, as while there is no leader, entries don't stop: each may use its part of each engine's memory, or place one
// request there.
func TestRoomWithoutLeader(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.SetRandom(rand.New(rand.NewPCG(1, 1)).IntN)
	b.SetEntries(63)
	b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
	large := balancer.Request{Service: "s", Zone: "z", Memory: 9256, Capacity: 211_700}
	got := make(map[string]bool)
	for i := range 2 {
		ch, status := b.Pick(start.Add(time.Duration(i)*3*time.Second), large)
		c.Assert(status, qt.Equals, balancer.Picked)
		got[ch.Key.ID] = true
	}
	c.Check(got, qt.HasLen, 2)
	_, status := b.Pick(start.Add(6*time.Second), large)
	c.Check(status, qt.Equals, balancer.NoRoom)
	b = balancer.New()
	b.SetEntries(63)
	b.Set([]tracker.Instance{server("x", "z")}, true)
	for range 4 {
		_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Memory: 712, Capacity: 211_700})
		c.Check(status, qt.Equals, balancer.Picked)
	}
}

// Where the configuration names no memory, nothing is reckoned.
func TestNoRoomIsReckonedWithoutCapacity(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Tokens: 1 << 30})
	c.Check(status, qt.Equals, balancer.Picked)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Running: 1}})
}

// Some engines have no slot for a request and one has no room: it waits for room, where it may claim some, not for a slot.
func TestRequestWaitsForRoomBesideFullEngines(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("full", "z"), server("x", "z")}, true)
	b.SetLoads(start, []balancer.Load{{Server: "full", Running: 1000}, {Server: "x", Running: 1, Memory: 15_000}})
	_, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Memory: 9256, Capacity: 20_000})
	c.Check(status, qt.Equals, balancer.NoRoom)
	_, status = b.Pick(start, balancer.Request{Service: "s", Zone: "z", Memory: 700, Capacity: 20_000})
	c.Check(status, qt.Equals, balancer.Picked)
}

// A claim ends in time, and one that has drained its engine isn't held up by a request that came later and has less time.
func TestClaimIsUsedAndEnds(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.Set([]tracker.Instance{server("x", "z")}, true)
	b.SetLoads(start, []balancer.Load{{Server: "x", Running: 1, Memory: 15_000}})
	req := balancer.Request{Service: "s", Zone: "z", Memory: 9256, Capacity: 20_000, Arrived: start, Deadline: start.Add(4 * time.Second)}
	_, status := b.Pick(start, req)
	c.Assert(status, qt.Equals, balancer.NoRoom)
	req.Room = b.WaitForRoom(req)
	now := start.Add(600 * time.Millisecond)
	b.Pick(now, req)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Memory: 9256}})
	urgent := req
	urgent.Room, urgent.Arrived, urgent.Deadline = nil, now, now.Add(time.Second)
	_, status = b.Pick(now, urgent)
	c.Assert(status, qt.Equals, balancer.NoRoom)
	urgent.Room = b.WaitForRoom(urgent)
	_, status = b.Pick(now.Add(1100*time.Millisecond), req)
	c.Check(status, qt.Equals, balancer.NoRoom)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x"}}, qt.Commentf("the claim is over"))
	now = now.Add(3 * time.Second)
	b.SetLoads(now, []balancer.Load{{Server: "x", Running: 1, Memory: 15_000}})
	b.StopWaiting("s", urgent.Room)
	_, status = b.Pick(now.Add(-500*time.Millisecond), req)
	c.Check(status, qt.Equals, balancer.NoRoom)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Memory: 9256}}, qt.Commentf("the second claim"))
	urgent.Room, urgent.Arrived, urgent.Deadline = nil, now, now.Add(time.Millisecond)
	urgent.Room = b.WaitForRoom(urgent)
	b.SetLoads(now, []balancer.Load{{Server: "x", Running: 1, Memory: 8000 + 9256}})
	_, status = b.Pick(now, req)
	c.Check(status, qt.Equals, balancer.Picked)
	b.StopWaiting("s", req.Room)
	c.Check(b.Loads(), qt.DeepEquals, []balancer.Load{{Server: "x", Running: 1, Memory: 9256}}, qt.Commentf("room that is taken isn't claimed as well"))
}

// Small services were refused room at idle engines: what one entry had sent lately, times the number of entries, was held against
// them although it had ended. The load: large requests one after the other, 88 entries, two idle engines.
func TestIdleEnginesHaveRoomForRequestsInARow(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.SetRandom(rand.New(rand.NewPCG(1, 1)).IntN)
	b.SetEntries(88)
	b.Set([]tracker.Instance{server("x", "z"), server("y", "z")}, true)
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		b.SetLoads(now, []balancer.Load{{Server: "x"}, {Server: "y"}})
		ch, status := b.Pick(now, balancer.Request{Service: "s", Zone: "z", Memory: 9400, Capacity: 210_612, Arrived: now, Deadline: now.Add(5 * time.Second)})
		c.Assert(status, qt.Equals, balancer.Picked)
		b.End(now.Add(40*time.Millisecond), ch, tracker.Adapter{}, balancer.OK)
	}
}

// A quiet engine counted as one whose room nobody knows: its sum came long ago, since it didn't change.
func TestSumOfQuietEngineHoldsWhileOthersCome(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	b.SetEntries(88)
	other := server("y", "z")
	other.Service = "other"
	b.Set([]tracker.Instance{server("x", "z"), other}, true)
	b.SetLoads(start, []balancer.Load{{Server: "x"}})
	now := start.Add(3 * time.Second)
	b.SetLoads(now, []balancer.Load{{Server: "y", Running: 1}})
	for _, memory := range []int{9400, 750} {
		_, status := b.Pick(now, balancer.Request{Service: "s", Zone: "z", Memory: memory, Capacity: 210_612})
		c.Check(status, qt.Equals, balancer.Picked, qt.Commentf("%d tokens", memory))
	}
}

// Where some engine has enough room, an unreachable one was drawn all the same, as its memory was the emptiest.
func TestUnreachableEngineIsNotDrawnByItsRoom(t *testing.T) {
	c := qt.New(t)
	req := balancer.Request{Service: "s", Zone: "z", Memory: 700, Capacity: 211_700}
	for seed := range uint64(50) {
		b := balancer.New()
		b.SetRandom(rand.New(rand.NewPCG(1, seed)).IntN)
		b.SetEntries(63)
		b.Set([]tracker.Instance{server("x", "z"), server("y", "z"), server("w", "z")}, true)
		b.SetLoads(start, []balancer.Load{{Server: "x"}, {Server: "y", Memory: 40_000}, {Server: "w", Memory: 185_000}})
		onlyX := req
		onlyX.Except = map[string]bool{"y": true, "w": true}
		ch, _ := b.Pick(start, onlyX)
		b.End(start, ch, tracker.Adapter{}, balancer.Unreachable)
		ch, status := b.Pick(start, req)
		c.Assert(status, qt.Equals, balancer.Picked)
		c.Check(ch.Key.ID, qt.Equals, "y")
	}
}

// A hot adapter whose engine's memory is nearly full gets another copy, whatever its slots say.
func TestFullMemoryCountsAsHighLoad(t *testing.T) {
	c := qt.New(t)
	b := balancer.New()
	x := server("x", "z")
	x.Slots = 16
	b.Set([]tracker.Instance{x}, true)
	ch, status := b.Pick(start, balancer.Request{Service: "s", Zone: "z", Memory: 900, Capacity: 1000})
	c.Assert(status, qt.Equals, balancer.Picked)
	c.Check(ch.HighLoad, qt.IsTrue)
}
