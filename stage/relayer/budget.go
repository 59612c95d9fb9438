package relayer

import (
	"sync"
	"time"
)

// usableBudgetShare is the share of the retry budget that entries use; the rest covers differences in their clocks and counts.
const usableBudgetShare = 0.6

// retryBudget is a token bucket that bounds this entry's retries to its part of what all entries may send together.
type retryBudget struct {
	share  float64
	slack  float64
	window time.Duration

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget(share, slack float64, window time.Duration, now time.Time) *retryBudget {
	return &retryBudget{share: usableBudgetShare * share, slack: usableBudgetShare * slack, window: window, refilledAt: now, tokens: 1}
}

// countRequest adds the tokens that one request earns.
func (b *retryBudget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += b.share
}

// spend takes a token for one retry and reports whether there was one; entries is how many entries share the slack.
func (b *retryBudget) spend(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := b.slack / float64(max(entries, 1))
	b.tokens += slack * float64(now.Sub(b.refilledAt)) / float64(b.window)
	b.refilledAt = now
	b.tokens = min(b.tokens, max(2*slack, 2))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
