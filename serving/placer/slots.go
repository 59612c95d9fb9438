package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingstage.org/serving/configurer"
)

// State is the state of an adapter's version on a server.
type State int

// The states of a slot.
const (
	// Absent means that the server doesn't hold the adapter.
	Absent State = iota
	// Loading means that a load order is in flight.
	Loading
	// Resident means that the server confirmed that the adapter is loaded.
	Resident
	// Unloading means that an unload order is in flight; no request may be sent.
	Unloading
	// Lost means that the server doesn't hold an adapter that is still pinned; its last unpin removes it.
	Lost
)

// Rule is the rule by which victims are chosen for eviction.
type Rule int

// The rules for victims.
const (
	// ByRate evicts the adapter with the lowest decayed rate of use.
	ByRate Rule = iota
	// ByRecency evicts the least recently used adapter, as a baseline for comparisons.
	ByRecency
)

// RateHalfLife is the half-life of a use in the rate of use.
const RateHalfLife = 2 * time.Minute

// BusyWait is how long an adapter that the server refused to unload isn't a victim again.
const BusyWait = 500 * time.Millisecond

// pastSize is the number of adapters without a slot whose rates are kept.
const pastSize = 512

// usage is a decayed rate of use and when it was updated.
type usage struct {
	rate float64
	used time.Time
}

type slot struct {
	state     State
	order     uint64
	since     time.Time
	pins      int
	inherited bool
	draining  bool
	busyUntil time.Time
	usage
}

// Slots tracks one server's adapters.
type Slots struct {
	size int
	rule Rule
	m    map[configurer.Target]*slot
	// past keeps the rates of adapters that aren't loaded.
	past map[configurer.Target]usage
	// free disables the check of pins, so that tests can show that it is needed.
	free bool
}

// New returns an empty table for a server with size slots.
func New(size int, rule Rule) *Slots {
	return &Slots{size: size, rule: rule, m: make(map[configurer.Target]*slot, size), past: make(map[configurer.Target]usage)}
}

// Resize changes the number of slots.
func (s *Slots) Resize(size int) { s.size = size }

// IgnorePins disables the protection of pinned adapters, so that a test can show that the checker detects it.
func (s *Slots) IgnorePins() { s.free = true }

// Reset replaces the table with what the server reports; pins of attempts and orders in flight stay.
func (s *Slots) Reset(now time.Time, residents, pinned []configurer.Target) {
	old := s.m
	s.m = make(map[configurer.Target]*slot, s.size)
	for t, sl := range old {
		switch {
		case sl.state == Loading || sl.state == Unloading:
			s.m[t] = sl
		case sl.pins > 0:
			s.m[t] = &slot{state: Lost, pins: sl.pins, usage: sl.usage}
		}
	}
	for _, t := range residents {
		sl := s.m[t]
		if sl == nil {
			sl = &slot{usage: usage{used: now}}
			s.m[t] = sl
		}
		if sl.state == Lost || sl.state == Absent {
			sl.state = Resident
		}
	}
	for _, t := range pinned {
		sl := s.m[t]
		if sl == nil {
			sl = &slot{state: Lost, usage: usage{used: now}}
			s.m[t] = sl
		}
		sl.inherited = true
	}
}

// State returns the state of a target.
func (s *Slots) State(t configurer.Target) State {
	if sl, ok := s.m[t]; ok {
		return sl.state
	}
	return Absent
}

// CanServe reports whether a request for the target may be sent now.
func (s *Slots) CanServe(t configurer.Target) bool {
	sl, ok := s.m[t]
	return ok && sl.state == Resident && !sl.draining
}

// Use counts a use of the target, loaded or not.
func (s *Slots) Use(now time.Time, t configurer.Target) {
	if sl, ok := s.m[t]; ok {
		sl.count(now)
		return
	}
	if len(s.past) >= pastSize {
		s.forgetPast(now)
	}
	u := s.past[t]
	u.count(now)
	s.past[t] = u
}

// Rate returns the decayed rate of use of a target.
func (s *Slots) Rate(now time.Time, t configurer.Target) float64 {
	if sl, ok := s.m[t]; ok {
		return sl.rateAt(now)
	}
	u := s.past[t]
	return u.rateAt(now)
}

// IsWorth reports whether the target's rate is at least the victim's or, without a victim, that of any adapter not inherited.
func (s *Slots) IsWorth(now time.Time, t configurer.Target) bool {
	if s.HasRoom() {
		return true
	}
	if v, ok := s.Victim(now, func(configurer.Target) bool { return false }); ok {
		return s.Rate(now, v) <= s.Rate(now, t)
	}
	rate := s.Rate(now, t)
	for _, sl := range s.m {
		if sl.state == Resident && !sl.inherited && sl.rateAt(now) <= rate {
			return true
		}
	}
	return false
}

// Pin protects a target from eviction until Unpin.
func (s *Slots) Pin(t configurer.Target) {
	if sl, ok := s.m[t]; ok {
		sl.pins++
	}
}

// Unpin ends one pin.
func (s *Slots) Unpin(t configurer.Target) {
	sl, ok := s.m[t]
	if !ok || sl.pins == 0 {
		return
	}
	sl.pins--
	s.forget(t, sl)
}

// Disinherit ends the pin of the last owner's requests.
func (s *Slots) Disinherit(t configurer.Target) {
	if sl, ok := s.m[t]; ok {
		sl.inherited = false
		s.forget(t, sl)
	}
}

// Missing records that the server reported that it doesn't hold the target.
func (s *Slots) Missing(t configurer.Target) {
	sl, ok := s.m[t]
	if !ok || sl.state == Loading {
		return
	}
	sl.state = Lost
	s.forget(t, sl)
}

// Adopt adds adapters that the server reports and that the table doesn't hold.
func (s *Slots) Adopt(now time.Time, residents []configurer.Target) {
	for _, t := range residents {
		if s.m[t] == nil {
			s.m[t] = &slot{state: Resident, usage: usage{used: now}}
		}
	}
}

// HasRoom reports whether another adapter can be loaded without an eviction.
func (s *Slots) HasRoom() bool { return s.held() < s.size }

// BeginLoad records a load order, which takes a slot.
func (s *Slots) BeginLoad(now time.Time, t configurer.Target, order uint64) {
	u := usage{rate: s.Rate(now, t), used: now}
	pins := 0
	if sl, ok := s.m[t]; ok {
		pins = sl.pins
	}
	delete(s.past, t)
	s.m[t] = &slot{state: Loading, order: order, since: now, usage: u, pins: pins}
}

// EndLoad records a load's result and reports whether the order was the one in flight.
func (s *Slots) EndLoad(now time.Time, t configurer.Target, order uint64, ok bool) bool {
	sl := s.m[t]
	if sl == nil || sl.state != Loading || order != 0 && order != sl.order {
		return false
	}
	if ok {
		sl.state, sl.since = Resident, now
		return true
	}
	sl.state = Lost
	s.forget(t, sl)
	return true
}

// BeginUnload records an unload order.
func (s *Slots) BeginUnload(now time.Time, t configurer.Target, order uint64) {
	if sl, ok := s.m[t]; ok {
		sl.state, sl.order, sl.since = Unloading, order, now
	}
}

// EndUnload records an unload's result and reports whether the order was the one in flight; a refused one leaves the adapter resident.
func (s *Slots) EndUnload(now time.Time, t configurer.Target, order uint64, ok bool) bool {
	sl := s.m[t]
	if sl == nil || sl.state != Unloading || order != 0 && order != sl.order {
		return false
	}
	if !ok {
		sl.state, sl.since, sl.draining = Resident, now, false
		sl.busyUntil = now.Add(BusyWait)
		return true
	}
	sl.state = Lost
	s.forget(t, sl)
	return true
}

// Victim returns the adapter to evict, never a pinned one; keep protects targets of queued work.
func (s *Slots) Victim(now time.Time, keep func(configurer.Target) bool) (configurer.Target, bool) {
	return s.worst(now, func(t configurer.Target, sl *slot) bool {
		return sl.state == Resident && (s.free || sl.pins == 0 && !sl.inherited) && !now.Before(sl.busyUntil) && (sl.draining || !keep(t))
	})
}

// Drain stops new sends to the least used adapter, so that its slot becomes free, and reports whether there is one.
func (s *Slots) Drain(now time.Time, keep func(configurer.Target) bool) bool {
	for _, sl := range s.m {
		if sl.draining {
			return true
		}
	}
	t, ok := s.worst(now, func(t configurer.Target, sl *slot) bool {
		return sl.state == Resident && !sl.inherited && !keep(t)
	})
	if ok {
		s.m[t].draining = true
	}
	return ok
}

// EndDrain allows sends to every resident adapter again.
func (s *Slots) EndDrain() {
	for _, sl := range s.m {
		sl.draining = false
	}
}

// Stuck returns the unpinned targets that have been in the state for at least the bound, sorted.
func (s *Slots) Stuck(now time.Time, state State, bound time.Duration) []configurer.Target {
	var out []configurer.Target
	for t, sl := range s.m {
		if sl.state == state && sl.pins == 0 && now.Sub(sl.since) >= bound {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

// Count returns the number of slots in a state.
func (s *Slots) Count(state State) int {
	n := 0
	for _, sl := range s.m {
		if sl.state == state {
			n++
		}
	}
	return n
}

// Pins returns the number of pins, an inherited one counted as one.
func (s *Slots) Pins() int {
	n := 0
	for _, sl := range s.m {
		n += sl.pins
		if sl.inherited {
			n++
		}
	}
	return n
}

// Pinned returns the pinned targets, sorted.
func (s *Slots) Pinned() []configurer.Target {
	var out []configurer.Target
	for t, sl := range s.m {
		if sl.pins > 0 || sl.inherited {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

func (s *Slots) held() int {
	n := 0
	for _, sl := range s.m {
		if sl.state != Lost {
			n++
		}
	}
	return n
}

// forget drops a lost slot once nothing pins it.
func (s *Slots) forget(t configurer.Target, sl *slot) {
	if sl.state == Lost && sl.pins == 0 && !sl.inherited {
		delete(s.m, t)
		s.past[t] = sl.usage
	}
}

// forgetPast drops the adapters without a slot whose rate isn't above the mean.
func (s *Slots) forgetPast(now time.Time) {
	sum := 0.0
	for _, u := range s.past {
		sum += u.rateAt(now)
	}
	limit := sum / float64(len(s.past))
	for t, u := range s.past {
		if u.rateAt(now) <= limit {
			delete(s.past, t)
		}
	}
}

func (s *Slots) worst(now time.Time, may func(configurer.Target, *slot) bool) (configurer.Target, bool) {
	var best configurer.Target
	var bestSlot *slot
	for t, sl := range s.m {
		if may(t, sl) && (bestSlot == nil || s.isWorse(now, t, sl, best, bestSlot)) {
			best, bestSlot = t, sl
		}
	}
	return best, bestSlot != nil
}

func (s *Slots) isWorse(now time.Time, t configurer.Target, sl *slot, u configurer.Target, other *slot) bool {
	if sl.draining != other.draining {
		return sl.draining
	}
	if s.rule == ByRate {
		if a, b := sl.rateAt(now), other.rateAt(now); math.Abs(a-b) > rateEqual {
			return a < b
		}
	}
	if !sl.used.Equal(other.used) {
		return sl.used.Before(other.used)
	}
	return byName(t, u) < 0
}

// rateEqual is the largest difference in rate at which recency decides.
const rateEqual = 1e-9

func (u *usage) rateAt(now time.Time) float64 {
	age := now.Sub(u.used)
	if age <= 0 {
		return u.rate
	}
	return u.rate * math.Exp2(-age.Seconds()/RateHalfLife.Seconds())
}

func (u *usage) count(now time.Time) {
	u.rate = u.rateAt(now) + 1
	u.used = now
}

func byName(a, b configurer.Target) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
