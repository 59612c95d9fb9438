package generator

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// kind is what an arrival asks for.
type kind string

const (
	kindShort   kind = "short"
	kindLong    kind = "long"
	kindBooking kind = "booking"
	kindStock   kind = "stock"
)

// arrival is one request of the schedule.
type arrival struct {
	n      int
	at     time.Duration
	kind   kind
	model  string
	marker string
	tokens int
	// direct says that the request goes to an engine and not through the system.
	direct bool
}

// plan returns the arrivals of a Poisson process whose rate swings between a trough and a crest.
func plan(cfg Config) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	var popular *rand.Zipf
	if cfg.Adapters > 0 {
		popular = rand.NewZipf(rng, cfg.Zipf, 1, uint64(cfg.Adapters-1))
	}
	crest := cfg.Rate * cfg.Crest
	var list []arrival
	for at := time.Duration(0); len(list) < maxArrivals; {
		at += time.Duration(rng.ExpFloat64() / crest * float64(time.Second))
		if at >= cfg.Duration {
			break
		}
		// Thinning turns a process at the crest's rate into one that swings.
		if rng.Float64()*crest > cfg.rateAt(at) {
			continue
		}
		list = append(list, cfg.newArrival(rng, popular, len(list), at))
	}
	return list
}

// rateAt returns the rate: a quarter of each swing is the crest, the rest is so low that the mean is Rate.
func (c Config) rateAt(at time.Duration) float64 {
	const share = 0.25
	if c.Crest <= 1 {
		return c.Rate
	}
	if at%c.Swing < time.Duration(share*float64(c.Swing)) {
		return c.Rate * c.Crest
	}
	return max(0, c.Rate*(1-share*c.Crest)/(1-share))
}

func (c Config) newArrival(rng *rand.Rand, popular *rand.Zipf, n int, at time.Duration) arrival {
	a := arrival{n: n, at: at, kind: kindShort, tokens: c.Tokens, model: c.Model}
	a.marker = "mk-" + strconv.FormatUint(c.Seed, 36) + "-" + strconv.Itoa(n)
	if popular != nil {
		a.model = c.Model + "-" + strconv.FormatUint(popular.Uint64()+1, 10)
	}
	p := rng.Float64()
	switch {
	case p < c.Bookings:
		a.kind = kindBooking
	case p < c.Bookings+c.Stock:
		a.kind = kindStock
	case rng.Float64() < c.Long:
		a.kind, a.tokens = kindLong, c.LongTokens
	}
	a.direct = len(c.Direct) > 0 && (n%2 == 0 || len(c.Entries) == 0)
	return a
}
