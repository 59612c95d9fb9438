package quarantiner

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClaims(t *testing.T) {
	type step struct {
		server  string
		inc     string
		mode    Mode
		release bool
		want    string
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"copies share a server", []step{
			{server: "x", want: "ok"},
			{server: "y", want: "x"},
			{server: "x", want: "ok"},
			{server: "x", release: true},
			{server: "y", want: "x"},
			{server: "x", release: true},
			{server: "y", want: "ok"},
		}},
		{"a hedge may use one more server", []step{
			{server: "x", want: "ok"},
			{server: "y", mode: Hedged, want: "ok"},
			{server: "z", mode: Hedged, want: "x"},
			{server: "z", want: "x"},
			{server: "y", want: "ok"},
			{server: "x", release: true},
			{server: "z", want: "y"},
		}},
		{"exclusive", []step{
			{server: "x", want: "ok"},
			{server: "x", mode: Exclusive, want: ""},
			{server: "x", release: true},
			{server: "x", mode: Exclusive, want: "ok"},
			{server: "x", want: ""},
			{server: "y", mode: Hedged, want: ""},
			{server: "x", mode: Exclusive, want: ""},
			{server: "x", release: true},
			{server: "y", want: "ok"},
		}},
		{"another incarnation", []step{
			{server: "x", inc: "1", want: "ok"},
			{server: "x", inc: "2", want: ""},
			{server: "x", inc: "2", release: true},
			{server: "x", inc: "2", want: ""},
			{server: "x", inc: "1", release: true},
			{server: "x", inc: "2", want: "ok"},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := NewClaims()
			for i, s := range tt.steps {
				p := ServerProcess{Server: s.server, Incarnation: s.inc}
				if s.release {
					c.Release(Digest{1}, p)
					continue
				}
				got, ok := c.Acquire(Digest{1}, p, s.mode)
				if ok {
					got = "ok"
				}
				qt.Check(t, got, qt.Equals, s.want, qt.Commentf("step %d", i))
			}
			_, ok := c.Acquire(Digest{2}, ServerProcess{Server: "other"}, Exclusive)
			qt.Check(t, ok, qt.IsTrue)
		})
	}
}
