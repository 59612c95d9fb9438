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

// UnloadRetryDelay is how long an adapter that the server refused to unload isn't a victim again.
const UnloadRetryDelay = 500 * time.Millisecond

// maxUnloaded is the number of adapters without a slot whose rates are kept.
const maxUnloaded = 512

// usage is a decayed rate of use and when it was updated.
type usage struct {
	rate      float64
	updatedAt time.Time
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
	size  int
	rule  Rule
	slots map[configurer.Target]*slot
	// unloadedUsage keeps the rates of adapters that aren't loaded.
	unloadedUsage map[configurer.Target]usage
	// ignorePins disables the check of pins, so that tests can show that it is needed.
	ignorePins bool
}

// New returns an empty table for a server with size slots.
func New(size int, rule Rule) *Slots {
	return &Slots{size: size, rule: rule, slots: make(map[configurer.Target]*slot, size), unloadedUsage: make(map[configurer.Target]usage)}
}

// Resize changes the number of slots.
func (s *Slots) Resize(size int) { s.size = size }

// IgnorePins disables the protection of pinned adapters, so that a test can show that the checker detects it.
func (s *Slots) IgnorePins() { s.ignorePins = true }

// Reset replaces the table with what the server reports; pins of attempts and orders in flight stay.
func (s *Slots) Reset(now time.Time, residents, pinned []configurer.Target) {
	old := s.slots
	s.slots = make(map[configurer.Target]*slot, s.size)
	for t, sl := range old {
		switch {
		case sl.state == Loading || sl.state == Unloading:
			s.slots[t] = sl
		case sl.pins > 0:
			s.slots[t] = &slot{state: Lost, pins: sl.pins, usage: sl.usage}
		}
	}
	for _, t := range residents {
		sl := s.slots[t]
		if sl == nil {
			sl = &slot{usage: usage{updatedAt: now}}
			s.slots[t] = sl
		}
		if sl.state == Lost || sl.state == Absent {
			sl.state = Resident
		}
	}
	for _, t := range pinned {
		sl := s.slots[t]
		if sl == nil {
			sl = &slot{state: Lost, usage: usage{updatedAt: now}}
			s.slots[t] = sl
		}
		sl.inherited = true
	}
}

// State returns the state of a target.
func (s *Slots) State(t configurer.Target) State {
	if sl, ok := s.slots[t]; ok {
		return sl.state
	}
	return Absent
}

// CanServe reports whether a request for the target may be sent now.
func (s *Slots) CanServe(t configurer.Target) bool {
	sl, ok := s.slots[t]
	return ok && sl.state == Resident && !sl.draining
}

// Use counts a use of the target, loaded or not.
func (s *Slots) Use(now time.Time, t configurer.Target) {
	if sl, ok := s.slots[t]; ok {
		sl.add(now)
		return
	}
	if len(s.unloadedUsage) >= maxUnloaded {
		s.trimUnloaded(now)
	}
	u := s.unloadedUsage[t]
	u.add(now)
	s.unloadedUsage[t] = u
}

// Rate returns the decayed rate of use of a target.
func (s *Slots) Rate(now time.Time, t configurer.Target) float64 {
	if sl, ok := s.slots[t]; ok {
		return sl.rateAt(now)
	}
	u := s.unloadedUsage[t]
	return u.rateAt(now)
}

// IsWorthLoading reports whether the target's rate is at least the victim's or, without a victim, that of any adapter not inherited.
func (s *Slots) IsWorthLoading(now time.Time, t configurer.Target) bool {
	if s.HasFreeSlot() {
		return true
	}
	if v, ok := s.Victim(now, func(configurer.Target) bool { return false }); ok {
		return s.Rate(now, v) <= s.Rate(now, t)
	}
	rate := s.Rate(now, t)
	for _, sl := range s.slots {
		if sl.state == Resident && !sl.inherited && sl.rateAt(now) <= rate {
			return true
		}
	}
	return false
}

// Pin protects a target from eviction until Unpin.
func (s *Slots) Pin(t configurer.Target) {
	if sl, ok := s.slots[t]; ok {
		sl.pins++
	}
}

// Unpin ends one pin.
func (s *Slots) Unpin(t configurer.Target) {
	sl, ok := s.slots[t]
	if !ok || sl.pins == 0 {
		return
	}
	sl.pins--
	s.dropIfUnused(t, sl)
}

// UnpinInherited ends the pin of the last owner's requests.
func (s *Slots) UnpinInherited(t configurer.Target) {
	if sl, ok := s.slots[t]; ok {
		sl.inherited = false
		s.dropIfUnused(t, sl)
	}
}

// MarkMissing records that the server reported that it doesn't hold the target.
func (s *Slots) MarkMissing(t configurer.Target) {
	sl, ok := s.slots[t]
	if !ok || sl.state == Loading {
		return
	}
	sl.state = Lost
	s.dropIfUnused(t, sl)
}

// AddReported adds adapters that the server reports and that the table doesn't hold.
func (s *Slots) AddReported(now time.Time, residents []configurer.Target) {
	for _, t := range residents {
		if s.slots[t] == nil {
			s.slots[t] = &slot{state: Resident, usage: usage{updatedAt: now}}
		}
	}
}

// HasFreeSlot reports whether another adapter can be loaded without an eviction.
func (s *Slots) HasFreeSlot() bool { return s.occupied() < s.size }

// BeginLoad records a load order, which takes a slot.
func (s *Slots) BeginLoad(now time.Time, t configurer.Target, order uint64) {
	u := usage{rate: s.Rate(now, t), updatedAt: now}
	pins := 0
	if sl, ok := s.slots[t]; ok {
		pins = sl.pins
	}
	delete(s.unloadedUsage, t)
	s.slots[t] = &slot{state: Loading, order: order, since: now, usage: u, pins: pins}
}

// EndLoad records a load's result and reports whether the order was the one in flight.
func (s *Slots) EndLoad(now time.Time, t configurer.Target, order uint64, ok bool) bool {
	sl := s.slots[t]
	if sl == nil || sl.state != Loading || order != 0 && order != sl.order {
		return false
	}
	if ok {
		sl.state, sl.since = Resident, now
		return true
	}
	sl.state = Lost
	s.dropIfUnused(t, sl)
	return true
}

// BeginUnload records an unload order.
func (s *Slots) BeginUnload(now time.Time, t configurer.Target, order uint64) {
	if sl, ok := s.slots[t]; ok {
		sl.state, sl.order, sl.since = Unloading, order, now
	}
}

// EndUnload records an unload's result and reports whether the order was the one in flight; a refused one leaves the adapter resident.
func (s *Slots) EndUnload(now time.Time, t configurer.Target, order uint64, ok bool) bool {
	sl := s.slots[t]
	if sl == nil || sl.state != Unloading || order != 0 && order != sl.order {
		return false
	}
	if !ok {
		sl.state, sl.since, sl.draining = Resident, now, false
		sl.busyUntil = now.Add(UnloadRetryDelay)
		return true
	}
	sl.state = Lost
	s.dropIfUnused(t, sl)
	return true
}

// Victim returns the adapter to evict, never a pinned one; isProtected reports targets of queued work.
func (s *Slots) Victim(now time.Time, isProtected func(configurer.Target) bool) (configurer.Target, bool) {
	return s.firstToEvict(now, func(t configurer.Target, sl *slot) bool {
		return sl.state == Resident && (s.ignorePins || sl.pins == 0 && !sl.inherited) && !now.Before(sl.busyUntil) && (sl.draining || !isProtected(t))
	})
}

// Drain stops new sends to the least used adapter, so that its slot becomes free, and reports whether there is one.
func (s *Slots) Drain(now time.Time, isProtected func(configurer.Target) bool) bool {
	for _, sl := range s.slots {
		if sl.draining {
			return true
		}
	}
	t, ok := s.firstToEvict(now, func(t configurer.Target, sl *slot) bool {
		return sl.state == Resident && !sl.inherited && !isProtected(t)
	})
	if ok {
		s.slots[t].draining = true
	}
	return ok
}

// EndDrain allows sends to every resident adapter again.
func (s *Slots) EndDrain() {
	for _, sl := range s.slots {
		sl.draining = false
	}
}

// Stuck returns the unpinned targets that have been in the state for at least the bound, sorted.
func (s *Slots) Stuck(now time.Time, state State, bound time.Duration) []configurer.Target {
	var out []configurer.Target
	for t, sl := range s.slots {
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
	for _, sl := range s.slots {
		if sl.state == state {
			n++
		}
	}
	return n
}

// Pins returns the number of pins, an inherited one counted as one.
func (s *Slots) Pins() int {
	n := 0
	for _, sl := range s.slots {
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
	for t, sl := range s.slots {
		if sl.pins > 0 || sl.inherited {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, byName)
	return out
}

func (s *Slots) occupied() int {
	n := 0
	for _, sl := range s.slots {
		if sl.state != Lost {
			n++
		}
	}
	return n
}

// dropIfUnused drops a lost slot once nothing pins it.
func (s *Slots) dropIfUnused(t configurer.Target, sl *slot) {
	if sl.state == Lost && sl.pins == 0 && !sl.inherited {
		delete(s.slots, t)
		s.unloadedUsage[t] = sl.usage
	}
}

// trimUnloaded drops the adapters without a slot whose rate isn't above the mean.
func (s *Slots) trimUnloaded(now time.Time) {
	sum := 0.0
	for _, u := range s.unloadedUsage {
		sum += u.rateAt(now)
	}
	limit := sum / float64(len(s.unloadedUsage))
	for t, u := range s.unloadedUsage {
		if u.rateAt(now) <= limit {
			delete(s.unloadedUsage, t)
		}
	}
}

func (s *Slots) firstToEvict(now time.Time, eligible func(configurer.Target, *slot) bool) (configurer.Target, bool) {
	var best configurer.Target
	var bestSlot *slot
	for t, sl := range s.slots {
		if eligible(t, sl) && (bestSlot == nil || s.evictsBefore(now, t, sl, best, bestSlot)) {
			best, bestSlot = t, sl
		}
	}
	return best, bestSlot != nil
}

func (s *Slots) evictsBefore(now time.Time, t configurer.Target, sl *slot, u configurer.Target, other *slot) bool {
	if sl.draining != other.draining {
		return sl.draining
	}
	if s.rule == ByRate {
		if a, b := sl.rateAt(now), other.rateAt(now); math.Abs(a-b) > rateTolerance {
			return a < b
		}
	}
	if !sl.updatedAt.Equal(other.updatedAt) {
		return sl.updatedAt.Before(other.updatedAt)
	}
	return byName(t, u) < 0
}

// rateTolerance is the largest difference in rate at which recency decides.
const rateTolerance = 1e-9

func (u *usage) rateAt(now time.Time) float64 {
	age := now.Sub(u.updatedAt)
	if age <= 0 {
		return u.rate
	}
	return u.rate * math.Exp2(-age.Seconds()/RateHalfLife.Seconds())
}

func (u *usage) add(now time.Time) {
	u.rate = u.rateAt(now) + 1
	u.updatedAt = now
}

func byName(a, b configurer.Target) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
