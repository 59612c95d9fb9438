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
	// Step is the base time of a step; each decoded token adds Token and each prefilled token adds Prefill.
	Step    time.Duration
	Token   time.Duration
	Prefill time.Duration
	// Chunk is the largest number of prompt tokens that one step prefills.
	Chunk int
	// Load is the time of an adapter load from the engine's own store, used when Store is nil.
	Load time.Duration
	// Store is a weight store that engines may share.
	Store *Store
	// Stall is added to the step during which a load completes.
	Stall time.Duration
	// Cache is the size of the prefix cache in tokens.
	Cache int
	// ColdStart is the time from a restart until the engine is ready.
	ColdStart time.Duration
	// Keep is how long a finished stream stays resumable.
	Keep time.Duration
	// Jitter is the largest random extension of a step, as a fraction of its time.
	Jitter float64
	// FailLoads is the probability that a load fails.
	FailLoads float64
	// Protects makes the engine refuse to unload an adapter in use.
	Protects bool
}

// Defaults of a Config.
const (
	defaultSlots   = 8
	defaultBatch   = 16
	defaultStep    = 12 * time.Millisecond
	defaultToken   = 400 * time.Microsecond
	defaultPrefill = 40 * time.Microsecond
	defaultChunk   = 512
	defaultLoad    = 250 * time.Millisecond
	defaultCache   = 64 << 10
	defaultCold    = 20 * time.Second
	defaultKeep    = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.Batch, defaultBatch)
	setDefault(&c.Step, defaultStep)
	setDefault(&c.Token, defaultToken)
	setDefault(&c.Prefill, defaultPrefill)
	setDefault(&c.Chunk, defaultChunk)
	setDefault(&c.Load, defaultLoad)
	setDefault(&c.Cache, defaultCache)
	setDefault(&c.ColdStart, defaultCold)
	setDefault(&c.Keep, defaultKeep)
	if c.Base == "" {
		c.Base = "base"
	}
	if c.Store == nil {
		c.Store = NewStore(StoreConfig{Load: c.Load})
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
	// Prompt is the number of prompt tokens. The first Shared of them are the cacheable prefix with the hash Prefix;
	// 0 for Shared means the whole prompt, 0 for Prefix turns caching off.
	Prompt int
	Prefix uint64
	Shared int
	// Output is the number of tokens to generate.
	Output int
	// Priority orders the queue; lower values run first.
	Priority int
}

// Kind is the kind of an Event.
type Kind int

// The kinds of events.
const (
	// Token: token N of a request, counted from 1, was generated.
	Token Kind = iota + 1
	// Finished: a request generated its last token.
	Finished
	// Failed: a request ended without its last token.
	Failed
	// Loaded: an adapter is resident.
	Loaded
	// LoadFailed: an adapter load failed.
	LoadFailed
	// Crashed: the engine restarted and lost all requests and adapters.
	Crashed
	// Ready: a cold start ended.
	Ready
	// Cached: a prefix was added to the cache.
	Cached
	// Dropped: a prefix was evicted from the cache.
	Dropped
)

// Event is a state change of the engine.
type Event struct {
	At     time.Time
	Kind   Kind
	ID     string
	Model  string
	N      int
	Prefix uint64
}

// Refusal is the reason for which an engine refused a call.
type Refusal int

// The reasons for refusals.
const (
	// Cold means that the engine is still starting.
	Cold Refusal = iota + 1
	// NotResident means that the adapter is not loaded.
	NotResident
	// Full means that no adapter slot is free.
	Full
	// Busy means that the adapter is in use by a request.
	Busy
	// Duplicate means that the request's ID is in use.
	Duplicate
)

// RefusedError reports a refused call, which had no effect.
type RefusedError struct {
	Refusal Refusal
	Name    string
}

// Error implements error.
func (e *RefusedError) Error() string {
	switch e.Refusal {
	case Cold:
		return "engine is starting"
	case NotResident:
		return fmt.Sprintf("adapter %q is not resident", e.Name)
	case Full:
		return fmt.Sprintf("no free slot for adapter %q", e.Name)
	case Busy:
		return fmt.Sprintf("adapter %q serves a request", e.Name)
	case Duplicate:
		return fmt.Sprintf("request %q exists", e.Name)
	}
	return fmt.Sprintf("refusal %d of %q", int(e.Refusal), e.Name)
}
