package owner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

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
	handoverLimit = 15 * time.Second
	tickInterval  = 10 * time.Millisecond
	pollInterval  = time.Second
	// After one lost poll the last report is still recent enough to send new requests, see scheduler.DefaultMaxReportAge.
	pollTimeout  = time.Second
	syncInterval = time.Second
	silentLimit  = 5 * time.Second
	inboxSize    = 1024
)

// Control is the part of the control role that the owner uses.
type Control interface {
	Catalog() *configurer.Catalog
	Roster() *registrar.Roster
	Standing(d quarantiner.Digest) quarantiner.Standing
	Updated() <-chan struct{}
	LeaseEnd() time.Time
	Permit(ctx context.Context, ask registrar.PermitAsk) (registrar.Permit, error)
	Return(p registrar.Permit, used bool)
	Accuse(ctx context.Context, server string, ds []quarantiner.Digest) error
	// Absolve reports that a suspect request completed in a run that began at roster revision seen.
	Absolve(ctx context.Context, d quarantiner.Digest, seen uint64) error
	Release(ctx context.Context, server string, pinned []configurer.Target) error
}

// Decider schedules jobs, adapter loads and servers.
type Decider interface {
	Handle(now time.Time, ev scheduler.Event) []scheduler.Action
	// IsSettled reports whether the server has no unload order in flight.
	IsSettled(server string) bool
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
	Log     *logger.Part
}

// Option configures an Owner.
type Option func(*Owner)

// WithIsolationLimit sets how long an owner without a lease keeps sending to resident adapters; all entries need the same value.
func WithIsolationLimit(d time.Duration) Option { return func(o *Owner) { o.isolation = d } }

// Owner owns some of the backend servers: only it sends them requests and orders.
type Owner struct {
	Deps
	id        booker.Identity
	isolation time.Duration
	// scattered disables claims, so that a test can show that it detects copies at several servers.
	scattered bool
	next      atomic.Uint64
	keeper    *keeper
	known     atomic.Pointer[map[string]streamer.Feedback]
	inbox     chan func()
	ctx       context.Context
	stop      context.CancelFunc
	loop      conc.WaitGroup
	tasks     conc.WaitGroup

	// The fields below are accessed only by the goroutine of run.
	held map[string]*held
	jobs map[retrier.Attempt]*job
	asks map[ask]*asking
	// wanted records how long loads have waited for a permit, across all requests for it.
	wanted  map[ask]want
	leased  bool
	lapsed  time.Time
	synced  time.Time
	closing bool
	// accused holds the digests that this entry reported after a crash; true once their standing was Suspect here.
	accused map[quarantiner.Digest]bool
	// handing holds the servers being handed over, until their release was reported to the control leader.
	handing map[string]*handing
	// going says that the actions being executed result from the end of a server's process.
	going   bool
	drained chan struct{}
}

// New starts the owner of the entry process with the given identity.
func New(id booker.Identity, deps Deps, opts ...Option) *Owner {
	ctx, stop := context.WithCancel(context.Background())
	o := &Owner{
		Deps: deps, id: id, isolation: registrar.IsolationLimit, inbox: make(chan func(), inboxSize), ctx: ctx, stop: stop,
		held: make(map[string]*held), jobs: make(map[retrier.Attempt]*job), asks: make(map[ask]*asking), wanted: make(map[ask]want),
		handing: make(map[string]*handing), accused: make(map[quarantiner.Digest]bool), keeper: newKeeper(),
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
	o.leased = time.Now().Before(o.Control.LeaseEnd())
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

// feed queues an event for the scheduler; it returns false once the owner is closed.
func (o *Owner) feed(ev scheduler.Event) bool {
	return o.post(func() { o.handle(ev) })
}

func (o *Owner) handle(ev scheduler.Event) {
	o.execute(o.Decider.Handle(time.Now(), ev))
}

func (o *Owner) tick(now time.Time) {
	o.checkLease(now)
	if now.Sub(o.synced) >= syncInterval {
		// A server released after a refused order is owned again if the roster still lists this entry as its owner.
		o.sync(now)
	}
	for _, h := range o.held {
		if !h.polling && !now.Before(h.nextPoll) {
			o.poll(h)
		}
	}
	o.handle(scheduler.Tick{})
	o.Meter.Owned(len(o.held), len(o.jobs))
	o.finishHandovers(now)
	o.publish(now)
	o.checkDrained()
}

// checkLease stops orders when the lease ends, and releases all servers once the isolation limit has passed.
func (o *Owner) checkLease(now time.Time) {
	valid := now.Before(o.Control.LeaseEnd())
	switch {
	case valid && !o.leased:
		o.leased = true
		o.Log.Info("lease is valid", "")
		o.readopt(now)
	case !valid && o.leased:
		o.leased, o.lapsed = false, now
		o.Log.Warn("lease has ended, no orders until it is renewed", "")
		o.handle(scheduler.LeaseLost{})
	case !valid && !o.lapsed.IsZero() && now.Sub(o.lapsed) > o.isolation:
		o.lapsed = time.Time{}
		for _, h := range o.held {
			o.release(h)
		}
	}
	o.Meter.Lease(valid)
}

func (o *Owner) attempt() retrier.Attempt {
	return retrier.NewAttempt(o.id.Entry, o.id.Incarnation, o.next.Add(1))
}

// Drain hands over all servers with their pinned adapters and waits for the last open request; it returns ctx's error if ctx ends first.
func (o *Owner) Drain(ctx context.Context) error {
	defer o.keeper.close()
	drained := make(chan struct{})
	ok := o.post(func() {
		o.closing, o.drained = true, drained
		for _, h := range o.held {
			o.handover(h)
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
	if o.drained != nil && len(o.jobs) == 0 && len(o.handing) == 0 {
		close(o.drained)
		o.drained = nil
	}
}

// Close cancels all open requests and waits for every goroutine.
func (o *Owner) Close() {
	o.keeper.close()
	o.stop()
	o.loop.Wait()
	o.tasks.Wait()
	for _, j := range o.jobs {
		j.free()
	}
}
