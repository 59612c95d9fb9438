package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/generator"
)

// booking holds an idempotency key, how often it was sent, and the outcomes and answers that its caller received.
type booking struct {
	key      string
	attempts int
	outcomes []string
	answers  []string
}

const (
	outcomeDone   = "done"
	outcomeNotRun = "not-run"
)

// runCaller sends one booking after another until ctx is done.
func (s *Soaker) runCaller(ctx context.Context, caller int, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		b := &booking{key: fmt.Sprintf("soak-%d-%d-%d", s.cfg.Seed, caller, n)}
		s.mu.Lock()
		s.bookings[b.key] = b
		s.mu.Unlock()
		s.book(ctx, b, rng)
	}
}

// book sends a booking to a random entry and retries until it is done, maxAttempts is reached or ctx is done.
func (s *Soaker) book(ctx context.Context, b *booking, rng *rand.Rand) {
	entries := s.deployment.CallerAddrs()
	for b.attempts < maxAttempts {
		b.attempts++
		outcome, body := s.send(entries[rng.IntN(len(entries))], b.key)
		b.outcomes = append(b.outcomes, outcome)
		if outcome == outcomeDone {
			b.answers = append(b.answers, body)
		}
		// One finished booking in eight is sent again and must get the first answer.
		if outcome == outcomeDone && (len(b.answers) > 1 || rng.IntN(8) != 0) {
			return
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(retryInterval)
	}
}

// send sends a booking once; on a transport error it returns an empty outcome and the error's text as the body.
func (s *Soaker) send(addr, key string) (outcome, body string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+addr+"/services/orders/bookings", strings.NewReader(`{"item":"crate","quantity":1}`))
	if err != nil {
		return "", err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(marker.IdempotencyKey, key)
	res, err := s.client.Do(req)
	if err != nil {
		return "", err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return "", err.Error()
	}
	return res.Header.Get(marker.Outcome), string(b)
}

// countRuns returns how often each key ran, summed over all order services.
func (s *Soaker) countRuns() (map[string]int, error) {
	runs := make(map[string]int)
	for _, si := range s.deployment.Standins() {
		if !si.IsPlain() {
			continue
		}
		ledgerRuns, err := s.readLedger(si.Addr())
		for attempt := 1; err != nil && attempt < maxLedgerAttempts; attempt++ {
			time.Sleep(retryInterval)
			ledgerRuns, err = s.readLedger(si.Addr())
		}
		if err != nil {
			return nil, err
		}
		for key, n := range ledgerRuns {
			runs[key] += n
		}
	}
	return runs, nil
}

func (s *Soaker) readLedger(addr string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/ledger", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	res, err := s.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read ledger")
	}
	defer res.Body.Close()
	var ledger struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.NewDecoder(res.Body).Decode(&ledger); err != nil {
		return nil, errors.Wrap(err, "decode ledger")
	}
	return ledger.Runs, nil
}

// buildReport compares the outcomes that callers received with how often each key ran.
func (s *Soaker) buildReport(runs map[string]int, chats *generator.Report) *Report {
	r := &Report{Faults: s.faults, Services: s.serviceFaults, Engines: s.engineFaults, Bookings: len(s.bookings)}
	for _, b := range s.bookings {
		r.Resent += b.attempts - 1
		switch {
		case len(b.answers) > 0:
			r.Done++
		case b.isNotRun():
			r.NotRun++
		default:
			r.Unknown++
		}
		if v := b.violation(runs[b.key]); v != "" {
			r.Violations = append(r.Violations, v)
		}
	}
	for _, row := range chats.Rows() {
		r.Chats = row.Outcomes()
		r.Violations = append(r.Violations, undetectableFailures(row.Outcomes())...)
	}
	slices.Sort(r.Violations)
	return r
}

// undetectableFailures reports incomplete or wrong answers that a caller couldn't detect; callers do see a cut connection.
func undetectableFailures(outcomes map[string]int) []string {
	var list []string
	for _, o := range []string{"broken", "wrong"} {
		if n := outcomes[o]; n > 0 {
			list = append(list, fmt.Sprintf("%d chats are %s", n, o))
		}
	}
	return list
}

// isNotRun reports whether every attempt returned the outcome not-run.
func (b *booking) isNotRun() bool {
	return !slices.ContainsFunc(b.outcomes, func(o string) bool { return o != outcomeNotRun })
}

// violation returns the rule that the booking broke, or "", given how often its key ran.
func (b *booking) violation(runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("%s ran %d times: %v", b.key, runs, b.outcomes)
	case len(b.answers) > 0 && runs != 1:
		return fmt.Sprintf("%s is done and ran %d times: %v", b.key, runs, b.outcomes)
	case len(b.outcomes) > 0 && b.isNotRun() && runs != 0:
		return fmt.Sprintf("%s is not run and ran %d times: %v", b.key, runs, b.outcomes)
	}
	for _, a := range b.answers {
		if a != b.answers[0] || !strings.Contains(a, b.key) {
			return fmt.Sprintf("%s has the answers %v", b.key, b.answers)
		}
	}
	return ""
}
