package relayer

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

const (
	// soundBlocks is the number of blocks of events after which a stream has not crashed its server.
	soundBlocks = 2
	// soundFor is how long an answered part counts as sound, and maxSound how many parts are kept.
	soundFor = time.Minute
	maxSound = 8192
	// crashGatherTime is how long requests of the same server are gathered before the server is probed.
	crashGatherTime   = 20 * time.Millisecond
	crashProbeTimeout = 300 * time.Millisecond
	// maxCrashProbes bounds the servers that are probed at once.
	maxCrashProbes       = 64
	retryAfterQuarantine = time.Minute
)

// suspects are the standings of parts and requests, and this entry's evidence about them.
type suspects struct {
	mu        sync.Mutex
	standings map[quarantiner.Digest]quarantiner.Standing
	// sound is when each part was last in a request that a server answered.
	sound map[quarantiner.Digest]time.Time
	// crashes are the servers that are about to be probed, with the requests that they broke off.
	crashes map[tracker.Key]*governor.Crash
}

func newSuspects() *suspects {
	return &suspects{
		standings: make(map[quarantiner.Digest]quarantiner.Standing), sound: make(map[quarantiner.Digest]time.Time),
		crashes: make(map[tracker.Key]*governor.Crash),
	}
}

// apply applies standings from the leader and returns the suspects among them that this entry knows to be sound.
func (s *suspects) apply(now time.Time, replace bool, list []governor.DigestStanding) (sound []quarantiner.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if replace {
		clear(s.standings)
	}
	for _, d := range list {
		s.standings[d.Digest] = d.Standing
		if d.Standing == quarantiner.Clear {
			delete(s.standings, d.Digest)
		}
		if at, ok := s.sound[d.Digest]; ok && d.Standing == quarantiner.Suspect && now.Sub(at) < soundFor {
			sound = append(sound, d.Digest)
		}
	}
	return sound
}

// isQuarantined reports whether requests like c are refused.
func (s *suspects) isQuarantined(c *call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.standings) == 0 {
		return false
	}
	is := func(d quarantiner.Digest) bool { return s.standings[d] == quarantiner.Quarantined }
	return slices.ContainsFunc(c.parts, is) || is(c.digest())
}

// recordSound records that a server began to answer a request, and returns what the leader suspects of it.
func (s *suspects) recordSound(now time.Time, c *call) (suspected []quarantiner.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sound)+len(c.parts) > maxSound {
		clear(s.sound)
	}
	for _, d := range c.parts {
		s.sound[d] = now
	}
	if len(s.standings) == 0 {
		return nil
	}
	for _, d := range append(slices.Clone(c.parts), c.digest()) {
		if s.standings[d] == quarantiner.Suspect {
			suspected = append(suspected, d)
		}
	}
	return suspected
}

// addBroken adds a request that a server broke off before it began to answer; first is set if the server isn't about to be
// probed yet.
func (s *suspects) addBroken(now time.Time, server tracker.Key, c *call) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := s.crashes[server]
	if crash == nil {
		if len(s.crashes) >= maxCrashProbes {
			return false
		}
		first = true
		crash = &governor.Crash{Server: server}
		s.crashes[server] = crash
	}
	for _, d := range append(slices.Clone(c.parts), c.digest()) {
		if at, ok := s.sound[d]; (!ok || now.Sub(at) >= soundFor) && !slices.Contains(crash.Digests, d) {
			crash.Digests = append(crash.Digests, d)
		}
	}
	return first
}

func (s *suspects) takeCrash(server tracker.Key) governor.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := *s.crashes[server]
	delete(s.crashes, server)
	return crash
}

// partDigests returns the digests of the parts that the request shares with others.
func (e *Relayer) partDigests(c *call) []quarantiner.Digest {
	if e.headers.ParseParts == nil {
		return nil
	}
	var out []quarantiner.Digest
	for _, id := range e.headers.ParseParts(c.req.get(e.headers.Parts)) {
		out = append(out, quarantiner.DigestOf("part", c.service, id))
	}
	return out
}

// digest returns the digest of the whole request, the same each time that the caller sends it.
func (c *call) digest() quarantiner.Digest {
	return quarantiner.DigestOf("request", c.service, c.req.method, c.req.host, c.req.uri, c.adapter.Model, c.adapter.Name, string(c.req.body))
}

// recordEvidence records what an attempt shows about its request: that a server answered it, or ended under it.
func (e *Relayer) recordEvidence(a *attempt, r attemptResult) {
	c := a.call
	switch {
	case r.outcome == outcomeAnswered || r.outcome == outcomeForwarded:
		e.recordSound(c)
	case (r.outcome == outcomeUnknown || r.outcome == outcomeCut) && r.isBroken && a.blocks < soundBlocks:
		if e.suspects.addBroken(time.Now(), a.choice.Key, c) {
			e.wg.Go(func() { e.probeCrash(a.choice) })
		}
	}
}

func (e *Relayer) recordSound(c *call) {
	if sound := e.suspects.recordSound(time.Now(), c); len(sound) > 0 {
		e.control.enqueue(governor.UpMessage{Sound: sound})
	}
}

// probeCrash reports a server that has ended; one that still accepts connections has only ended some.
func (e *Relayer) probeCrash(server balancer.Choice) {
	waiter.Wait(e.ctx, crashGatherTime)
	crash := e.suspects.takeCrash(server.Key)
	ctx, cancel := context.WithTimeout(e.ctx, crashProbeTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", server.Addr)
	if err == nil {
		_ = conn.Close()
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.log.Warn("backend server ended under requests that it had not begun to answer", server.Key.ID)
		e.control.enqueue(governor.UpMessage{Crashes: []governor.Crash{crash}})
	}
}

// isBroken reports whether a read or write failed because the other side ended the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// refuseQuarantined ends a request that would crash a backend server.
func (e *Relayer) refuseQuarantined(c *call, w *responseWriter) bool {
	const reason = "requests like this one crash backend servers"
	switch {
	case w.streaming:
		return e.abortResponse(c, w, reason)
	case c.mayHaveRun:
		return e.respondError(c, w, http.StatusBadGateway, "the request may have run: "+reason)
	}
	return e.refuse(c, w, reason, retryAfterQuarantine)
}

// applyStandings applies the standings in a message of the replica.
func (c *controlClient) applyStandings(d *governor.DownMessage) {
	if d.Welcome == nil && len(d.Standings) == 0 {
		return
	}
	if sound := c.entry.suspects.apply(time.Now(), d.Welcome != nil, d.Standings); len(sound) > 0 {
		c.enqueue(governor.UpMessage{Sound: sound})
	}
}
