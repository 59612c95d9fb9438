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

// newParts fills in what options didn't replace.
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

// seedOf gives each run of each entry its own jitter.
func seedOf(cfg Config) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cfg.Name))
	return h.Sum64() ^ cfg.Incarnation
}
