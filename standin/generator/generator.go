package generator

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
)

// generator is one load run in progress.
type generator struct {
	cfg    Config
	client *fasthttp.Client
}

// Run sends the load and returns its measurements; a cancelled context ends the arrivals early.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &generator{cfg: cfg, client: &fasthttp.Client{
		MaxConnsPerHost:           maxInFlight,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		ReadBufferSize:            readBufferSize,
	}}
	defer g.client.CloseIdleConnections()
	return g.send(ctx, newSchedule(cfg)), nil
}

// resultQueueSize is the number of results that can wait to be recorded.
const resultQueueSize = 1024

func (g *generator) send(ctx context.Context, arrivals []arrival) *Report {
	rep := newReport(g.cfg)
	ch := make(chan result, resultQueueSize)
	var recorder conc.WaitGroup
	recorder.Go(func() {
		for res := range ch {
			rep.add(res)
		}
	})
	calls := pool.New().WithMaxGoroutines(maxInFlight)
	start := time.Now()
	for _, a := range arrivals {
		due := start.Add(a.offset)
		if !sleepUntil(ctx, due) {
			break
		}
		calls.Go(func() { ch <- g.call(a, due) })
	}
	calls.Wait()
	close(ch)
	recorder.Wait()
	rep.elapsed = time.Since(start)
	return rep
}

// sleepUntil reports whether the time was reached before the context ended.
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
