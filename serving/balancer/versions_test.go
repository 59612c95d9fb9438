package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/tracker"
)

const (
	// versionBound is how long after its replacement was announced requests may begin on a version, and queueTime how long
	// a request may wait at its engine.
	versionBound, queueTime = 5 * time.Second, 4 * time.Second
	versionSeeds            = 100
)

// Each newer version used to make all older ones usable for another second.
func TestReplacedVersionIsNeverUsableAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(versionSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			b := balancer.New()
			for i := range 6 {
				b.Set([]tracker.Instance{server(fmt.Sprint(i), "z")}, false)
				b.AddResident(fmt.Sprint(i), adapter, 1)
			}
			newest, replacedAt := 1, make(map[int]time.Time)
			longest := time.Duration(random.Int64N(int64(9900*time.Millisecond))) + 100*time.Millisecond
			next := start
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
				if !now.Before(next) {
					replacedAt[newest] = now
					newest++
					b.SetVersions(now, []tracker.Resident{{Adapter: adapter, Version: newest}})
					next = now.Add(100*time.Millisecond + time.Duration(random.Int64N(int64(longest))))
				}
				if random.IntN(10) == 0 {
					// A copy is replaced, maybe by a version that isn't the newest any more.
					b.AddResident(fmt.Sprint(random.IntN(6)), adapter, max(newest-random.IntN(3), 1))
				}
				ch, status := b.Pick(now, balancer.Request{Service: "s", Zone: "z", Adapter: adapter})
				if status != balancer.Picked {
					continue
				}
				b.End(now, ch, adapter, balancer.OK)
				at, isReplaced := replacedAt[ch.Version]
				c.Check(!isReplaced || now.Sub(at)+queueTime <= versionBound, qt.IsTrue,
					qt.Commentf("version %d is used %v after its replacement, the newest is %d", ch.Version, now.Sub(at), newest))
			}
		})
	}
}
