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

// TestPermitRequestFields requests a permit twice for the same load, as after a lost answer, and returns used and unused permits.
func TestPermitRequestFields(t *testing.T) {
	f := newFixture(t)
	f.waitEvent(t, "scheduler.Owned")
	requested := make(chan struct{}, 2)
	load := configurer.Target{Service: "base", Adapter: "a", Version: 1}
	request := []scheduler.Action{scheduler.RequestPermit{Server: "e1", Target: load, Urgent: true, Rate: 2.5}}
	f.change(func() {
		f.permit = func(ctx context.Context) (registrar.Permit, error) {
			requested <- struct{}{}
			<-ctx.Done()
			return registrar.Permit{}, ctx.Err()
		}
		f.actions = request
	})
	<-requested
	f.change(func() { f.actions = request })
	<-requested
	f.change(func() {
		f.actions = []scheduler.Action{
			scheduler.ReturnPermit{Permit: registrar.Permit{ID: 7}, Used: true}, scheduler.ReturnPermit{Permit: registrar.Permit{ID: 8}},
		}
	})
	for len(f.sortedReturns()) < 2 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, f.sortedReturns(), qt.DeepEquals, []string{"7 true", "8 false"})
	f.mu.Lock()
	defer f.mu.Unlock()
	want := registrar.LoadRequest{Server: "e1", Target: load, Urgent: true, Rate: 2.5}
	qt.Assert(t, f.permitRequests, qt.HasLen, 2)
	qt.Assert(t, f.permitRequests[0], qt.Equals, want)
	qt.Assert(t, f.permitRequests[1].Waited > 0, qt.IsTrue)
	want.Waited = f.permitRequests[1].Waited
	qt.Assert(t, f.permitRequests[1], qt.Equals, want)
}

func (f *fixture) sortedReturns() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	got := slices.Clone(f.returnedPermits)
	slices.Sort(got)
	return got
}

// TestPermitWaitSpansDenials checks that the wait of a load spans denials as long as it is requested again.
func TestPermitWaitSpansDenials(t *testing.T) {
	now := time.Unix(1_000, 0)
	o := &Owner{permitWaits: make(map[permitKey]permitWait)}
	key := permitKey{server: "e1"}
	qt.Assert(t, o.recordPermitWait(key, now), qt.Equals, time.Duration(0))
	qt.Assert(t, o.recordPermitWait(key, now.Add(3*time.Second)), qt.Equals, 3*time.Second)
	o.permitWaits[key] = permitWait{since: now, deniedAt: now.Add(5 * time.Second)}
	qt.Assert(t, o.recordPermitWait(key, now.Add(6*time.Second)), qt.Equals, 6*time.Second)
	o.permitWaits[key] = permitWait{since: now, deniedAt: now.Add(8 * time.Second)}
	qt.Assert(t, o.recordPermitWait(key, now.Add(8*time.Second+maxPermitRequestGap+1)), qt.Equals, time.Duration(0))
}
