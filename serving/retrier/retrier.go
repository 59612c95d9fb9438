package retrier

import (
	"math/rand/v2"
	"time"
)

// Config holds the limits of retries and hedges of one entry.
type Config struct {
	// RetryShare and HedgeShare are the tokens that each request adds to the budgets.
	RetryShare float64
	HedgeShare float64
	// Burst is the largest number of tokens in a budget.
	Burst float64
	// MaxTries limits the attempts of a request that were sent or that used up all candidates.
	MaxTries int
	// Backoff is the first wait; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// HedgeQuantile is the share of first tokens that arrive before a hedge is sent.
	HedgeQuantile float64
	// MinHedgeDelay is the least wait before a hedge.
	MinHedgeDelay time.Duration
}

// Default limits of a retrier.
const (
	DefaultRetryShare    = 0.1
	DefaultHedgeShare    = 0.05
	DefaultBurst         = 20
	DefaultMaxTries      = 3
	DefaultBackoff       = 50 * time.Millisecond
	DefaultMaxBackoff    = 2 * time.Second
	DefaultHedgeQuantile = 0.95
	DefaultMinHedgeDelay = 50 * time.Millisecond
)

// Request holds the state of a request that a decision depends on.
type Request struct {
	Idempotent bool
	Urgent     bool
	// Deadline is the time from which an answer is useless; zero means none.
	Deadline time.Time
	// Tries counts the attempts that were sent, and the rounds in which every candidate refused.
	Tries int
	// MayHaveRun means that an earlier attempt may have run.
	MayHaveRun bool
	// Delivered means that part of the answer reached the caller, so that only a resumed attempt may follow.
	Delivered bool
}

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	// Refused means that the owner or server refused the attempt before running it.
	Refused bool
	// Final means that another attempt would be refused as well, for example because of quarantine.
	Final bool
	// HasMoreCandidates means that another candidate is left.
	HasMoreCandidates bool
	// RetryAfter is the wait that a refusal requests.
	RetryAfter time.Duration
}

// Step is the next action for a request.
type Step int

// The steps after an attempt.
const (
	// Finish passes the outcome to the caller and cancels any other attempt of the request.
	Finish Step = iota
	// Next offers the request to the next candidate at once.
	Next
	// Retry routes the request again after the wait.
	Retry
)

// Decision is the step after an attempt and its parameters.
type Decision struct {
	Step Step
	// After is the wait before a retry, and with Finish the retry-after hint to the caller.
	After time.Duration
	// Outcome is the outcome reported to the caller with Finish.
	Outcome Outcome
}

// Retrier decides on retries and hedges for one entry; it isn't safe for concurrent use.
type Retrier struct {
	cfg              Config
	rng              *rand.Rand
	retryTokens      float64
	hedgeTokens      float64
	firstTokenDelays window
}

// New returns a retrier with full budgets; zero limits take their defaults.
func New(cfg Config, seed uint64) *Retrier {
	setDefault(&cfg.RetryShare, DefaultRetryShare)
	setDefault(&cfg.HedgeShare, DefaultHedgeShare)
	setDefault(&cfg.Burst, DefaultBurst)
	setDefault(&cfg.MaxTries, DefaultMaxTries)
	setDefault(&cfg.Backoff, DefaultBackoff)
	setDefault(&cfg.MaxBackoff, DefaultMaxBackoff)
	setDefault(&cfg.HedgeQuantile, DefaultHedgeQuantile)
	setDefault(&cfg.MinHedgeDelay, DefaultMinHedgeDelay)
	return &Retrier{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, seed^0xa0761d6478bd642f)),
		retryTokens: cfg.Burst, hedgeTokens: cfg.Burst,
	}
}

// Begin adds the shares of a new request to the budgets.
func (r *Retrier) Begin() {
	r.retryTokens = min(r.retryTokens+r.cfg.RetryShare, r.cfg.Burst)
	r.hedgeTokens = min(r.hedgeTokens+r.cfg.HedgeShare, r.cfg.Burst)
}

// Decide returns the step after an attempt's result; a retry takes a token from the budget.
func (r *Retrier) Decide(now time.Time, req Request, res Result) Decision {
	if res.Outcome == Done {
		return Decision{Step: Finish, Outcome: Done}
	}
	mayHaveRun := req.MayHaveRun || res.Outcome == Unknown
	finish := Decision{Step: Finish, Outcome: NotRun, After: max(res.RetryAfter, r.cfg.Backoff)}
	if mayHaveRun {
		finish.Outcome = Unknown
	}
	switch {
	case res.Final, req.Delivered, mayHaveRun && !req.Idempotent, isPast(now, req.Deadline):
		return finish
	case res.Outcome == NotRun && res.Refused && res.HasMoreCandidates:
		return Decision{Step: Next}
	case req.Tries >= r.cfg.MaxTries:
		return finish
	}
	wait := r.backoff(req.Tries)
	if res.Refused {
		wait = max(wait, min(res.RetryAfter, r.cfg.MaxBackoff))
	}
	if !req.Deadline.IsZero() && !now.Add(wait).Before(req.Deadline) || !takeToken(&r.retryTokens) {
		return finish
	}
	return Decision{Step: Retry, After: wait}
}

// HedgeAfter returns how long after the send a request without a first token may be hedged; false means not at all.
func (r *Retrier) HedgeAfter(req Request) (time.Duration, bool) {
	if !req.Idempotent || !req.Urgent || req.Delivered {
		return 0, false
	}
	q, ok := r.firstTokenDelays.quantile(r.cfg.HedgeQuantile)
	return max(q, r.cfg.MinHedgeDelay), ok
}

// TakeHedge takes a token from the hedge budget and reports whether a hedge may be sent.
func (r *Retrier) TakeHedge() bool { return takeToken(&r.hedgeTokens) }

// ObserveFirst records the time from a send to its first token.
func (r *Retrier) ObserveFirst(took time.Duration) { r.firstTokenDelays.add(took) }

// Budgets returns the tokens left for retries and hedges.
func (r *Retrier) Budgets() (retries, hedges float64) { return r.retryTokens, r.hedgeTokens }

// backoff returns a random wait between half of the exponential step and the whole.
func (r *Retrier) backoff(tries int) time.Duration {
	d := r.cfg.Backoff
	for range tries {
		d = min(2*d, r.cfg.MaxBackoff)
	}
	return d/2 + time.Duration(r.rng.Int64N(int64(d/2)+1))
}

func takeToken(budget *float64) bool {
	if *budget < 1 {
		return false
	}
	*budget--
	return true
}

func isPast(now, t time.Time) bool { return !t.IsZero() && !now.Before(t) }

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
