package scheduler

import (
	"time"

	"redwingstage.org/serving/admitter"
	"redwingstage.org/serving/placer"
)

// Part is a part of the policy that can be switched off for comparisons; correctness needs none.
type Part uint

// The parts of the policy.
const (
	// PartClasses sends urgent work before waiting work.
	PartClasses Part = 1 << iota
	// PartRefuseLate refuses work that can't meet its time limits here, so that the next candidate is tried.
	PartRefuseLate
	// PartLongShare bounds the share of long jobs in a batch.
	PartLongShare
	// PartEvictByRate evicts by decayed rate of use rather than by recency.
	PartEvictByRate
	// PartStragglers gives stragglers no new loads.
	PartStragglers
	// PartRefuseRareLoads refuses loads of adapters that are used less than all that the server holds.
	PartRefuseRareLoads
)

// Config holds the bounds of a scheduler.
type Config struct {
	// Queue bounds the queue of each server.
	Queue admitter.Config
	// LongShare is the share of a batch that long jobs may take.
	LongShare float64
	// LongTokens is the number of tokens from which a job counts as long.
	LongTokens int
	// LoadsPerServer bounds one server's permits, requested or held, and loads in flight.
	LoadsPerServer int
	// PermitRetryDelay is the wait after a permit was denied.
	PermitRetryDelay time.Duration
	// PermitTimeout is the time after which a permit without an answer is requested again.
	PermitTimeout time.Duration
	// SlowLoadAfter is how long jobs that have other candidates wait for a load.
	SlowLoadAfter time.Duration
	// OrderTimeout is the time after which an order without an answer counts as failed.
	OrderTimeout time.Duration
	// LoadBackoff is the first backoff after a failed load.
	LoadBackoff time.Duration
	// LoadAttempts is the number of failed loads after which waiting work is refused.
	LoadAttempts int
	// LoadCooldown is how long work for an adapter is refused after its load failed.
	LoadCooldown time.Duration
	// DrainAfter is how long a load waits for a slot before an adapter in use is drained.
	DrainAfter time.Duration
	// TokenGapTimeout is the longest time without progress in a stream; FirstTokenTimeout that before its first token.
	TokenGapTimeout   time.Duration
	FirstTokenTimeout time.Duration
	// PlainServiceTimeout is the longest time without progress at a service without a model.
	PlainServiceTimeout time.Duration
	// MaxReportAge is the largest age of a server's last report, from its request, at which work is sent.
	MaxReportAge time.Duration
	// CancelRetryInterval is the time after which an unconfirmed cancel is repeated.
	CancelRetryInterval time.Duration
	// DeadlineAlarmLead is how long before its latest start waiting work is reported as at risk.
	DeadlineAlarmLead time.Duration
	// Off is the set of parts that are switched off.
	Off Part
}

// Default bounds of a scheduler.
const (
	DefaultLongShare           = 0.375
	DefaultLongTokens          = 800
	DefaultLoadsPerServer      = 2
	DefaultPermitRetryDelay    = 100 * time.Millisecond
	DefaultPermitTimeout       = 2 * time.Second
	DefaultSlowLoadAfter       = 1500 * time.Millisecond
	DefaultOrderTimeout        = 15 * time.Second
	DefaultLoadBackoff         = 200 * time.Millisecond
	DefaultLoadAttempts        = 3
	DefaultLoadCooldown        = 3 * time.Second
	DefaultDrainAfter          = 250 * time.Millisecond
	DefaultTokenGapTimeout     = 2 * time.Second
	DefaultFirstTokenTimeout   = 8 * time.Second
	DefaultPlainServiceTimeout = 15 * time.Second
	DefaultMaxReportAge        = 2500 * time.Millisecond
	DefaultCancelRetryInterval = time.Second
	DefaultDeadlineAlarmLead   = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	defaultFloat(&c.LongShare, DefaultLongShare)
	defaultInt(&c.LongTokens, DefaultLongTokens)
	defaultInt(&c.LoadsPerServer, DefaultLoadsPerServer)
	defaultInt(&c.LoadAttempts, DefaultLoadAttempts)
	defaultDuration(&c.PermitRetryDelay, DefaultPermitRetryDelay)
	defaultDuration(&c.PermitTimeout, DefaultPermitTimeout)
	defaultDuration(&c.SlowLoadAfter, DefaultSlowLoadAfter)
	defaultDuration(&c.OrderTimeout, DefaultOrderTimeout)
	defaultDuration(&c.LoadBackoff, DefaultLoadBackoff)
	defaultDuration(&c.LoadCooldown, DefaultLoadCooldown)
	defaultDuration(&c.DrainAfter, DefaultDrainAfter)
	defaultDuration(&c.TokenGapTimeout, DefaultTokenGapTimeout)
	defaultDuration(&c.FirstTokenTimeout, DefaultFirstTokenTimeout)
	defaultDuration(&c.PlainServiceTimeout, DefaultPlainServiceTimeout)
	defaultDuration(&c.MaxReportAge, DefaultMaxReportAge)
	defaultDuration(&c.CancelRetryInterval, DefaultCancelRetryInterval)
	defaultDuration(&c.DeadlineAlarmLead, DefaultDeadlineAlarmLead)
	if c.Off&PartClasses != 0 {
		c.Queue.FIFO = true
	}
	return c
}

func (c Config) enabled(p Part) bool { return c.Off&p == 0 }

func (c Config) victimRule() placer.Rule {
	if c.enabled(PartEvictByRate) {
		return placer.ByRate
	}
	return placer.ByRecency
}

func defaultInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func defaultFloat(v *float64, def float64) {
	if *v <= 0 {
		*v = def
	}
}

func defaultDuration(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}
