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

// newParts applies the options and sets the defaults of the other components.
func newParts(cfg Config, opts []Option) *parts {
	seed := seedOf(cfg)
	p := &parts{
		decider: scheduler.New(scheduler.Config{}, seed),
		router:  router.New(router.Config{Zone: cfg.Zone}, seed),
		retrier: retrier.New(retrier.Config{}, seed),
	}
	for _, o := range opts {
		o(p)
	}
	if p.sender == nil {
		p.sender = sender.New()
	}
	if p.log == nil {
		p.log = logger.New(io.Discard, "error")
	}
	if p.registry == nil {
		p.registry = newRegistry()
	}
	return p
}

// seedOf returns a seed that differs between entries and their incarnations, so that their jitter does.
func seedOf(cfg Config) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Name))
	return h.Sum64() ^ cfg.Incarnation
}
