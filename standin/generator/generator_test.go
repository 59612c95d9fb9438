package generator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"redwingstage.org/standin/faulter"
	"redwingstage.org/standin/inferer"
	"redwingstage.org/standin/modeler"
)

func newEngine(c *quicktest.C) *inferer.Server {
	s, err := inferer.New(inferer.Config{
		Name: "engine-1", Addr: "127.0.0.1:0", Service: "base",
		Model: modeler.Config{Batch: 64, BaseStepTime: 200 * time.Microsecond, DecodeTime: time.Microsecond},
	})
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { c.Assert(s.Close(), quicktest.IsNil) })
	return s
}

func TestNewSchedule(t *testing.T) {
	c := quicktest.New(t)
	cfg, err := Config{
		Entries: []string{"127.0.0.1:1"}, Rate: 1000, PeakFactor: 3, PeakPeriod: time.Second, Duration: 20 * time.Second,
		Model: "wall", Adapters: 100, LongShare: 0.1, BookingShare: 0.2, StockShare: 0.3, Seed: 7,
	}.withDefaults()
	c.Assert(err, quicktest.IsNil)
	list := newSchedule(cfg)
	c.Assert(slices.Equal(list, newSchedule(cfg)), quicktest.IsTrue)
	kinds, models, atPeak := map[kind]int{}, map[string]int{}, 0
	for _, a := range list {
		kinds[a.kind]++
		models[a.model]++
		if a.offset%time.Second < time.Second/4 {
			atPeak++
		}
	}
	near := func(got, want int) { // within 10 %; the seed is fixed
		c.Assert(got > want*9/10 && got < want*11/10, quicktest.IsTrue, quicktest.Commentf("%d, wanted %d", got, want))
	}
	near(len(list), 20_000)
	near(atPeak, 15_000) // three times the rate for a quarter of the time
	near(kinds[kindBooking], 4000)
	near(kinds[kindStock], 6000)
	near(kinds[kindLong], 1000)
	c.Assert(models["wall-1"] > 10*models["wall-50"], quicktest.IsTrue)
}

func TestRunMeasuresWholeAnswers(t *testing.T) {
	c := quicktest.New(t)
	s := newEngine(c)
	cfg := Config{
		Entries: []string{s.Addr()}, Direct: []string{s.Addr()}, Rate: 2000, Duration: 100 * time.Millisecond, Tokens: 5, Seed: 1,
		Timeout: time.Hour, FirstTokenBudget: time.Hour, StallGap: time.Hour, // independent of the machine's speed
	}
	rep, err := Run(context.Background(), cfg)
	c.Assert(err, quicktest.IsNil)
	c.Assert(rep.Rows(), quicktest.HasLen, 2)
	for _, row := range rep.Rows() {
		c.Assert(row.Outcomes(), quicktest.DeepEquals, map[string]int{"done": row.Count()})
		c.Assert(row.Tokens(), quicktest.Equals, 5*row.Count())
		c.Assert(row.GoodCount(), quicktest.Equals, row.Count())
		c.Assert(row.Stalls(), quicktest.Equals, 0)
		c.Assert(row.FirstToken(50) > 0 && row.FirstToken(99) <= row.Total(100), quicktest.IsTrue)
	}
	_, ok := rep.Compare()
	c.Assert(ok, quicktest.IsTrue)
	b, err := json.Marshal(rep)
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(b), quicktest.Contains, `"comparison":{"first50":`)
}

func TestRunDetectsWrongAnswers(t *testing.T) {
	tests := []struct {
		fault   faulter.AnswerFault
		outcome string
	}{
		{faulter.Truncated, outcomeBroken},
		{faulter.Doubled, outcomeWrong},
		{faulter.Misrouted, outcomeWrong},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			c := quicktest.New(t)
			s := newEngine(c)
			c.Assert(s.SetFaults(faulter.Faults{Answer: tt.fault}), quicktest.IsNil)
			rep, err := Run(context.Background(), Config{Entries: []string{s.Addr()}, Rate: 200, Duration: 50 * time.Millisecond, Tokens: 6, Seed: 1})
			c.Assert(err, quicktest.IsNil)
			row := rep.Rows()[0]
			c.Assert(row.Count() > 0, quicktest.IsTrue)
			c.Assert(row.Outcomes(), quicktest.DeepEquals, map[string]int{tt.outcome: row.Count()})
			c.Assert(row.GoodCount(), quicktest.Equals, 0)
		})
	}
}

// TestRunChecksServiceCalls answers bookings correctly and stock checks with another item, and rejects other requests as not run.
func TestRunChecksServiceCalls(t *testing.T) {
	c := quicktest.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/services/orders/bookings" {
			_, _ = w.Write([]byte(`{"key":"` + r.Header.Get("Idempotency-Key") + `"}`))
			return
		}
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte(`{"item":"of another"}`))
			return
		}
		w.Header().Set("Redwing-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(ln) }()
	defer func() { _ = srv.Close(); <-served }()
	rep, err := Run(context.Background(), Config{
		Entries: []string{ln.Addr().String()}, Rate: 1000, Duration: 100 * time.Millisecond, BookingShare: 0.3, StockShare: 0.3, Seed: 1,
	})
	c.Assert(err, quicktest.IsNil)
	want := map[string]string{"short": outcomeNotRun, "booking": outcomeDone, "stock": outcomeWrong}
	c.Assert(rep.Rows(), quicktest.HasLen, 3)
	for _, row := range rep.Rows() {
		c.Assert(row.Outcomes(), quicktest.DeepEquals, map[string]int{want[row.Name()]: row.Count()})
	}
}

func TestConfigErrors(t *testing.T) {
	c := quicktest.New(t)
	_, err := Run(context.Background(), Config{
		Entries: []string{"10.0.0.1:80", "localhost:80"}, Direct: []string{"127.0.0.1:1"}, Adapters: 3,
		Rate: 1e6, Duration: time.Hour, LongShare: 2, Zipf: 0.5,
	})
	for _, want := range []string{
		`"10.0.0.1:80" is no loopback address`, `"localhost:80" is no loopback`, `rate: 1e\+06 is not`, `duration: 1h0m0s is not`,
		`long: 2 is not between 0 and 1`, `zipf: 0.5 is not above 1`, `base model only`,
	} {
		c.Assert(err, quicktest.ErrorMatches, ".*"+want+".*")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rep, err := Run(ctx, Config{Entries: []string{"127.0.0.1:1"}, Rate: 10, Duration: time.Minute})
	c.Assert(err, quicktest.IsNil)
	c.Assert(rep.Rows(), quicktest.HasLen, 0)
}
