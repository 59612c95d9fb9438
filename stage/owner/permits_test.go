package owner

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/scheduler"
)

// TestPermitCarriesItsAsk requests a permit twice for the same load, as after a lost answer, and returns used and unused permits.
func TestPermitCarriesItsAsk(t *testing.T) {
	f := newFixture(t)
	f.wait(t, "scheduler.Owned")
	asked := make(chan struct{}, 2)
	load := configurer.Target{Service: "base", Adapter: "a", Version: 1}
	ask := []scheduler.Action{scheduler.AskPermit{Server: "e1", Target: load, Urgent: true, Rate: 2.5}}
	f.change(func() {
		f.permit = func(ctx context.Context) (registrar.Permit, error) {
			asked <- struct{}{}
			<-ctx.Done()
			return registrar.Permit{}, ctx.Err()
		}
		f.actions = ask
	})
	<-asked
	f.change(func() { f.actions = ask })
	<-asked
	f.change(func() {
		f.actions = []scheduler.Action{
			scheduler.ReturnPermit{Permit: registrar.Permit{ID: 7}, Used: true}, scheduler.ReturnPermit{Permit: registrar.Permit{ID: 8}},
		}
	})
	for len(f.given()) < 2 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, f.given(), qt.DeepEquals, []string{"7 true", "8 false"})
	f.mu.Lock()
	defer f.mu.Unlock()
	want := registrar.PermitAsk{Server: "e1", Target: load, Urgent: true, Rate: 2.5}
	qt.Assert(t, f.asks, qt.HasLen, 2)
	qt.Assert(t, f.asks[0], qt.Equals, want)
	qt.Assert(t, f.asks[1].Waited > 0, qt.IsTrue)
	want.Waited = f.asks[1].Waited
	qt.Assert(t, f.asks[1], qt.Equals, want)
}

func (f *fixture) given() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := slices.Clone(f.returns)
	slices.Sort(got)
	return got
}

// TestWaitedOverDenials checks that the wait of a load spans denials as long as it is requested again.
func TestWaitedOverDenials(t *testing.T) {
	now := time.Unix(1_000, 0)
	o := &Owner{wanted: make(map[ask]want)}
	key := ask{server: "e1"}
	qt.Assert(t, o.waited(key, now), qt.Equals, time.Duration(0))
	qt.Assert(t, o.waited(key, now.Add(3*time.Second)), qt.Equals, 3*time.Second)
	o.wanted[key] = want{since: now, denied: now.Add(5 * time.Second)}
	qt.Assert(t, o.waited(key, now.Add(6*time.Second)), qt.Equals, 6*time.Second)
	o.wanted[key] = want{since: now, denied: now.Add(8 * time.Second)}
	qt.Assert(t, o.waited(key, now.Add(8*time.Second+wantGap+1)), qt.Equals, time.Duration(0))
}
