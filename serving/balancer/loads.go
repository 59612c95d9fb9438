package balancer

import "time"

// loadsTTL is how long the reported loads of all entries are valid; they are sent ten times a second while they change.
const loadsTTL = 2 * time.Second

// Load is the work in flight at a server.
type Load struct {
	Server string
	// Running is the number of requests, PrefillTokens the number of long-prompt tokens that the server is prefilling.
	Running       int
	PrefillTokens int
	// Memory is the tokens that requests take there or claim.
	Memory int
	// Refusals is the number of requests that the server refused within countTime, about.
	Refusals int
}

// isEmpty reports whether there is nothing at the server.
func (l Load) isEmpty() bool { return l == Load{Server: l.Server} }

// Loads returns this entry's loads that changed since the last call.
func (b *Balancer) Loads() []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.latest
	var out []Load
	for id := range b.mustReport {
		// Work at an earlier start is over; work at the current start is reported below.
		if s := b.servers[id]; s == nil || s.ownLoad(now).isEmpty() {
			out = append(out, Load{Server: id})
		}
	}
	clear(b.mustReport)
	for _, s := range b.servers {
		own := s.ownLoad(now)
		reported := s.reportedLoad
		if reported.Server = own.Server; own != reported {
			s.reportedLoad = own
			out = append(out, own)
		}
	}
	return out
}

// ownLoad returns this entry's load at the server.
func (s *server) ownLoad(now time.Time) Load {
	return Load{
		Server: s.Key.ID, Running: s.running, PrefillTokens: s.prefill, Memory: s.memory + s.claimed, Refusals: s.refusals.count(now),
	}
}

// ResendLoads makes the next call of Loads return all servers that have work or were reported to have some, since the
// receiver may have lost reports.
func (b *Balancer) ResendLoads() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.hasReported() {
			b.mustReport[id] = true
		}
		s.reportedLoad, s.otherEntriesLoad, s.otherEntriesLoadAt = Load{}, Load{}, time.Time{}
	}
}

// SetLoads records the loads of all entries together.
func (b *Balancer) SetLoads(now time.Time, list []Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.observe(now)
	b.sumsAt = now
	for _, l := range list {
		s := b.servers[l.Server]
		if s == nil {
			continue
		}
		// The sum includes this entry's last report.
		s.otherEntriesLoad = Load{
			Running: max(l.Running-s.reportedLoad.Running, 0), PrefillTokens: max(l.PrefillTokens-s.reportedLoad.PrefillTokens, 0),
			Memory: max(l.Memory-s.reportedLoad.Memory, 0),
		}
		s.otherEntriesLoadAt, s.sumRefusals = now, l.Refusals
		s.others.set(now, float64(s.otherEntriesLoad.Running))
		b.adaptPace(now, s)
	}
}

// observe records the latest time that the balancer was told.
func (b *Balancer) observe(now time.Time) {
	if now.After(b.latest) {
		b.latest = now
	}
}

// EndPrefill records that the server has prefilled the prompt of a choice; it reports whether a prefill was pending.
func (b *Balancer) EndPrefill(c Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[c.Key.ID]
	return s != nil && s.Key == c.Key && s.endPrefill(c)
}

func (s *server) endPrefill(c Choice) bool {
	if c.pendingPrefill == nil || *c.pendingPrefill == 0 {
		return false
	}
	s.prefill = max(s.prefill-*c.pendingPrefill, 0)
	*c.pendingPrefill = 0
	return true
}

// hasFreshLoads reports whether the loads of all entries at a server are known.
func (b *Balancer) hasFreshLoads(now time.Time, s *server) bool {
	return now.Sub(s.otherEntriesLoadAt) <= loadsTTL
}

// totalRunning returns the number of requests at a server: the last reported sum, and for this entry's requests since
// then as many from each other entry, up to entriesPerServer. Without that, all entries would send to the server with
// the least reported load.
func (b *Balancer) totalRunning(now time.Time, s *server) int {
	if !b.hasFreshLoads(now, s) {
		return s.running * b.entries
	}
	sinceReport := (s.running - s.reportedLoad.Running) * min(b.entries, entriesPerServer)
	return max(s.otherEntriesLoad.Running+s.reportedLoad.Running+sinceReport, s.running)
}

// totalPrefill returns the number of long-prompt tokens that a server is prefilling.
func (b *Balancer) totalPrefill(now time.Time, s *server) int {
	if !b.hasFreshLoads(now, s) {
		return s.prefill
	}
	return s.prefill + s.otherEntriesLoad.PrefillTokens
}

// hasReported reports whether the last report of the server's load was anything but zero.
func (s *server) hasReported() bool { return !s.reportedLoad.isEmpty() }
