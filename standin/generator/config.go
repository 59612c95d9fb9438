package generator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Config describes a load.
type Config struct {
	// Entries are the callers' addresses of entries; Direct are engines' addresses for comparison.
	Entries []string
	Direct  []string
	// Rate is the mean arrivals per second; it is PeakFactor times that in the first quarter of each PeakPeriod.
	Rate       float64
	PeakFactor float64
	PeakPeriod time.Duration
	// Duration is the time over which requests arrive.
	Duration time.Duration
	// Model is the base model, or the prefix of Adapters adapters named "prefix-1" and so on.
	Model    string
	Adapters int
	// Zipf is the skew of the adapters' popularity, above 1.
	Zipf float64
	// Tokens is the length of short answers; LongShare of the inference requests have LongTokens and class LongClass.
	Tokens     int
	LongShare  float64
	LongTokens int
	Class      string
	LongClass  string
	// BookingShare and StockShare are shares of the arrivals that call Service.
	BookingShare float64
	StockShare   float64
	Service      string
	// FirstTokenBudget is the latency limit for the first token; a gap between tokens above StallGap is a stall.
	FirstTokenBudget time.Duration
	StallGap         time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	Seed    uint64
}

// Limits of a load, so that a misconfiguration can't overload the machine.
const (
	maxRate     = 20_000
	maxDuration = 10 * time.Minute
	maxArrivals = 2_000_000
	maxInFlight = 8_000
	maxTokens   = 32_768
)

// Defaults of a Config.
const (
	defaultPeakPeriod       = 5 * time.Second
	defaultZipf             = 1.1
	defaultTokens           = 32
	defaultFirstTokenBudget = 2 * time.Second
	defaultStallGap         = 500 * time.Millisecond
	defaultTimeout          = 60 * time.Second
)

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// withDefaults returns the config with defaults, or one error that lists all invalid settings.
func (c Config) withDefaults() (Config, error) {
	setDefault(&c.PeakFactor, 1)
	setDefault(&c.PeakPeriod, defaultPeakPeriod)
	setDefault(&c.Zipf, defaultZipf)
	setDefault(&c.Tokens, defaultTokens)
	setDefault(&c.LongTokens, 8*c.Tokens)
	setDefault(&c.Model, "base")
	setDefault(&c.Service, "orders")
	setDefault(&c.FirstTokenBudget, defaultFirstTokenBudget)
	setDefault(&c.StallGap, defaultStallGap)
	setDefault(&c.Timeout, defaultTimeout)
	var problems []string
	add := func(bad bool, format string, a ...any) {
		if bad {
			problems = append(problems, fmt.Sprintf(format, a...))
		}
	}
	add(len(c.Entries)+len(c.Direct) == 0, "no address is given")
	for _, addr := range append(append([]string{}, c.Entries...), c.Direct...) {
		a, err := netip.ParseAddrPort(addr)
		add(err != nil || !a.Addr().IsLoopback(), "%q is no loopback address of the form ip:port", addr)
	}
	add(!(c.Rate > 0 && c.Rate <= maxRate), "rate: %v is not above 0 and up to %d", c.Rate, maxRate)
	add(!(c.PeakFactor >= 1 && c.PeakFactor <= 100), "crest: %v is not between 1 and 100", c.PeakFactor)
	add(c.PeakPeriod <= 0, "swing: %v is not above 0", c.PeakPeriod)
	add(c.Duration <= 0 || c.Duration > maxDuration, "duration: %v is not above 0 and up to %v", c.Duration, maxDuration)
	add(c.Adapters < 0, "adapters: %d is below 0", c.Adapters)
	add(!(c.Zipf > 1), "zipf: %v is not above 1", c.Zipf)
	add(c.Tokens < 1 || c.Tokens > maxTokens, "tokens: %d is not between 1 and %d", c.Tokens, maxTokens)
	add(c.LongTokens < 1 || c.LongTokens > maxTokens, "long tokens: %d is not between 1 and %d", c.LongTokens, maxTokens)
	for name, share := range map[string]float64{"long": c.LongShare, "bookings": c.BookingShare, "stock": c.StockShare} {
		add(!(share >= 0 && share <= 1), "%s: %v is not between 0 and 1", name, share)
	}
	add(c.BookingShare+c.StockShare > 1, "bookings and stock together are above 1")
	add(len(c.Direct) > 0 && (c.Adapters > 0 || c.BookingShare+c.StockShare > 0), "a comparison runs on the base model only")
	if len(problems) > 0 {
		return c, errors.New("load: " + strings.Join(problems, "; "))
	}
	return c, nil
}
