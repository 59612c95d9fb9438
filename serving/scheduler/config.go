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
	// PartPass refuses work that can't meet its time limits here, so that the next candidate is tried.
	PartPass
	// PartLongShare bounds the share of long jobs in a batch.
	PartLongShare
	// PartRates evicts by decayed rate of use rather than by recency.
	PartRates
	// PartStragglers gives stragglers no new loads.
	PartStragglers
	// PartWorth refuses loads of adapters that are used less than all that the server holds.
	PartWorth
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
	// PermitRetry is the wait after a permit was denied.
	PermitRetry time.Duration
	// PermitLost is the time after which a permit without an answer is requested again.
	PermitLost time.Duration
	// LoadSlow is how long jobs that have other candidates wait for a load.
	LoadSlow time.Duration
	// LoadLost is the time after which an order without an answer counts as failed.
	LoadLost time.Duration
	// LoadRetry is the first backoff after a failed load.
	LoadRetry time.Duration
	// LoadAttempts is the number of failed loads after which waiting work is refused.
	LoadAttempts int
	// LoadCool is how long work for an adapter is refused after its load failed.
	LoadCool time.Duration
	// DrainAfter is how long a load waits for a slot before an adapter in use is drained.
	DrainAfter time.Duration
	// SilentAfter is the longest time without progress in a stream; SilentFirst that before its first token.
	SilentAfter time.Duration
	SilentFirst time.Duration
	// SilentPlain is the longest time without progress at a service without a model.
	SilentPlain time.Duration
	// MaxReportAge is the largest age of a server's last report, from its request, at which work is sent.
	MaxReportAge time.Duration
	// CancelRetry is the time after which an unconfirmed cancel is repeated.
	CancelRetry time.Duration
	// AlarmLead is how long before its latest start waiting work is reported as at risk.
	AlarmLead time.Duration
	// Off is the set of parts that are switched off.
	Off Part
}

// Default bounds of a scheduler.
const (
	DefaultLongShare      = 0.375
	DefaultLongTokens     = 800
	DefaultLoadsPerServer = 2
	DefaultPermitRetry    = 100 * time.Millisecond
	DefaultPermitLost     = 2 * time.Second
	DefaultLoadSlow       = 1500 * time.Millisecond
	DefaultLoadLost       = 15 * time.Second
	DefaultLoadRetry      = 200 * time.Millisecond
	DefaultLoadAttempts   = 3
	DefaultLoadCool       = 3 * time.Second
	DefaultDrainAfter     = 250 * time.Millisecond
	DefaultSilentAfter    = 2 * time.Second
	DefaultSilentFirst    = 8 * time.Second
	DefaultSilentPlain    = 15 * time.Second
	DefaultMaxReportAge   = 2500 * time.Millisecond
	DefaultCancelRetry    = time.Second
	DefaultAlarmLead      = 5 * time.Minute
)

func (c Config) withDefaults() Config {
	orFloat(&c.LongShare, DefaultLongShare)
	orInt(&c.LongTokens, DefaultLongTokens)
	orInt(&c.LoadsPerServer, DefaultLoadsPerServer)
	orInt(&c.LoadAttempts, DefaultLoadAttempts)
	orTime(&c.PermitRetry, DefaultPermitRetry)
	orTime(&c.PermitLost, DefaultPermitLost)
	orTime(&c.LoadSlow, DefaultLoadSlow)
	orTime(&c.LoadLost, DefaultLoadLost)
	orTime(&c.LoadRetry, DefaultLoadRetry)
	orTime(&c.LoadCool, DefaultLoadCool)
	orTime(&c.DrainAfter, DefaultDrainAfter)
	orTime(&c.SilentAfter, DefaultSilentAfter)
	orTime(&c.SilentFirst, DefaultSilentFirst)
	orTime(&c.SilentPlain, DefaultSilentPlain)
	orTime(&c.MaxReportAge, DefaultMaxReportAge)
	orTime(&c.CancelRetry, DefaultCancelRetry)
	orTime(&c.AlarmLead, DefaultAlarmLead)
	if c.Off&PartClasses != 0 {
		c.Queue.FIFO = true
	}
	return c
}

func (c Config) has(p Part) bool { return c.Off&p == 0 }

func (c Config) victimRule() placer.Rule {
	if c.has(PartRates) {
		return placer.ByRate
	}
	return placer.ByRecency
}

func orInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func orFloat(v *float64, def float64) {
	if *v <= 0 {
		*v = def
	}
}

func orTime(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}
