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

// Config sizes a soak.
type Config struct {
	// Seed decides the faults and the callers' choices; the processes' timing is their own.
	Seed uint64
	// Length is how long faults strike.
	Length time.Duration
	// Callers is the number of callers that book at once, each one booking after the other.
	Callers int
	// Chats is the number of streamed chats a second, from callers of their own.
	Chats float64
	// Log is told of each fault; it may be nil.
	Log func(string)
}

const (
	minPause    = 500 * time.Millisecond
	maxPause    = 2500 * time.Millisecond
	maxFreeze   = 8 * time.Second
	maxDown     = 3 * time.Second
	settle      = 20 * time.Second
	tryTimeout  = 20 * time.Second
	maxTries    = 60
	retryPause  = 150 * time.Millisecond
	ledgerTries = 20
	chatTokens  = 60
)

// Report is what a soak found.
type Report struct {
	Bookings int `json:"bookings"`
	Done     int `json:"done"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	Resent   int `json:"resent"`
	Faults   int `json:"faults"`
	// Services and Engines are the faults that struck stand-ins.
	Services int `json:"services"`
	Engines  int `json:"engines"`
	// Chats counts streamed chats by what their callers saw.
	Chats map[string]int `json:"chats"`
	// Violations are broken rules; there must be none.
	Violations []string `json:"violations"`
}

// Soaker strikes one deployment.
type Soaker struct {
	cfg  Config
	dep  *rehearser.Rehearser
	http *http.Client

	mu       sync.Mutex
	bookings map[string]*booking
	struck   map[string]bool
	faults   int
	services int
	engines  int
}

// New returns a soaker of a running deployment.
func New(cfg Config, dep *rehearser.Rehearser) *Soaker {
	return &Soaker{
		cfg:      cfg,
		dep:      dep,
		http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Callers}, Timeout: tryTimeout},
		bookings: make(map[string]*booking),
		struck:   make(map[string]bool),
	}
}

// Run books and strikes for the length of the soak, heals everything, and checks what ran.
func (s *Soaker) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Length)
	defer cancel()
	var wg conc.WaitGroup
	for i := range s.cfg.Callers {
		rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(i+1)))
		wg.Go(func() { s.call(ctx, i, rng) })
	}
	var chats *generator.Report
	var chatErr error
	wg.Go(func() { chats, chatErr = generator.Run(ctx, s.chats()) })
	err := s.strike(ctx, rand.New(rand.NewPCG(s.cfg.Seed, 0)))
	wg.Wait()
	if err := errors.Join(err, chatErr); err != nil {
		return nil, err
	}
	// What was reported as not run must not run later either.
	time.Sleep(settle)
	runs, err := s.ledgers()
	if err != nil {
		return nil, err
	}
	return s.report(runs, chats), nil
}

// chats is the load of streamed chats beside the bookings.
func (s *Soaker) chats() generator.Config {
	return generator.Config{
		Entries: s.dep.Callers(), Rate: s.cfg.Chats, Duration: s.cfg.Length, Tokens: chatTokens, Seed: s.cfg.Seed,
	}
}

// strike lets one fault follow the other until the time is over; whatever is down or frozen then comes back.
func (s *Soaker) strike(ctx context.Context, rng *rand.Rand) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(between(rng, minPause, maxPause)):
		}
		f := s.draw(rng)
		if !s.begin(f.target) {
			continue
		}
		s.log(f.String())
		if err := f.start(s.dep); err != nil {
			return errors.Wrap(err, f.String())
		}
		wg.Go(func() {
			time.Sleep(f.length)
			if err := f.end(s.dep); err != nil {
				s.log(fmt.Sprintf("%s: %v", f, err))
			}
			s.end(f.target)
		})
	}
}

func between(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}

func (s *Soaker) log(line string) {
	if s.cfg.Log != nil {
		s.cfg.Log(line)
	}
}
