package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"redwingstage.org/stage/rehearser"
	"redwingstage.org/standin/generator"
)

// Config sets the faults and the load of a soak test.
type Config struct {
	// Seed determines the faults and the callers' choices, but not the processes' timing.
	Seed uint64
	// Duration is how long faults are injected and load is sent.
	Duration time.Duration
	// Callers is the number of concurrent callers; each has one booking in flight.
	Callers int
	// ChatRate is the rate of streamed chats per second; other callers send them.
	ChatRate float64
	// Log receives a line for each fault; it may be nil.
	Log func(string)
}

const (
	minDuration       = 500 * time.Millisecond
	maxFaultInterval  = 2500 * time.Millisecond
	maxSuspension     = 8 * time.Second
	maxDowntime       = 3 * time.Second
	lateRunWait       = 20 * time.Second
	requestTimeout    = 20 * time.Second
	maxAttempts       = 60
	retryInterval     = 150 * time.Millisecond
	maxLedgerAttempts = 20
	chatTokens        = 60
)

// Report is the result of a soak test; Resent counts retries and repeated bookings.
type Report struct {
	Bookings int `json:"bookings"`
	Done     int `json:"done"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	Resent   int `json:"resent"`
	Faults   int `json:"faults"`
	// Services and Engines count the faults injected into the stand-ins of plain services and into engines.
	Services int `json:"services"`
	Engines  int `json:"engines"`
	// Chats counts streamed chats by the outcome that their callers received.
	Chats map[string]int `json:"chats"`
	// Violations are broken rules; there must be none.
	Violations []string `json:"violations"`
}

// Soaker injects faults into a deployment and records its callers' bookings.
type Soaker struct {
	cfg        Config
	deployment *rehearser.Rehearser
	client     *http.Client

	mu            sync.Mutex
	bookings      map[string]*booking
	faulted       map[string]bool
	faults        int
	serviceFaults int
	engineFaults  int
}

// New returns a Soaker for a running deployment.
func New(cfg Config, deployment *rehearser.Rehearser) *Soaker {
	return &Soaker{
		cfg:        cfg,
		deployment: deployment,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Callers}, Timeout: requestTimeout},
		bookings:   make(map[string]*booking),
		faulted:    make(map[string]bool),
	}
}

// Run sends load and injects faults for cfg.Duration, ends all faults, and checks the ledgers for violations.
func (s *Soaker) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Duration)
	defer cancel()
	var wg conc.WaitGroup
	for i := range s.cfg.Callers {
		rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i+1)))
		wg.Go(func() { s.runCaller(ctx, i, rng) })
	}
	var chats *generator.Report
	var chatErr error
	wg.Go(func() { chats, chatErr = generator.Run(ctx, s.chatLoad()) })
	err := s.injectFaults(ctx, rand.New(rand.NewPCG(s.cfg.Seed, 0)))
	wg.Wait()
	if err := errors.Join(err, chatErr); err != nil {
		return nil, err
	}
	// A booking reported as not run must not run later either.
	time.Sleep(lateRunWait)
	runs, err := s.countRuns()
	if err != nil {
		return nil, err
	}
	return s.buildReport(runs, chats), nil
}

// chatLoad returns the load of streamed chats that runs beside the bookings.
func (s *Soaker) chatLoad() generator.Config {
	return generator.Config{
		Entries: s.deployment.CallerAddrs(), Rate: s.cfg.ChatRate, Duration: s.cfg.Duration, Tokens: chatTokens, Seed: s.cfg.Seed,
	}
}

// injectFaults injects faults, which may overlap, until ctx is done, and returns when all have ended.
func (s *Soaker) injectFaults(ctx context.Context, rng *rand.Rand) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(randomDuration(rng, minDuration, maxFaultInterval)):
		}
		f := s.pickFault(rng)
		if !s.beginFault(f.target) {
			continue
		}
		s.log(f.String())
		if err := f.start(s.deployment); err != nil {
			return errors.Wrap(err, f.String())
		}
		wg.Go(func() {
			time.Sleep(f.duration)
			if err := f.end(s.deployment); err != nil {
				s.log(fmt.Sprintf("%s: %v", f, err))
			}
			s.endFault(f.target)
		})
	}
}

func randomDuration(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}

func (s *Soaker) log(line string) {
	if s.cfg.Log != nil {
		s.cfg.Log(line)
	}
}
