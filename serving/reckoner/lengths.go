package reckoner

import (
	"math"
	"slices"
)

const (
	// lengthSamples is the number of answers kept of each kind, minLengths that from which they count.
	lengthSamples = 64
	minLengths    = 16
	// lengthQuantile is the quantile of the answers that is expected: too little room costs a running request its place, too
	// much costs a wait.
	lengthQuantile = 0.8
	// hintFactor is how many times the hint is expected until answers were seen.
	hintFactor = 1.5
)

// Lengths learns how long the answers of a service are; it is not safe for concurrent use.
type Lengths struct {
	// byHint are the ratios to the caller's hint, byMost the shares of the most that the answer may have.
	byHint, byMost ratios
}

// ratios are the latest ratios of one kind.
type ratios struct {
	samples []float64
	next    int
	expect  float64
}

func (r *ratios) add(v float64) {
	if len(r.samples) < lengthSamples {
		r.samples = append(r.samples, v)
	} else {
		r.samples[r.next] = v
		r.next = (r.next + 1) % lengthSamples
	}
	if len(r.samples) >= minLengths {
		sorted := slices.Sorted(slices.Values(r.samples))
		r.expect = sorted[int(lengthQuantile*float64(len(sorted)-1))]
	}
}

// Learn records an answer's tokens beside the caller's hint and the most that it could have had; 0 means not known.
func (l *Lengths) Learn(hint, most, tokens int) {
	if tokens <= 0 {
		return
	}
	if hint > 0 {
		l.byHint.add(float64(tokens) / float64(hint))
	}
	if most > 0 {
		l.byMost.add(min(float64(tokens)/float64(most), 1))
	}
}

// Expect returns the tokens that an answer is expected to have, not more than the most; 0 means not known.
func (l *Lengths) Expect(hint, most int) int {
	factor, base := l.byHint.expect, hint
	switch {
	case hint <= 0:
		factor, base = l.byMost.expect, most
		if factor == 0 {
			factor = 1
		}
	case factor == 0:
		factor = hintFactor
	}
	n := int(math.Ceil(factor * float64(max(base, 0))))
	if most > 0 {
		return min(n, most)
	}
	return n
}
