package balancer

import "time"

// loadsTTL is how long what all entries have at a server counts; it is told ten times a second while it changes.
const loadsTTL = 2 * time.Second

// Load is what is under way at a server.
type Load struct {
	Server string
	// Running is the number of requests, Reading that of tokens of prompts that the server is still reading.
	Running int
	Reading int
}

// Loads returns what this entry has at servers, where that changed since the last call.
func (b *Balancer) Loads() []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Load
	for id := range b.ended {
		// Work at an earlier start is over; what a later one has is told below.
		if s := b.servers[id]; s == nil || s.running+s.reading == 0 {
			out = append(out, Load{Server: id})
		}
	}
	clear(b.ended)
	for id, s := range b.servers {
		own := Load{Server: id, Running: s.running, Reading: s.reading}
		if own.Running != s.told.Running || own.Reading != s.told.Reading {
			s.told = own
			out = append(out, own)
		}
	}
	return out
}

// RetellLoads has the next call of Loads return all servers with work, and those that were told to have some, since it is
// not known what reached the one who was told.
func (b *Balancer) RetellLoads() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.told.Running+s.told.Reading > 0 {
			b.ended[id] = true
		}
		s.told, s.others, s.othersAt = Load{}, Load{}, time.Time{}
	}
}

// SetLoads takes up what all entries together have at servers.
func (b *Balancer) SetLoads(now time.Time, list []Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range list {
		s := b.servers[l.Server]
		if s == nil {
			continue
		}
		// What this entry told last is part of the sum.
		s.others = Load{Running: max(l.Running-s.told.Running, 0), Reading: max(l.Reading-s.told.Reading, 0)}
		s.othersAt = now
	}
}

// Read tells that the server has read the prompt of a choice; it reports whether the prompt took turns.
func (b *Balancer) Read(c Choice) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[c.Key.ID]
	return s != nil && s.Key == c.Key && s.read(c)
}

func (s *server) read(c Choice) bool {
	if c.unread == nil || *c.unread == 0 {
		return false
	}
	s.reading = max(s.reading-*c.unread, 0)
	*c.unread = 0
	return true
}

// isTold reports whether it is known what all entries have at a server.
func (b *Balancer) isTold(now time.Time, s *server) bool { return now.Sub(s.othersAt) <= loadsTTL }

// running returns how many requests are at a server: what all entries told last, and since then as many more from each
// rival as from this one. Without that, all of them would send to the server that was told to have the least.
func (b *Balancer) running(now time.Time, s *server) int {
	if !b.isTold(now, s) {
		return s.running * b.entries
	}
	since := (s.running - s.told.Running) * min(b.entries, rivals)
	return max(s.others.Running+s.told.Running+since, s.running)
}

// reading returns how many tokens of prompts a server is reading.
func (b *Balancer) reading(now time.Time, s *server) int {
	if !b.isTold(now, s) {
		return s.reading
	}
	return s.reading + s.others.Reading
}
