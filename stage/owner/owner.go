package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/booker"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/meter"
	"redwingstage.org/stage/sender"
	"redwingstage.org/stage/streamer"
)

const (
	handoverTimeout = 15 * time.Second
	tickInterval    = 10 * time.Millisecond
	pollInterval    = time.Second
	// After one lost poll the last report is still recent enough to send new requests, see scheduler.DefaultMaxReportAge.
	pollTimeout    = time.Second
	syncInterval   = time.Second
	silenceTimeout = 5 * time.Second
	inboxSize      = 1024
)

// Control is the part of the control role that the owner uses.
type Control interface {
	Catalog() *configurer.Catalog
	Roster() *registrar.Roster
	Standing(d quarantiner.Digest) quarantiner.Standing
	Updated() <-chan struct{}
	LeaseEnd() time.Time
	Permit(ctx context.Context, req registrar.LoadRequest) (registrar.Permit, error)
	ReturnPermit(p registrar.Permit, used bool)
	ReportCrash(ctx context.Context, server string, ds []quarantiner.Digest) error
	// ReportCompletion reports that a suspect request completed in a run that began at roster revision seen.
	ReportCompletion(ctx context.Context, d quarantiner.Digest, seen uint64) error
	ReleaseServer(ctx context.Context, server string, pinned []configurer.Target) error
}

// Decider schedules jobs, adapter loads and servers.
type Decider interface {
	Handle(now time.Time, ev scheduler.Event) []scheduler.Action
	// HasNoUnloadsInFlight reports whether the server has no unload order in flight.
	HasNoUnloadsInFlight(server string) bool
	// Load returns the server's sent and queued jobs as a fraction of its batch size.
	Load(server string) float64
	// IsSlow reports whether the server is a straggler.
	IsSlow(now time.Time, server string) bool
}

// Deps are the dependencies of an Owner.
type Deps struct {
	Control Control
	Decider Decider
	Sender  *sender.Sender
	Booker  *booker.Booker
	Homes   Homes
	Meter   *meter.Meter
	Log     *logger.Component
}

// Option configures an Owner.
type Option func(*Owner)

// WithIsolationLimit sets how long an owner without a lease keeps sending to resident adapters; all entries need the same value.
func WithIsolationLimit(d time.Duration) Option { return func(o *Owner) { o.isolationLimit = d } }

// Owner owns some of the backend servers: only it sends them requests and orders.
type Owner struct {
	Deps
	id             booker.Identity
	isolationLimit time.Duration
	// skipClaims disables claims, so that a test can show that it detects copies at several servers.
	skipClaims  bool
	lastAttempt atomic.Uint64
	claims      *claimStore
	feedbacks   atomic.Pointer[map[string]streamer.Feedback]
	inbox       chan func()
	ctx         context.Context
	stop        context.CancelFunc
	loop        conc.WaitGroup
	tasks       conc.WaitGroup

	// The fields below are accessed only by the goroutine of run.
	owned          map[string]*ownedServer
	jobs           map[retrier.Attempt]*job
	permitRequests map[permitKey]*permitRequest
	// permitWaits records how long loads have waited for a permit, across all requests for it.
	permitWaits  map[permitKey]permitWait
	leaseValid   bool
	leaseEndedAt time.Time
	syncedAt     time.Time
	draining     bool
	// reportedSuspects holds the digests that this entry reported after a crash; true once their standing was Suspect here.
	reportedSuspects map[quarantiner.Digest]bool
	// handovers holds the servers being handed over, until their release was reported to the control leader.
	handovers map[string]*pendingHandover
	// reportingServerEnd is set while the actions being executed result from the end of a server's process.
	reportingServerEnd bool
	drained            chan struct{}
}

// New starts the owner of the entry process with the given identity.
func New(id booker.Identity, deps Deps, opts ...Option) *Owner {
	ctx, stop := context.WithCancel(context.Background())
	o := &Owner{
		Deps: deps, id: id, isolationLimit: registrar.IsolationLimit, inbox: make(chan func(), inboxSize), ctx: ctx, stop: stop,
		owned: make(map[string]*ownedServer), jobs: make(map[retrier.Attempt]*job), permitRequests: make(map[permitKey]*permitRequest), permitWaits: make(map[permitKey]permitWait),
		handovers: make(map[string]*pendingHandover), reportedSuspects: make(map[quarantiner.Digest]bool), claims: newClaimStore(),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.loop.Go(o.run)
	return o
}

// run is the event loop, which alone accesses the control state.
func (o *Owner) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	updated := o.Control.Updated()
	o.leaseValid = waiter.IsBefore(time.Now(), o.Control.LeaseEnd())
	o.sync(time.Now())
	for {
		select {
		case f := <-o.inbox:
			f()
		case <-updated:
			updated = o.Control.Updated()
			o.sync(time.Now())
		case <-ticker.C:
			o.tick(time.Now())
		case <-o.ctx.Done():
			return
		}
	}
}

// post queues f for the event loop; it returns false once the owner is closed.
func (o *Owner) post(f func()) bool {
	select {
	case o.inbox <- f:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// await runs f in the event loop and returns its result; ok is false once the owner is closed. The loop may end with f in
// its queue.
func (o *Owner) await(f func() bool) (result, ok bool) {
	done := make(chan bool, 1)
	if !o.post(func() { done <- f() }) {
		return false, false
	}
	select {
	case result = <-done:
		return result, true
	case <-o.ctx.Done():
		return false, false
	}
}

// postEvent queues an event for the scheduler; it returns false once the owner is closed.
func (o *Owner) postEvent(ev scheduler.Event) bool {
	return o.post(func() { o.handleEvent(ev) })
}

func (o *Owner) handleEvent(ev scheduler.Event) {
	o.execute(o.Decider.Handle(time.Now(), ev))
}

func (o *Owner) tick(now time.Time) {
	o.checkLease(now)
	if now.Sub(o.syncedAt) >= syncInterval {
		// A server released after a refused order is owned again if the roster still lists this entry as its owner.
		o.sync(now)
	}
	for _, srv := range o.owned {
		if !srv.polling && !now.Before(srv.nextPoll) {
			o.poll(srv)
		}
	}
	o.handleEvent(scheduler.Tick{})
	o.Meter.SetOwned(len(o.owned), len(o.jobs))
	o.finishHandovers(now)
	o.publishFeedback(now)
	o.checkDrained()
}

// checkLease stops orders when the lease ends, and releases all servers once the isolation limit has passed.
func (o *Owner) checkLease(now time.Time) {
	valid := waiter.IsBefore(now, o.Control.LeaseEnd())
	switch {
	case valid && !o.leaseValid:
		o.leaseValid = true
		o.Log.Info("lease is valid", "")
		o.readopt(now)
	case !valid && o.leaseValid:
		o.leaseValid, o.leaseEndedAt = false, now
		o.Log.Warn("lease has ended, no orders until it is renewed", "")
		o.handleEvent(scheduler.LeaseLost{})
	case !valid && !o.leaseEndedAt.IsZero() && now.Sub(o.leaseEndedAt) > o.isolationLimit:
		o.leaseEndedAt = time.Time{}
		for _, srv := range o.owned {
			o.release(srv)
		}
	}
	o.Meter.SetLeaseValid(valid)
}

func (o *Owner) newAttempt() retrier.Attempt {
	return retrier.NewAttempt(o.id.Entry, o.id.Incarnation, o.lastAttempt.Add(1))
}

// Drain hands over all servers with their pinned adapters and waits for the last open request; it returns ctx's error if ctx ends first.
func (o *Owner) Drain(ctx context.Context) error {
	defer o.claims.close()
	drained := make(chan struct{})
	ok := o.post(func() {
		o.draining, o.drained = true, drained
		for _, srv := range o.owned {
			o.handover(srv)
		}
		o.checkDrained()
	})
	if !ok {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *Owner) checkDrained() {
	if o.drained != nil && len(o.jobs) == 0 && len(o.handovers) == 0 {
		close(o.drained)
		o.drained = nil
	}
}

// Close cancels all open requests and waits for every goroutine.
func (o *Owner) Close() {
	o.claims.close()
	o.stop()
	o.loop.Wait()
	o.tasks.Wait()
	for _, j := range o.jobs {
		j.releaseClaim()
	}
}
