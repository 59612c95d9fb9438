package generator

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// kind is the type of request that an arrival sends.
type kind string

const (
	kindShort   kind = "short"
	kindLong    kind = "long"
	kindBooking kind = "booking"
	kindStock   kind = "stock"
)

// arrival is one request of the schedule; offset is its send time since the start of the run.
type arrival struct {
	n      int
	offset time.Duration
	kind   kind
	model  string
	marker string
	tokens int
	// direct means that the request goes to an engine and bypasses the system.
	direct bool
}

// newSchedule returns the arrivals of a Poisson process whose rate alternates between peaks and a lower rate.
func newSchedule(cfg Config) []arrival {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	var popularity *rand.Zipf
	if cfg.Adapters > 0 {
		popularity = rand.NewZipf(rng, cfg.Zipf, 1, uint64(cfg.Adapters-1))
	}
	peak := cfg.Rate * cfg.PeakFactor
	var list []arrival
	for at := time.Duration(0); len(list) < maxArrivals; {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= cfg.Duration {
			break
		}
		// Thinning turns a process at the peak rate into one of varying rate.
		if rng.Float64()*peak > cfg.rateAt(at) {
			continue
		}
		list = append(list, cfg.newArrival(rng, popularity, len(list), at))
	}
	return list
}

// rateAt returns the arrival rate: the first quarter of each PeakPeriod is the peak; the rest is low enough that the mean is Rate.
func (c Config) rateAt(at time.Duration) float64 {
	const peakShare = 0.25
	if c.PeakFactor <= 1 {
		return c.Rate
	}
	if at%c.PeakPeriod < time.Duration(peakShare*float64(c.PeakPeriod)) {
		return c.Rate * c.PeakFactor
	}
	return max(0, c.Rate*(1-peakShare*c.PeakFactor)/(1-peakShare))
}

func (c Config) newArrival(rng *rand.Rand, popularity *rand.Zipf, n int, at time.Duration) arrival {
	a := arrival{n: n, offset: at, kind: kindShort, tokens: c.Tokens, model: c.Model}
	a.marker = "mk-" + strconv.FormatUint(c.Seed, 36) + "-" + strconv.Itoa(n)
	if popularity != nil {
		a.model = c.Model + "-" + strconv.FormatUint(popularity.Uint64()+1, 10)
	}
	p := rng.Float64()
	switch {
	case p < c.BookingShare:
		a.kind = kindBooking
	case p < c.BookingShare+c.StockShare:
		a.kind = kindStock
	case rng.Float64() < c.LongShare:
		a.kind, a.tokens = kindLong, c.LongTokens
	}
	a.direct = len(c.Direct) > 0 && (n%2 == 0 || len(c.Entries) == 0)
	return a
}
