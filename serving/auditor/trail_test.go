package auditor

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/configurer"
)

func encodedAdapter(c *qt.C, numbers ...int) []byte {
	spec := configurer.AdapterSpec{Name: "ipoh"}
	for _, n := range numbers {
		spec.Versions = append(spec.Versions, configurer.VersionSpec{Number: n})
	}
	data, err := encoder.Marshal(spec)
	c.Assert(err, qt.IsNil)
	return data
}

func TestTrail(t *testing.T) {
	c := qt.New(t)
	trail := New(WithMaxBytes(10 * recordOverheadBytes))
	ref := configurer.Ref{Kind: configurer.ObjectAdapter, Name: "ipoh"}
	start := time.Unix(1_700_000_000, 0).UTC()
	for i := range 12 {
		trail.Add(Record{
			Revision: uint64(i + 1), At: start.Add(time.Duration(i) * time.Hour), Operator: fmt.Sprintf("op-%d", i%2),
			Action: ActionApply, Items: []configurer.Diff{{Ref: ref, Before: encodedAdapter(c, 1), After: encodedAdapter(c, 1, i+2)}},
		})
	}
	seqs := func(q Query, limit int) []uint64 {
		var out []uint64
		list, _ := trail.Find(q, limit)
		for _, r := range list {
			out = append(out, r.Seq)
		}
		return out
	}
	all := seqs(Query{}, 100)
	c.Assert(len(all) < 10, qt.IsTrue)
	c.Assert(all[len(all)-1], qt.Equals, uint64(12))
	c.Assert(seqs(Query{After: 10}, 100), qt.DeepEquals, []uint64{11, 12})
	c.Assert(seqs(Query{After: 8, Operator: "op-1"}, 100), qt.DeepEquals, []uint64{10, 12})
	c.Assert(seqs(Query{Since: start.Add(10 * time.Hour), Name: "ipoh"}, 1), qt.DeepEquals, []uint64{11})
	c.Assert(seqs(Query{Kind: configurer.ObjectClass}, 100), qt.IsNil)
	_, more := trail.Find(Query{After: 8}, 2)
	c.Assert(more, qt.IsTrue)

	data, err := trail.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := New()
	c.Assert(restored.Restore(data), qt.IsNil)
	byRevision, ok := restored.ByRevision(11)
	c.Assert(ok && byRevision.Seq == 11 && byRevision.At.Equal(start.Add(10*time.Hour)), qt.IsTrue)
	byVersion, ok := restored.ByVersion("ipoh", 12)
	c.Assert(ok && byVersion.Seq == 11, qt.IsTrue)
	c.Assert(restored.Add(Record{}).Seq, qt.Equals, uint64(13))
	c.Assert(restored.Restore([]byte{1}), qt.ErrorMatches, "audit snapshot: .*")
	c.Assert(restored.nextSeq, qt.Equals, uint64(14))
}
