package relayer

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

const (
	// usageInterval is the shortest interval between reports of adapter usage to the leader; usageIntervalPerEntry times the
	// number of entries applies if it is longer, so that control replicas get a bounded number of messages.
	usageInterval         = 100 * time.Millisecond
	usageIntervalPerEntry = 500 * time.Microsecond
	// reconnectDelay is the delay between two rounds of connection attempts over the known replicas.
	reconnectDelay    = 150 * time.Millisecond
	maxQueuedMessages = 1024
	// failedReplicaDelay is how long a failed replica is tried last, and isn't returned to while another one serves.
	failedReplicaDelay = 10 * time.Second
	// readyGrace is how long an entry that may lack newer versions stays ready: a leader change takes less, and after it other
	// entries have newer state. Open connections are still served.
	readyGrace = 3 * time.Second
)

// controlClient keeps a session with a control replica, preferably one in this entry's data centre.
type controlClient struct {
	entry *Relayer
	queue chan governor.UpMessage

	mu       sync.Mutex
	seeds    []string
	replicas []governor.Peer
	// addr is the session's replica, or the one that is being connected to; cancel ends that and is nil once it was called.
	addr   string
	cancel context.CancelFunc
	// inSession is set from a session's first message to its end.
	inSession bool
	// failedAt is the time of the last failure, by address.
	failedAt map[string]time.Time
	// confirmedAt is the latest time at which the leader is known to have served this entry: it has all versions that were
	// acknowledged before. startedAt stands in for it until there is one; preferred is the replica to connect to next.
	confirmedAt, startedAt time.Time
	preferred              string
	// unreadSince is when a document came that couldn't be read, zero if the newest one is in force.
	unreadSince time.Time
	// newsAt is when the last message of a session was applied.
	newsAt      time.Time
	requestedAt map[adapterRequest]time.Time
}

// adapterRequest identifies a request for an adapter, or for another copy of it.
type adapterRequest struct {
	service  string
	adapter  tracker.Adapter
	isCopy   bool
	software string
}

func newControlClient(e *Relayer) *controlClient {
	return &controlClient{
		entry: e, queue: make(chan governor.UpMessage, maxQueuedMessages), seeds: slices.Clone(e.cfg.Controls), requestedAt: make(map[adapterRequest]time.Time),
		failedAt: make(map[string]time.Time), startedAt: time.Now(),
	}
}

func (c *controlClient) setSeeds(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(addrs)
}

// candidates returns all known control replicas: those in this entry's data centre first, recently failed ones last,
// otherwise ordered by a hash that includes the node, which spreads entries over them.
func (c *controlClient) candidates(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := make(map[string]bool)
	var out []string
	for _, p := range c.replicas {
		local[p.Addr] = p.Zone == c.entry.cfg.Zone
		out = append(out, p.Addr)
	}
	for _, a := range c.seeds {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	rank := func(addr string) int {
		switch at, ok := c.failedAt[addr]; {
		case addr == c.preferred:
			return -1
		case ok && now.Sub(at) < failedReplicaDelay:
			return 2
		case local[addr]:
			return 0
		}
		return 1
	}
	spreadHash := func(addr string) uint64 { return xxhash.Sum64String(c.entry.cfg.Node + "\x00" + addr) }
	slices.SortFunc(out, func(x, y string) int {
		rx, ry := rank(x), rank(y)
		if rx == 2 && ry == 2 {
			return c.failedAt[x].Compare(c.failedAt[y])
		}
		return cmp.Or(cmp.Compare(rx, ry), cmp.Compare(spreadHash(x), spreadHash(y)))
	})
	return out
}

// returnToLocalZone ends a session in another data centre once a replica in this entry's data centre is available.
func (c *controlClient) returnToLocalZone(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil {
		return
	}
	localAvailable := false
	for _, p := range c.replicas {
		switch at, failed := c.failedAt[p.Addr]; {
		case p.Addr == c.addr && (p.Zone == c.entry.cfg.Zone || p.Zone == ""):
			return
		case p.Zone == c.entry.cfg.Zone && (!failed || now.Sub(at) >= failedReplicaDelay):
			localAvailable = true
		}
	}
	if localAvailable {
		c.cancel()
		c.cancel = nil
	}
}

// requestAdapter requests an adapter from the leader; repeated requests for the same one are rate limited.
func (c *controlClient) requestAdapter(w governor.Want) {
	now := time.Now()
	minInterval := chooseRetryInterval / 2
	if w.Copy {
		minInterval = copyRequestInterval
	}
	c.mu.Lock()
	k := adapterRequest{w.Service, w.Adapter, w.Copy, w.Software}
	at, ok := c.requestedAt[k]
	if ok && now.Sub(at) < minInterval {
		c.mu.Unlock()
		return
	}
	if len(c.requestedAt) > maxQueuedMessages {
		clear(c.requestedAt)
	}
	c.requestedAt[k] = now
	c.mu.Unlock()
	c.enqueue(governor.UpMessage{Wants: []governor.Want{w}})
}

func (c *controlClient) reportMissing(m governor.AdapterPlacement) {
	c.enqueue(governor.UpMessage{Missing: []governor.AdapterPlacement{m}})
}

// enqueue queues a message; when the queue is full, the message is dropped: requests are repeated later, loads sent again.
func (c *controlClient) enqueue(up governor.UpMessage) {
	select {
	case c.queue <- up:
	default:
		if len(up.Loads) > 0 {
			c.entry.balancer.ResendLoads()
		}
	}
}

// enqueueLoads reports this entry's load at servers where it changed.
func (c *controlClient) enqueueLoads() {
	if up := c.changedLoads(); len(up.Loads) > 0 {
		c.enqueue(up)
	}
}

func (c *controlClient) changedLoads() governor.UpMessage {
	var up governor.UpMessage
	for _, v := range c.entry.balancer.Loads() {
		up.Loads = append(up.Loads, governor.Load(v))
	}
	return up
}

// run keeps a session open until ctx is done.
func (c *controlClient) run(ctx context.Context) {
	var reporting conc.WaitGroup
	reporting.Go(func() { c.reportUsage(ctx) })
	reporting.Go(func() { c.watchLeader(ctx) })
	reporting.Go(func() { c.reportCrashes(ctx) })
	reporting.Go(func() { c.reportQuotas(ctx) })
	defer reporting.Wait()
	for ctx.Err() == nil {
		delay := reconnectDelay
		for _, addr := range c.candidates(time.Now()) {
			started, returning := c.runSessions(ctx, addr)
			if ctx.Err() != nil {
				return
			}
			if returning {
				delay = 0
			}
			if started {
				break
			}
		}
		waiter.Wait(ctx, delay)
	}
}

// runSessions runs a session with a replica, or with the leader that it redirects to. It reports whether one began, and
// whether it was ended to return to this entry's data centre.
func (c *controlClient) runSessions(ctx context.Context, addr string) (started, returning bool) {
	for range 2 {
		for len(c.queue) > 0 {
			// Messages queued for an earlier session are dropped; requests that still wait are repeated.
			<-c.queue
		}
		var redirect string
		var err error
		started, redirect, err = c.runSession(ctx, addr)
		now := time.Now()
		c.mu.Lock()
		returning = c.cancel == nil
		c.inSession = false
		if !started || !returning {
			c.failedAt[addr] = now
		}
		if addr == c.preferred {
			c.preferred = ""
		}
		c.addr, c.cancel = "", nil
		c.mu.Unlock()
		if started {
			c.entry.log.Error("session with a control replica ended", err)
			return true, returning
		}
		if redirect == "" || redirect == addr {
			return false, false
		}
		addr = redirect
	}
	return false, false
}

// runSession runs a session with a replica until it ends; redirect is the leader's address if the replica names one.
func (c *controlClient) runSession(ctx context.Context, addr string) (started bool, redirect string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.addr, c.cancel = addr, cancel
	c.mu.Unlock()
	hello := governor.Hello{Node: c.entry.cfg.Node, Zone: c.entry.cfg.Zone, Tunnel: c.entry.tunnelAddr()}
	redirect, err = governor.Dial(ctx, addr, c.entry.deps.Dialer, hello, c.queue, func(fields []string) {
		c.entry.log.Warn("dropped unreadable elements", strings.Join(fields, ", "))
	}, func(d governor.DownMessage, confirmed time.Time) {
		if d.Welcome != nil {
			started = true
		}
		c.receive(addr, d, confirmed)
	})
	return started, redirect, err
}

// receive applies a message from the replica at addr, and then records that the leader is known to have served this entry at
// a time: from then on this entry refuses routes and keys that it doesn't know.
func (c *controlClient) receive(addr string, d governor.DownMessage, confirmed time.Time) {
	if d.Welcome != nil {
		c.mu.Lock()
		delete(c.failedAt, addr)
		c.inSession = true
		c.mu.Unlock()
		c.entry.balancer.ResendLoads()
		c.entry.log.Info("session with a control replica", addr)
	}
	c.applyMessage(d)
	c.entry.quotas.confirm(confirmed)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newsAt = time.Now()
	if confirmed.After(c.confirmedAt) {
		c.confirmedAt = confirmed
	}
}

// applyMessage applies a message from the replica.
func (c *controlClient) applyMessage(d governor.DownMessage) {
	e := c.entry
	if len(d.Replicas) > 0 {
		c.mu.Lock()
		c.replicas = slices.Clone(d.Replicas)
		c.mu.Unlock()
	}
	if d.Doc != nil && d.Doc.Version > 0 {
		c.applyDocument(*d.Doc)
	}
	if d.Tunnels != nil {
		e.links.setPeers(d.Tunnels.Entries, e.tunnelAddr())
	}
	now := time.Now()
	b := e.balancer
	b.SetVersions(now, d.Versions)
	b.MarkLeaving(d.Leaving)
	if d.Welcome != nil {
		c.reconcile(&d)
	}
	// Before the servers: one of another version must not begin a stream that counts as that of the only version.
	c.applyStarts(now, &d)
	b.Set(d.Engines, d.Welcome != nil)
	b.Set(d.FullResidents, true)
	b.Remove(d.RemovedServers)
	for _, m := range d.ResidentChanges {
		if m.Removed {
			b.RemoveResident(m.Engine, m.Adapter)
		} else {
			b.AddResident(m.Engine, m.Adapter, m.Version)
		}
	}
	c.applyStandings(&d)
	e.quotas.apply(now, d.Quotas)
	if len(d.Loads) > 0 {
		totals := make([]balancer.Load, 0, len(d.Loads))
		for _, v := range d.Loads {
			totals = append(totals, balancer.Load(v))
		}
		b.SetLoads(now, totals)
	}
	speeds := make([]profiler.Speed, 0, len(d.Speeds))
	for _, v := range d.Speeds {
		speeds = append(speeds, profiler.Speed(v))
	}
	b.SetSpeeds(speeds, d.Welcome != nil)
	if len(d.Cached) > 0 {
		b.AddSharedPrefixes(now, sharedPrefixes(d.Cached))
	}
	if d.Entries > 0 {
		b.SetEntries(d.Entries)
	}
}

// reconcile compares the known servers with a session's first message. A settled leader's list is complete, so that unlisted
// servers are removed; to any other leader they are reported.
func (c *controlClient) reconcile(d *governor.DownMessage) {
	listed := make(map[string]bool, len(d.Engines))
	for _, in := range d.Engines {
		listed[in.Key.ID] = true
	}
	var known []tracker.Instance
	var unlisted []string
	for _, in := range c.entry.balancer.Servers() {
		switch {
		case listed[in.Key.ID]:
		case d.Welcome.Settled:
			unlisted = append(unlisted, in.Key.ID)
		default:
			known = append(known, in)
		}
	}
	c.entry.balancer.Remove(unlisted)
	if len(known) > 0 {
		c.enqueue(governor.UpMessage{Known: known})
	}
}

// applyDocument applies a version of the operator's document, never an older one, and acknowledges the version in force.
func (c *controlClient) applyDocument(doc governor.Doc) {
	e := c.entry
	if t := e.table.Load(); t == nil || t.Version() < doc.Version {
		t, err := e.deps.Decode(doc)
		if err != nil {
			e.log.Error("read the operator's document", err)
			c.setReadable(false)
			return
		}
		e.quotas.configure(time.Now(), t.Accounts())
		e.table.Store(t)
		e.metrics.keepAccounts(t)
		e.keyUses.withdraw(t)
		c.setReadable(true)
		e.log.Document(doc.Version)
	}
	c.enqueue(governor.UpMessage{Version: e.table.Load().Version()})
}

// setReadable records whether the newest document could be read.
func (c *controlClient) setReadable(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case ok:
		c.unreadSince = time.Time{}
	case c.unreadSince.IsZero():
		c.unreadSince = time.Now()
	}
}

// reportUsage periodically sends adapter usage and loads to the leader.
func (c *controlClient) reportUsage(ctx context.Context) {
	for ctx.Err() == nil {
		waiter.Wait(ctx, max(usageInterval, time.Duration(c.entry.balancer.Entries())*usageIntervalPerEntry))
		c.returnToLocalZone(time.Now())
		up := c.changedLoads()
		for _, u := range c.entry.balancer.Uses() {
			up.Uses = append(up.Uses, governor.Use{Engine: u.Engine, Adapter: u.Adapter, Starts: u.Starts, Running: u.Running})
		}
		for _, v := range c.entry.balancer.SpeedSamples() {
			up.Speeds = append(up.Speeds, governor.SpeedSample(v))
		}
		for _, p := range c.entry.balancer.SharedPrefixes() {
			up.Cached = append(up.Cached, governor.CachedPrefix{Engine: p.Engine, Adapter: p.Adapter, Digest: p.Prefix.Digest, Tokens: p.Prefix.Tokens})
		}
		if len(up.Uses)+len(up.Loads)+len(up.Speeds)+len(up.Cached) > 0 {
			c.enqueue(up)
		}
	}
}
