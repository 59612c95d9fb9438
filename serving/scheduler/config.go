package scheduler

import (
	"time"

	"redwingstage.org/serving/admitter"
	"redwingstage.org/serving/placer"
)

// Part is a part of the policy that can be switched off for comparisons; no part guards correctness.
type Part uint

// The parts of the policy.
const (
	// PartClasses has urgent work go before waiting work.
	PartClasses Part = 1 << iota
	// PartPass refuses work that can't meet its budget here, so that it goes on to the next candidate.
	PartPass
	// PartLongShare bounds the share of long jobs in a batch.
	PartLongShare
	// PartRates chooses victims by their decayed rate of use rather than by recency.
	PartRates
	// PartStragglers gives stragglers no new loads.
	PartStragglers
	// PartWorth has adapters that are used less than all that a server holds tried at the next candidate.
	PartWorth
)

// Config holds the bounds of a scheduler.
type Config struct {
	// Queue bounds the queue of each server.
	Queue admitter.Config
	// LongShare is the share of a batch that long jobs may take.
	LongShare float64
	// LongTokens is the observed length from which a job counts as long.
	LongTokens int
	// LoadsPerServer bounds the permits that are asked for or held for one server.
	LoadsPerServer int
	// PermitRetry is the wait after a permit was denied.
	PermitRetry time.Duration
	// PermitLost is the time after which an unanswered request for a permit is repeated.
	PermitLost time.Duration
	// LoadSlow is the time after which work waiting for a load passes on to other candidates.
	LoadSlow time.Duration
	// LoadLost is the time after which an order without an answer counts as failed.
	LoadLost time.Duration
	// LoadRetry is the first wait after a failed load.
	LoadRetry time.Duration
	// LoadAttempts is the number of failed loads after which waiting work is refused.
	LoadAttempts int
	// LoadCool is how long work for an adapter is passed on after its load failed.
	LoadCool time.Duration
	// DrainAfter is how long a load waits for a slot before a used adapter gets no new work.
	DrainAfter time.Duration
	// SilentAfter is the longest gap in a stream; SilentFirst the longest wait for its first token.
	SilentAfter time.Duration
	SilentFirst time.Duration
	// SilentPlain is the longest wait for a plain service.
	SilentPlain time.Duration
	// MaxReportAge is how long ago a server must have been asked for its last report for work to be sent to it.
	MaxReportAge time.Duration
	// CancelRetry is the time after which an unconfirmed cancel is repeated.
	CancelRetry time.Duration
	// AlarmLead is how long before its latest start waiting work is reported as at risk.
	AlarmLead time.Duration
	// Off names the parts of the policy that are switched off.
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
