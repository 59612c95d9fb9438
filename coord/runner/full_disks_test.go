package runner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	fullDiskSeeds = 24
	// maxFreeBytes bounds the room that is left when a disk becomes full: the end of a record, or of a snapshot.
	maxFreeBytes = 2000
)

// playFullDisks fills one disk after another, never two at once, beside restarts, replacements and changes of leader. Then
// each replica takes part within finalRecovery, and commands are committed.
func (f *fleet) playFullDisks() error {
	never := func() bool { return false }
	f.snapshotPadBytes = f.random.IntN(2 * maxFreeBytes)
	f.runLoad()
	f.run(syncTime, never)
	for range 3 * len(f.machines) {
		i := f.random.IntN(len(f.machines))
		if f.random.IntN(3) == 0 {
			if l := f.leader(); l != nil {
				for k, m := range f.machines {
					if m.n == l {
						i = k
					}
				}
			}
		}
		m := f.machines[i]
		free, full := f.random.IntN(maxFreeBytes), f.randomBetween(500*time.Millisecond, 4*time.Second)
		f.notef("the disk of replica %d has %d bytes left, for %v", m.n.id, free, full)
		fs := m.n.fs
		fs.Fill(free)
		f.schedule(full/2, func() {
			switch other := f.machines[f.random.IntN(len(f.machines))]; f.random.IntN(4) {
			case 0:
				f.notef("replica %d restarts beside it", m.n.id)
				m.n.kill()
				f.schedule(f.randomBetween(10*time.Millisecond, time.Second), m.n.start)
			case 1:
				if l := f.leader(); l != nil && l != m.n {
					f.notef("leader %d restarts beside it", l.id)
					l.kill()
					f.schedule(f.randomBetween(10*time.Millisecond, time.Second), l.start)
				}
			case 2:
				if other != m && other.n.r != nil && len(f.machines) > 3 {
					f.notef("replica %d loses its disk beside it", other.n.id)
					other.n.kill()
					f.schedule(f.randomBetween(10*time.Millisecond, time.Second), func() { f.join(other) })
				}
			}
		})
		f.run(f.now+full, never)
		fs.Free()
		f.run(f.now+f.randomBetween(10*time.Millisecond, 4*time.Second), never)
	}
	f.notef("all disks have room")
	acked, start := f.check.ackedIndex, f.now
	takesPart := func() bool {
		l := f.leader()
		if l == nil || f.check.ackedIndex <= acked {
			return false
		}
		for _, m := range f.machines {
			if m.n.r == nil || !m.n.isMemberAt(l) || m.n.r.rep.Commit() <= acked {
				return false
			}
		}
		return true
	}
	f.run(start+finalRecovery, takesPart)
	if f.check.err == nil && !takesPart() {
		f.check.failf("not all replicas take part %v after the last disk had room", finalRecovery)
		for _, m := range f.machines {
			if m.n.r != nil {
				f.notef("%v", m.n.r.rep)
			} else {
				f.notef("replica %d is closed: %v", m.n.id, m.n.err)
			}
		}
	}
	return f.check.err
}

// Disks that were full for seconds, one after another, left groups of similar systems without changes to the end of the day.
func TestFullDisksOneAfterAnother(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(fullDiskSeeds) {
				f := newFleet(seed, size, successionTiming)
				qt.Check(t, f.playFullDisks(), qt.IsNil, qt.Commentf("seed %d: %s", seed, f.history))
			}
		})
	}
}
