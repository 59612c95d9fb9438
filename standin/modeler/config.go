package modeler

import (
	"fmt"
	"time"
)

// Config configures an engine; zero fields take their defaults.
type Config struct {
	// Base is the name of the base model, which is always resident.
	Base string
	// Slots is the largest number of resident adapters.
	Slots int
	// Batch is the largest number of concurrent requests.
	Batch int
	// BaseStepTime is the base time of a step; each decoded token adds DecodeTime and each prefilled token adds PrefillTime.
	BaseStepTime time.Duration
	DecodeTime   time.Duration
	PrefillTime  time.Duration
	// MaxPrefillTokens is the largest number of prompt tokens that one step prefills.
	MaxPrefillTokens int
	// LoadTime is the time of an adapter load from the engine's own store, used when Store is nil.
	LoadTime time.Duration
	// Store is a weight store that engines may share.
	Store *Store
	// LoadStall is added to the step during which a load completes.
	LoadStall time.Duration
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// ColdStartTime is the time from a restart until the engine is ready.
	ColdStartTime time.Duration
	// ResumeWindow is how long a finished stream stays resumable.
	ResumeWindow time.Duration
	// Jitter is the largest random extension of a step, as a fraction of its time.
	Jitter float64
	// LoadFailureProb is the probability that a load fails.
	LoadFailureProb float64
	// RefusesUnloadInUse makes the engine refuse to unload an adapter in use.
	RefusesUnloadInUse bool
}

// Defaults of a Config.
const (
	defaultSlots            = 8
	defaultBatch            = 16
	defaultBaseStepTime     = 12 * time.Millisecond
	defaultDecodeTime       = 400 * time.Microsecond
	defaultPrefillTime      = 40 * time.Microsecond
	defaultMaxPrefillTokens = 512
	defaultLoadTime         = 250 * time.Millisecond
	defaultCacheTokens      = 64 << 10
	defaultColdStartTime    = 20 * time.Second
	defaultResumeWindow     = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.Batch, defaultBatch)
	setDefault(&c.BaseStepTime, defaultBaseStepTime)
	setDefault(&c.DecodeTime, defaultDecodeTime)
	setDefault(&c.PrefillTime, defaultPrefillTime)
	setDefault(&c.MaxPrefillTokens, defaultMaxPrefillTokens)
	setDefault(&c.LoadTime, defaultLoadTime)
	setDefault(&c.CacheTokens, defaultCacheTokens)
	setDefault(&c.ColdStartTime, defaultColdStartTime)
	setDefault(&c.ResumeWindow, defaultResumeWindow)
	if c.Base == "" {
		c.Base = "base"
	}
	if c.Store == nil {
		c.Store = NewStore(StoreConfig{LoadTime: c.LoadTime})
	}
	return c
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Request is one generation.
type Request struct {
	ID    string
	Model string
	// PromptTokens is the number of prompt tokens. The first PrefixTokens of them are the cacheable prefix with the hash
	// Prefix; 0 for PrefixTokens means the whole prompt, 0 for Prefix turns caching off.
	PromptTokens int
	Prefix       uint64
	PrefixTokens int
	// OutputTokens is the number of tokens to generate.
	OutputTokens int
	// Priority orders the queue; lower values run first.
	Priority int
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	// Token means that token N of a request, counted from 1, was generated.
	Token EventKind = iota + 1
	// Finished means that a request generated its last token.
	Finished
	// Failed means that a request ended without its last token.
	Failed
	// Loaded means that an adapter is resident.
	Loaded
	// LoadFailed means that an adapter load failed.
	LoadFailed
	// Crashed means that the engine restarted and lost all requests and adapters.
	Crashed
	// Ready means that a cold start ended.
	Ready
	// Cached means that a prefix was added to the cache.
	Cached
	// Evicted means that a prefix was evicted from the cache.
	Evicted
)

// Event is a state change of the engine.
type Event struct {
	At     time.Time
	Kind   EventKind
	ID     string
	Model  string
	N      int
	Prefix uint64
}

// RefusalReason is the reason why an engine refused a call.
type RefusalReason int

// The reasons for refusals.
const (
	// Starting means that a cold start is in progress.
	Starting RefusalReason = iota + 1
	// NotResident means that the adapter is not loaded.
	NotResident
	// NoFreeSlot means that no adapter slot is free.
	NoFreeSlot
	// AdapterInUse means that the adapter is in use by a request.
	AdapterInUse
	// DuplicateRequest means that the request's ID is in use.
	DuplicateRequest
)

// RefusedError reports a refused call, which had no effect.
type RefusedError struct {
	Reason RefusalReason
	Name   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	switch e.Reason {
	case Starting:
		return "engine is starting"
	case NotResident:
		return fmt.Sprintf("adapter %q is not resident", e.Name)
	case NoFreeSlot:
		return fmt.Sprintf("no free slot for adapter %q", e.Name)
	case AdapterInUse:
		return fmt.Sprintf("adapter %q serves a request", e.Name)
	case DuplicateRequest:
		return fmt.Sprintf("request %q exists", e.Name)
	}
	return fmt.Sprintf("refusal %d of %q", int(e.Reason), e.Name)
}
