package balancer

import (
	"time"

	"redwingstage.org/serving/profiler"
)

// idleLoad is the load that a request counts for at an idle server of usual speed, as a share of the slots: among idle
// servers the fast one is preferred, too.
const idleLoad = 0.25

// speed is how fast a server is in relation to its service's median, as the leader learnt it; 0 means not known.
type speed struct{ step, prefill float64 }

// SetSpeeds records speeds of servers that changed; if all is set, the others have the usual speed.
func (b *Balancer) SetSpeeds(list []profiler.Speed, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if all {
		for _, s := range b.servers {
			s.speed = speed{}
		}
	}
	for _, v := range list {
		if s := b.servers[v.Server]; s != nil && v.Step > 0 && v.Prefill > 0 {
			s.speed = speed{step: float64(v.Step) / profiler.Usual, prefill: float64(v.Prefill) / profiler.Usual}
		}
	}
}

// RecordEvents records that a number of events of a choice's stream came that long after the event before.
func (b *Balancer) RecordEvents(now time.Time, c Choice, n int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[c.Key.ID]; s != nil && s.Key == c.Key {
		b.samples.AddEvents(c.Key.ID, b.load(now, s), n, took)
	}
}

// RecordFirstEvent records how long a choice's server took from the whole prompt to its first event. It is no evidence of
// the server's speed if the request may have waited there for a slot or for other prompts.
func (b *Balancer) RecordFirstEvent(now time.Time, c Choice, tokens int, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[c.Key.ID]
	if s == nil || s.Key != c.Key || tokens < minTimedTokens || c.PrefillTokens > 0 || c.Running > max(c.Slots, 1) {
		return
	}
	b.samples.AddPrompt(c.Service, c.Key.ID, b.load(now, s), tokens, took)
}

// SpeedSamples returns what was recorded since the last call.
func (b *Balancer) SpeedSamples() []profiler.Sample {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.samples.Take()
}

// loadBySpeed returns the load at which a server of usual speed is as slow as this one.
func (s *server) loadBySpeed(load float64) float64 {
	if s.speed.step == 0 {
		return load
	}
	return (load+idleLoad)/s.speed.step - idleLoad
}

// prefillRateOf returns how many tokens a server prefills for each that a usual one does.
func (s *server) prefillRateOf() float64 {
	if s.speed.prefill == 0 {
		return 1
	}
	return s.speed.prefill
}
