package retrier

import (
	"slices"
	"time"
)

// Limits of the window, in observations: its size, the least for a quantile, and new ones until it is sorted again.
const (
	windowSize       = 512
	windowMinSamples = 50
	windowSortEvery  = 32
)

// window keeps the latest observations for quantiles.
type window struct {
	values   []time.Duration
	next     int
	unsorted int
	sorted   []time.Duration
}

func (w *window) add(d time.Duration) {
	if len(w.values) < windowSize {
		w.values = append(w.values, d)
	} else {
		w.values[w.next] = d
		w.next = (w.next + 1) % windowSize
	}
	w.unsorted++
}

func (w *window) quantile(q float64) (time.Duration, bool) {
	if len(w.values) < windowMinSamples {
		return 0, false
	}
	if w.unsorted >= windowSortEvery || w.sorted == nil {
		w.sorted = append(w.sorted[:0], w.values...)
		slices.Sort(w.sorted)
		w.unsorted = 0
	}
	return w.sorted[min(int(q*float64(len(w.sorted))), len(w.sorted)-1)], true
}
