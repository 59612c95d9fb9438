package retrier

import (
	"slices"
	"time"
)

// The size of the window of observations, the least number for a quantile, and how often it is computed afresh.
const (
	windowSize  = 512
	windowLeast = 50
	windowStep  = 32
)

// window keeps the last observations for quantiles.
type window struct {
	values []time.Duration
	next   int
	fresh  int
	sorted []time.Duration
}

func (w *window) add(d time.Duration) {
	if len(w.values) < windowSize {
		w.values = append(w.values, d)
	} else {
		w.values[w.next] = d
		w.next = (w.next + 1) % windowSize
	}
	w.fresh++
}

func (w *window) quantile(q float64) (time.Duration, bool) {
	if len(w.values) < windowLeast {
		return 0, false
	}
	if w.fresh >= windowStep || w.sorted == nil {
		w.sorted = append(w.sorted[:0], w.values...)
		slices.Sort(w.sorted)
		w.fresh = 0
	}
	return w.sorted[min(int(q*float64(len(w.sorted))), len(w.sorted)-1)], true
}
