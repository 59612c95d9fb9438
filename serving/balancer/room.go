package balancer

import (
	"slices"
	"time"

	"redwingstage.org/serving/reckoner"
	"redwingstage.org/serving/tracker"
)

const (
	// remoteRoomShare divides the room of servers in other data centres when one is drawn by its room.
	remoteRoomShare = 2
	// scarceRoomShare is the share of the memory of all engines with the adapter from which a part of the requests waits for
	// what other entries may have sent.
	scarceRoomShare = 0.5
)

// RoomTicket is a request's wait for room at engines.
type RoomTicket struct {
	waiter *reckoner.Waiter
	// claimedAt is the server at which the request claims room, its zero value if there is none.
	claimedAt tracker.Key
}

// reckonsRoom reports whether the memory of the request's engines is known.
func (r *Request) reckonsRoom() bool { return r.Capacity > 0 && r.Memory > 0 }

// waiter returns the request as one that waits for room.
func (r *Request) waiter() *reckoner.Waiter {
	if r.Room != nil {
		return r.Room.waiter
	}
	return &reckoner.Waiter{
		Group: r.Adapter.Model + "/" + r.Adapter.Name, Memory: r.Memory, Priority: r.Priority, Arrived: r.Arrived, Deadline: r.Deadline,
	}
}

// roomState is the state of one service's engines as far as it isn't kept by engine: who waits for room, and what this entry
// sent lately.
type roomState struct {
	queue reckoner.Queue
	sent  reckoner.Recent
}

// room returns the state of a service; the caller holds the lock.
func (b *Balancer) room(service string) *roomState {
	r := b.rooms[service]
	if r == nil {
		r = &roomState{}
		b.rooms[service] = r
	}
	return r
}

// WaitForRoom queues a request that got NoRoom; StopWaiting must follow.
func (b *Balancer) WaitForRoom(req Request) *RoomTicket {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &RoomTicket{waiter: req.waiter()}
	b.room(req.Service).queue.Add(t.waiter)
	return t
}

// StopWaiting removes a request from the queue and gives back the room that it claims.
func (b *Balancer) StopWaiting(service string, t *RoomTicket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseClaim(t)
	b.room(service).queue.Remove(t.waiter)
}

// WaitingForRoom returns how many requests wait for room at a service.
func (b *Balancer) WaitingForRoom(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room(service).queue.Len()
}

func (b *Balancer) releaseClaim(t *RoomTicket) {
	if s := b.servers[t.claimedAt.ID]; s != nil && s.Key == t.claimedAt {
		s.claimed = max(s.claimed-t.waiter.Memory, 0)
	}
	t.claimedAt = tracker.Key{}
}

// mustWaitForRoom reports whether a request has to let others go first that wait for room; not while it claims some.
func (b *Balancer) mustWaitForRoom(now time.Time, req *Request) bool {
	if !req.reckonsRoom() || req.Room != nil && req.Room.claimedAt != (tracker.Key{}) {
		return false
	}
	q := &b.room(req.Service).queue
	return q.Len() > 0 && q.IsBehind(now, req.waiter())
}

// heldMemory returns the tokens that requests hold or claim at a server: this entry's, and the others' as last reported.
func (b *Balancer) heldMemory(now time.Time, s *server) int {
	if !b.knowsRoom(now, s) {
		return s.memory + s.claimed
	}
	return s.memory + s.claimed + s.otherEntriesLoad.Memory
}

// knowsRoom reports whether the room that all entries take at a server is known. Sums come only when they change: that of a quiet
// server holds as long as those of others come in.
func (b *Balancer) knowsRoom(now time.Time, s *server) bool {
	return b.hasFreshLoads(now, s) || !s.otherEntriesLoadAt.IsZero() && now.Sub(b.sumsAt) <= loadsTTL
}

// lacksRoom reports whether a request doesn't fit into a server's memory beside what is held there.
func (b *Balancer) lacksRoom(now time.Time, s *server, req Request) bool {
	if !req.reckonsRoom() {
		return false
	}
	held := b.heldMemory(now, s)
	if req.Room != nil && req.Room.claimedAt == s.Key {
		held -= req.Memory
	}
	if !b.knowsRoom(now, s) {
		return !reckoner.FitsShare(held, req.Memory, req.Capacity, b.entries)
	}
	return !reckoner.Fits(held, req.Memory, req.Capacity)
}

// spreadByRoom returns the servers to choose from. Entries learn late of each other's requests and prefer the same servers, so
// that all together may overfill one. Where the room of some server is small against what may come, a server is drawn by its
// room, and if there is less room at all servers than may come, a part of the requests waits: then false is returned.
func (b *Balancer) spreadByRoom(now time.Time, req *Request, list []*server) ([]*server, bool) {
	if !req.reckonsRoom() || len(list) == 0 || req.Room != nil && req.Room.claimedAt != (tracker.Key{}) {
		return list, true
	}
	d := b.roomToDraw(now, req, list)
	if !d.byRoom {
		return d.list, true
	}
	if d.scarce() && b.randIntN(d.coming) >= d.total {
		return nil, false
	}
	n := b.randIntN(d.total)
	for i, s := range d.list {
		if n -= d.free[i]; n < 0 {
			return []*server{s}, true
		}
	}
	return d.list, true
}

// roomDraw is the servers to choose from and, if byRoom is set, the room by which one of them is drawn.
type roomDraw struct {
	list   []*server
	byRoom bool
	// free is the room of each server as it counts here, total their sum.
	free  []int
	total int
	// coming is what other entries are expected to have sent; isFilled is set if much of the memory is taken.
	coming   int
	isFilled bool
}

// scarce reports that a part of the requests waits.
func (d *roomDraw) scarce() bool { return d.isFilled && d.coming > d.total }

// roomToDraw returns the servers to choose from and their room; it changes nothing.
func (b *Balancer) roomToDraw(now time.Time, req *Request, list []*server) roomDraw {
	if !slices.ContainsFunc(list, func(s *server) bool { return b.knowsRoom(now, s) }) {
		// Without sums each entry keeps to its own part of each server.
		return roomDraw{list: list}
	}
	d := roomDraw{list: list, byRoom: true, free: make([]int, len(list))}
	if r := b.rooms[req.Service]; r != nil {
		// What entries sent unseen went to all servers of the service, of which few may hold the adapter.
		d.coming = r.sent.Unseen(now, b.entries) * b.countHolders(now, req) / max(len(b.services[req.Service]), 1)
	}
	preferred := d.coming * min(b.entries, entriesPerServer) / len(list)
	roomy := make([]*server, 0, len(list))
	held := 0
	for i, s := range list {
		memory := b.heldMemory(now, s)
		held += memory
		free := reckoner.Free(memory, req.Capacity)
		if free >= preferred {
			roomy = append(roomy, s)
		}
		d.free[i] = max(free, 1)
		if s.Zone != req.Zone {
			d.free[i] = (d.free[i] + 1) / remoteRoomShare
		}
		d.total += d.free[i]
	}
	if len(roomy) > 0 {
		// Among servers with enough room load, speed and failures decide.
		return roomDraw{list: roomy}
	}
	d.isFilled = float64(held) >= scarceRoomShare*float64(len(list)*req.Capacity)
	return d
}

// countHolders returns how many servers of the service hold the request's adapter.
func (b *Balancer) countHolders(now time.Time, req *Request) int {
	n := 0
	for _, s := range b.services[req.Service] {
		if req.Adapter.Model == "" || b.hasUsableVersion(now, s, req.Adapter) {
			n++
		}
	}
	return n
}

// claimRoom claims room for a request that has waited long, at the server that holds least: the room counts as taken for all
// entries, so that the server takes no more until the request fits. It ends the claim when its time is over.
func (b *Balancer) claimRoom(now time.Time, req *Request) {
	if req.Room == nil || !req.reckonsRoom() {
		return
	}
	least := b.leastHeld(now, req)
	if least == nil && req.Room.claimedAt == (tracker.Key{}) {
		// There is nothing to claim, and a claim keeps others from one.
		return
	}
	claims, started := b.room(req.Service).queue.Claim(now, req.Room.waiter)
	if !claims || started {
		b.releaseClaim(req.Room)
	}
	if started && least != nil {
		least.claimed += req.Memory
		req.Room.claimedAt = least.Key
	}
}

// leastHeld returns the server that holds least of those without room for a request, or nil.
func (b *Balancer) leastHeld(now time.Time, req *Request) *server {
	var least *server
	for _, s := range b.services[req.Service] {
		if b.status(now, s, *req) != NoRoom {
			continue
		}
		if least == nil || b.heldMemory(now, s) < b.heldMemory(now, least) || b.heldMemory(now, s) == b.heldMemory(now, least) && s.Key.ID < least.Key.ID {
			least = s
		}
	}
	return least
}

// takeRoom records that a request goes to a server.
func (b *Balancer) takeRoom(now time.Time, s *server, req *Request, c *Choice) {
	if !req.reckonsRoom() {
		return
	}
	if req.Room != nil {
		b.releaseClaim(req.Room)
	}
	b.room(req.Service).sent.Add(now, req.Memory)
	s.memory += req.Memory
	c.memory = req.Memory
}

// loadOf returns a server's load: the share of its slots or, if that is larger, of its memory that is taken.
func (b *Balancer) loadOf(now time.Time, s *server, req *Request) float64 {
	load := b.load(now, s)
	if req.reckonsRoom() {
		load = max(load, float64(b.heldMemory(now, s))/float64(req.Capacity))
	}
	return load
}
