package governor

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/tracker"
)

func TestCachedPrefixesReachEntriesOnceAndAreBounded(t *testing.T) {
	c := qt.New(t)
	v := newView()
	p := CachedPrefix{Engine: tracker.Key{ID: "e", StartedMS: 1}, Adapter: tracker.Adapter{Model: "m", Name: "a"}, Digest: 7, Tokens: 6300}
	v.apply(&DownMessage{Cached: []CachedPrefix{p}})
	c.Check(v.takeUpdate(false).Cached, qt.HasLen, 0, qt.Commentf("no reason for an update of its own"))
	c.Check(v.takeUpdate(true).Cached, qt.DeepEquals, []CachedPrefix{p})
	c.Check(v.takeUpdate(true).Cached, qt.HasLen, 0)
	many := make([]CachedPrefix, maxPendingPrefixes-1)
	v.apply(&DownMessage{Cached: many})
	v.apply(&DownMessage{Cached: many})
	c.Check(v.takeUpdate(true).Cached, qt.HasLen, maxPendingPrefixes)
}
