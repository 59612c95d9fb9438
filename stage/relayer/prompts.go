package relayer

import (
	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/prefixer"
	"redwingstage.org/stage/governor"
)

// promptOf returns a request's prompt as far as engines of the service may have cached its beginning; an empty one if their memory or
// the prompt's parts are unknown.
func (e *Relayer) promptOf(c *call, s *matcher.Service) balancer.Prompt {
	if s.MemoryTokens <= 0 || e.headers.ParsePrompt == nil {
		return balancer.Prompt{}
	}
	parts := e.headers.ParsePrompt(c.req.get(e.headers.Parts))
	return balancer.Prompt{Prefixes: prefixer.Prefixes(c.adapter, parts), Memory: s.MemoryTokens, Target: c.route.LatencyTarget}
}

func sharedPrefixes(list []governor.CachedPrefix) []prefixer.Shared {
	out := make([]prefixer.Shared, 0, len(list))
	for _, p := range list {
		out = append(out, prefixer.Shared{Engine: p.Engine, Adapter: p.Adapter, Prefix: prefixer.Prefix{Digest: p.Digest, Tokens: p.Tokens}})
	}
	return out
}
