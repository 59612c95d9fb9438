package generator

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
)

// run is one load in progress.
type run struct {
	cfg    Config
	client *fasthttp.Client
}

// Run sends the load and returns what was measured; a cancelled context ends the arrivals early.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &run{cfg: cfg, client: &fasthttp.Client{
		MaxConnsPerHost:           maxInFlight,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		ReadBufferSize:            readBuffer,
	}}
	defer g.client.CloseIdleConnections()
	return g.send(ctx, plan(cfg)), nil
}

// results holds the answers that wait to be counted.
const results = 1024

func (g *run) send(ctx context.Context, arrivals []arrival) *Report {
	rep := newReport(g.cfg)
	ch := make(chan result, results)
	var counter conc.WaitGroup
	counter.Go(func() {
		for res := range ch {
			rep.add(res)
		}
	})
	calls := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for _, a := range arrivals {
		due := start.Add(a.at)
		if !sleepUntil(ctx, due) {
			break
		}
		calls.Go(func() { ch <- g.call(a, due) })
	}
	calls.Wait()
	close(ch)
	counter.Wait()
	rep.elapsed = time.Since(start)
	return rep
}

// sleepUntil reports whether the time came before the context ended.
func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
