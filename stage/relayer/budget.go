package relayer

import (
	"sync"
	"time"
)

// budgetShare is the share of the retry budget that entries use; the rest covers differences in their clocks and counts.
const budgetShare = 0.6

// budget is a token bucket that bounds this entry's retries to its part of what all entries may send together.
type budget struct {
	share  float64
	slack  float64
	window time.Duration

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func newBudget(share, slack float64, window time.Duration, now time.Time) *budget {
	return &budget{share: budgetShare * share, slack: budgetShare * slack, window: window, at: now, tokens: 1}
}

// arrive adds the tokens that one request earns.
func (b *budget) arrive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += b.share
}

// spend takes a token for one retry and reports whether there was one; entries is how many entries share the slack.
func (b *budget) spend(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack := b.slack / float64(max(entries, 1))
	b.tokens += slack * float64(now.Sub(b.at)) / float64(b.window)
	b.at = now
	b.tokens = min(b.tokens, max(2*slack, 2))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
