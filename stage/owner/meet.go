package owner

import (
	"context"
	"sync"

	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/streamer"
)

// Homes claims places for requests at other entries; free releases a claim, and meet is the server where copies run instead.
type Homes interface {
	Claim(ctx context.Context, addr string, d quarantiner.Digest, p quarantiner.Place, m quarantiner.Mode) (
		free func(), meet string, ok bool, err error)
}

// keeper holds the claims of the requests whose home is this entry.
type keeper struct {
	mu      sync.Mutex
	claims  *quarantiner.Claims
	closing chan struct{}
	once    sync.Once
}

func newKeeper() *keeper {
	return &keeper{claims: quarantiner.NewClaims(), closing: make(chan struct{})}
}

func (k *keeper) close() { k.once.Do(func() { close(k.closing) }) }

// Claim records the server that a request is sent to, or returns the server where copies of it run.
func (o *Owner) Claim(d quarantiner.Digest, p quarantiner.Place, m quarantiner.Mode) (free func(), meet string, ok bool) {
	k := o.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	meet, ok = k.claims.Take(d, p, m)
	if !ok {
		return nil, meet, false
	}
	return sync.OnceFunc(func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.claims.Free(d, p)
	}), "", true
}

// Closing returns a channel that is closed once this entry stops holding claims.
func (o *Owner) Closing() <-chan struct{} { return o.keeper.closing }

// claim is a job's claim at its home.
type claim struct {
	mu   sync.Mutex
	give func()
	over bool
}

// free releases the job's claim, also one that is set later.
func (j *job) free() {
	j.claim.mu.Lock()
	give := j.claim.give
	j.claim.give, j.claim.over = nil, true
	j.claim.mu.Unlock()
	if give != nil {
		give()
	}
}

func (j *job) hold(give func()) {
	j.claim.mu.Lock()
	over := j.claim.over
	if !over {
		j.claim.give = give
	}
	j.claim.mu.Unlock()
	if over {
		give()
	}
}

func (j *job) mode() quarantiner.Mode {
	switch {
	case j.job.Standing == quarantiner.Suspect:
		return quarantiner.Alone
	case j.req.Hedge:
		return quarantiner.Hedged
	}
	return quarantiner.Shared
}

// meet claims the job's place at the first home that answers. If none answers, the request isn't sent and its entry
// retries: the roster soon lists other homes in place of those that are gone. A booking needs no claim:
// its record lets each key run once, and answers a copy.
func (o *Owner) meet(j *job) (streamer.End, bool) {
	if o.scattered || j.proven || j.req.IsBooking() || len(j.req.Homes) == 0 {
		return streamer.End{}, true
	}
	place := quarantiner.Place{Server: j.server.Name, Incarnation: j.server.Incarnation}
	for _, h := range j.req.Homes {
		var free func()
		var meet string
		var ok bool
		var err error
		if h.Entry == o.id.Entry {
			free, meet, ok = o.Claim(j.req.Digest, place, j.mode())
		} else {
			free, meet, ok, err = o.Homes.Claim(j.ctx, h.Addr, j.req.Digest, place, j.mode())
		}
		switch {
		case err != nil:
			o.Log.Warn("claim not answered by "+h.Entry+": "+err.Error(), j.req.ID)
			continue
		case !ok:
			end := refused(streamer.ReasonElsewhere, "a copy of the request runs elsewhere")
			end.Meet = meet
			return end, false
		}
		j.hold(free)
		return streamer.End{}, true
	}
	return refused(streamer.ReasonElsewhere, "no entry tells whether a copy of the request runs elsewhere"), false
}

// revision returns the roster's revision, or 0 without a roster.
func (o *Owner) revision() uint64 {
	if r := o.Control.Roster(); r != nil {
		return r.Revision()
	}
	return 0
}

// absolve reports a suspect request that completed.
func (o *Owner) absolve(a scheduler.Absolve) {
	j := o.jobs[a.Attempt]
	if j == nil {
		return
	}
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, accuseTimeout)
		defer cancel()
		if err := o.Control.Absolve(ctx, j.req.Digest, j.seen); err != nil {
			o.Log.Error("reporting a suspect request that completed failed", err)
		}
	})
}
