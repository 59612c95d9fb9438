package governor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestLoadsAreSummedOverEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a, b := &session{}, &session{}
	l := newLoads()
	l.set(a, Load{Server: "x", Running: 2})
	l.set(b, Load{Server: "x", Running: 3})
	c.Check(l.takeChanged(now), qt.DeepEquals, []Load{{Server: "x", Running: 5}})
	l.set(a, Load{Server: "x", Running: 1})
	c.Check(l.takeChanged(now), qt.HasLen, 0, qt.Commentf("running requests are sent at most ten times a second"))
	l.set(b, Load{Server: "x", Running: 3, PrefillTokens: 1})
	c.Check(l.takeChanged(now), qt.DeepEquals, []Load{{Server: "x", Running: 4, PrefillTokens: 1}}, qt.Commentf("a prompt in prefill is sent at once"))
	l.set(b, Load{Server: "x", Running: 3, PrefillTokens: 1, Memory: 700})
	l.set(a, Load{Server: "x", Running: 1, Memory: 9256})
	c.Check(l.takeChanged(now.Add(loadsEvery)), qt.DeepEquals, []Load{{Server: "x", Running: 4, PrefillTokens: 1, Memory: 9956}})
	l.set(a, Load{Server: "x", Memory: 9256})
	c.Check(l.takeChanged(now.Add(2*loadsEvery)), qt.DeepEquals, []Load{{Server: "x", Running: 3, PrefillTokens: 1, Memory: 9956}}, qt.Commentf("a claim without requests counts"))
	l.set(a, Load{Server: "x", Running: 1})
	l.removeSession(b)
	c.Check(l.takeChanged(now), qt.DeepEquals, []Load{{Server: "x", Running: 1}}, qt.Commentf("a closed session's load is removed"))
	l.set(a, Load{Server: "x"})
	c.Check(l.takeChanged(now.Add(time.Second)), qt.DeepEquals, []Load{{Server: "x"}})
	c.Check(l.byServer, qt.HasLen, 0)
}

// Refusals are summed too, also of entries without requests at the server.
func TestRefusalsAreSummedOverEntries(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	a, b := &session{}, &session{}
	l := newLoads()
	l.set(a, Load{Server: "x", Running: 1, Refusals: 2})
	l.set(b, Load{Server: "x", Refusals: 3})
	c.Check(l.takeChanged(now), qt.DeepEquals, []Load{{Server: "x", Running: 1, Refusals: 5}})
	l.removeSession(a)
	l.set(b, Load{Server: "x"})
	c.Check(l.takeChanged(now.Add(time.Second)), qt.DeepEquals, []Load{{Server: "x"}})
	c.Check(l.byServer, qt.HasLen, 0)
}
