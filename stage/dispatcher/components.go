package dispatcher

import (
	"hash/fnv"
	"io"

	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/sender"
)

// newComponents applies the options and sets the defaults of the other components.
func newComponents(cfg Config, opts []Option) *components {
	seed := jitterSeed(cfg)
	c := &components{
		decider: scheduler.New(scheduler.Config{}, seed),
		router:  router.New(router.Config{Zone: cfg.Zone}, seed),
		retrier: retrier.New(retrier.Config{}, seed),
	}
	for _, o := range opts {
		o(c)
	}
	if c.sender == nil {
		c.sender = sender.New()
	}
	if c.log == nil {
		c.log = logger.New(io.Discard, "error")
	}
	if c.registry == nil {
		c.registry = newRegistry()
	}
	return c
}

// jitterSeed returns a seed that differs between entries and their incarnations, so that their jitter does.
func jitterSeed(cfg Config) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Name))
	return h.Sum64() ^ cfg.Incarnation
}
