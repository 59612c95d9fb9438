package spreader

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
)

func Example() {
	source, replica := New(), New()
	_ = source.Change(1, []Item{{"a", []byte("1")}, {"b", []byte("1")}})
	var j DeltaAssembler
	for _, part := range source.Since(j.Revision()) {
		if d, ok, err := j.AddPart(part); err == nil && ok {
			_ = replica.Apply(d)
		}
	}
	_ = source.Change(2, []Item{{Key: "b"}})
	for _, part := range source.Since(j.Revision()) {
		fmt.Println("full:", part.Full, "items:", len(part.Items))
		if d, ok, err := j.AddPart(part); err == nil && ok {
			_ = replica.Apply(d)
		}
	}
	_, found := replica.Value("b")
	fmt.Println(replica.Revision(), found)
	// Output:
	// full: false items: 1
	// 2 false
}

// simulate sends random changes through a relay to a follower that misses, delays and repeats deltas; it returns the fault.
func simulate(seed uint64, acceptStale bool) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	source, relay, follower := New(WithKeptChanges(20)), New(WithKeptChanges(20)), New()
	var up, down DeltaAssembler
	down.acceptStale = acceptStale
	var delayed []Delta
	last := uint64(0)
	for rev := uint64(1); rev < 200; rev++ {
		items := []Item{{Key: fmt.Sprint(rng.IntN(50)), Value: make([]byte, rng.IntN(30<<10))}}
		if rng.IntN(3) == 0 {
			items[0].Value = nil
		}
		if err := source.Change(rev, items); err != nil {
			return err
		}
		if rng.IntN(3) == 0 {
			if err := deliver(source.Since(up.Revision()), &up, relay); err != nil {
				return err
			}
		}
		parts := relay.Since(down.Revision())
		switch rng.IntN(6) {
		case 0:
			delayed = parts
			continue
		case 1:
			parts, delayed = delayed, parts
			down.Reset()
		case 2:
			if len(parts) > 1 {
				parts = parts[:1]
			}
		}
		if err := deliver(parts, &down, follower); err != nil && !acceptStale {
			var staleErr *StaleRevisionError
			if errors.As(err, &staleErr) {
				return err
			}
			down.Reset()
		} else if err != nil {
			return err
		}
		if follower.Revision() < last {
			return fmt.Errorf("revision went back from %d to %d", last, follower.Revision())
		}
		last = follower.Revision()
	}
	for _, s := range []struct {
		from, to  *State
		assembler *DeltaAssembler
	}{{source, relay, &up}, {relay, follower, &down}} {
		s.assembler.Reset()
		if err := deliver(s.from.Since(s.assembler.Revision()), s.assembler, s.to); err != nil {
			return err
		}
	}
	return checkEqual(source, follower)
}

func deliver(parts []Delta, a *DeltaAssembler, to *State) error {
	for _, p := range parts {
		d, ok, err := a.AddPart(p)
		if err != nil {
			return err
		}
		if ok {
			if err := to.Apply(d); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkEqual(a, b *State) error {
	if a.Revision() != b.Revision() || len(a.items) != len(b.items) {
		return fmt.Errorf("got revision %d with %d items, want %d with %d", b.Revision(), len(b.items), a.Revision(), len(a.items))
	}
	for k, v := range a.items {
		if string(b.items[k]) != string(v) {
			return fmt.Errorf("key %s differs", k)
		}
	}
	return nil
}

func TestSpread(t *testing.T) {
	for seed := range uint64(200) {
		qt.Assert(t, simulate(seed, false), qt.IsNil, qt.Commentf("seed %d", seed))
	}
	detected := 0
	for seed := range uint64(50) {
		if simulate(seed, true) != nil {
			detected++
		}
	}
	qt.Assert(t, detected > 0, qt.IsTrue)
}

func TestChangeBackwards(t *testing.T) {
	s := New()
	qt.Assert(t, s.Change(3, nil), qt.IsNil)
	qt.Assert(t, s.Change(3, nil), qt.ErrorMatches, "revision 3 does not come after 3")
	qt.Assert(t, s.Replace(2, nil), qt.ErrorMatches, "revision 2 does not come after 3")
}

// FuzzJoin feeds a peer's deltas to an assembler, whose revision must never go back.
func FuzzJoin(f *testing.F) {
	for _, d := range splitParts(Delta{To: 5, Full: true}, []Item{{"a", make([]byte, maxPartBytes)}, {"b", make([]byte, maxPartBytes)}}) {
		data, err := encoder.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Delta
		if encoder.Unmarshal(data, &d) != nil {
			return
		}
		a := DeltaAssembler{revision: 4}
		for range 2 {
			complete, ok, err := a.AddPart(d)
			if a.Revision() < 4 || ok && (err != nil || complete.To <= 4) {
				t.Fatalf("invalid result of Join: %+v", complete)
			}
		}
	})
}
