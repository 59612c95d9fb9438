package owner

import (
	"context"
	"sync"

	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/streamer"
)

// Homes makes claims for requests at other entries; release ends a claim, and copyServer is the server where copies run instead.
type Homes interface {
	Claim(ctx context.Context, addr string, d quarantiner.Digest, p quarantiner.ServerProcess, m quarantiner.Mode) (
		release func(), copyServer string, ok bool, err error)
}

// claimStore holds the claims of the requests whose home is this entry.
type claimStore struct {
	mu      sync.Mutex
	claims  *quarantiner.Claims
	closing chan struct{}
	once    sync.Once
}

func newClaimStore() *claimStore {
	return &claimStore{claims: quarantiner.NewClaims(), closing: make(chan struct{})}
}

func (s *claimStore) close() { s.once.Do(func() { close(s.closing) }) }

// Claim records the server that a request is sent to, or returns the server where copies of it run.
func (o *Owner) Claim(d quarantiner.Digest, p quarantiner.ServerProcess, m quarantiner.Mode) (release func(), copyServer string, ok bool) {
	s := o.claims
	s.mu.Lock()
	defer s.mu.Unlock()
	copyServer, ok = s.claims.Acquire(d, p, m)
	if !ok {
		return nil, copyServer, false
	}
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.claims.Release(d, p)
	}), "", true
}

// Closing returns a channel that is closed once this entry stops holding claims.
func (o *Owner) Closing() <-chan struct{} { return o.claims.closing }

// claim is a job's claim at its home.
type claim struct {
	mu       sync.Mutex
	release  func()
	released bool
}

// releaseClaim releases the job's claim, also one that is set later.
func (j *job) releaseClaim() {
	j.claim.mu.Lock()
	release := j.claim.release
	j.claim.release, j.claim.released = nil, true
	j.claim.mu.Unlock()
	if release != nil {
		release()
	}
}

func (j *job) setClaim(release func()) {
	j.claim.mu.Lock()
	released := j.claim.released
	if !released {
		j.claim.release = release
	}
	j.claim.mu.Unlock()
	if released {
		release()
	}
}

func (j *job) claimMode() quarantiner.Mode {
	switch {
	case j.spec.Standing == quarantiner.Suspect:
		return quarantiner.Exclusive
	case j.req.Hedge:
		return quarantiner.Hedged
	}
	return quarantiner.Shared
}

// acquireClaim acquires the job's claim at the first home that answers. If none answers, the request isn't sent and its entry
// retries: the roster soon lists other homes in place of those that left. A booking needs no claim:
// its record lets each key run once, and answers a copy.
func (o *Owner) acquireClaim(j *job) (streamer.End, bool) {
	if o.skipClaims || j.knownSafe || j.req.IsBooking() || len(j.req.Homes) == 0 {
		return streamer.End{}, true
	}
	process := quarantiner.ServerProcess{Server: j.server.Name, Incarnation: j.server.Incarnation}
	for _, h := range j.req.Homes {
		var release func()
		var copyServer string
		var ok bool
		var err error
		if h.Entry == o.id.Entry {
			release, copyServer, ok = o.Claim(j.req.Digest, process, j.claimMode())
		} else {
			release, copyServer, ok, err = o.Homes.Claim(j.ctx, h.Addr, j.req.Digest, process, j.claimMode())
		}
		switch {
		case err != nil:
			o.Log.Warn("claim not answered by "+h.Entry+": "+err.Error(), j.req.ID)
			continue
		case !ok:
			end := refused(streamer.ReasonRunningElsewhere, "a copy of the request runs elsewhere")
			end.CopyServer = copyServer
			return end, false
		}
		j.setClaim(release)
		return streamer.End{}, true
	}
	return refused(streamer.ReasonRunningElsewhere, "no entry tells whether a copy of the request runs elsewhere"), false
}

// rosterRevision returns the roster's revision, or 0 without a roster.
func (o *Owner) rosterRevision() uint64 {
	if r := o.Control.Roster(); r != nil {
		return r.Revision()
	}
	return 0
}

// reportSuspectDone reports a suspect request that completed.
func (o *Owner) reportSuspectDone(a scheduler.ReportCompletion) {
	j := o.jobs[a.Attempt]
	if j == nil {
		return
	}
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, reportTimeout)
		defer cancel()
		if err := o.Control.ReportCompletion(ctx, j.req.Digest, j.seenRevision); err != nil {
			o.Log.Error("reporting a suspect request that completed failed", err)
		}
	})
}
