package modeler

import (
	"fmt"
	"time"
)

// Config sizes a modelled engine; a zero field takes its default.
type Config struct {
	// Base is the name of the base model, which is always resident.
	Base string
	// Slots is the number of adapters that fit.
	Slots int
	// Batch is the number of requests that run at once.
	Batch int
	// Step is the time of a step with an empty batch; Token and Prefill are added for each decoded and prefilled token.
	Step    time.Duration
	Token   time.Duration
	Prefill time.Duration
	// Chunk is the number of prompt tokens that one step prefills at most.
	Chunk int
	// Load is the time of an adapter load from a store of its own, used when Store is nil.
	Load time.Duration
	// Store is the weight store that several engines share.
	Store *Store
	// Stall is added to the step during which a load completes.
	Stall time.Duration
	// Cache is the memory for prompt prefixes in tokens.
	Cache int
	// ColdStart is the time from a restart until the engine is ready.
	ColdStart time.Duration
	// Keep is how long a finished stream stays resumable.
	Keep time.Duration
	// Jitter is the largest share by which a step is longer than computed.
	Jitter float64
	// FailLoads is the probability that a load fails.
	FailLoads float64
	// Protects makes the engine refuse to unload an adapter that serves a request.
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
	// Prompt is the number of prompt tokens, of which the first Shared are the prefix that Prefix names.
	// Without Shared, the whole prompt is the prefix.
	Prompt int
	Prefix uint64
	Shared int
	// Output is the number of tokens to generate.
	Output int
	// Priority 0 goes first.
	Priority int
}

// Kind is what happened in an Event.
type Kind int

// The kinds of events.
const (
	// Token says that token N of a request, counted from 1, was generated.
	Token Kind = iota + 1
	// Finished says that a request generated its last token.
	Finished
	// Failed says that a request ended without its last token.
	Failed
	// Loaded says that an adapter is resident.
	Loaded
	// LoadFailed says that an adapter load failed.
	LoadFailed
	// Crashed says that the engine restarted; all requests and adapters are gone.
	Crashed
	// Ready says that a cold start ended.
	Ready
	// Cached says that a prefix entered the cache.
	Cached
	// Dropped says that a prefix left the cache.
	Dropped
)

// Event is something that the engine did.
type Event struct {
	At     time.Time
	Kind   Kind
	ID     string
	Model  string
	N      int
	Prefix uint64
}

// Refusal is why an engine refused a call.
type Refusal int

// The refusals.
const (
	// Cold means that the engine has not started yet.
	Cold Refusal = iota + 1
	// NotResident means that the adapter is not loaded.
	NotResident
	// Full means that no adapter slot is free.
	Full
	// Busy means that the adapter serves a request.
	Busy
	// Duplicate means that the request's ID is in use.
	Duplicate
)

// RefusedError says that an engine refused a call, which had no effect.
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
