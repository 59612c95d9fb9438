package auditor

import (
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/configurer"
)

// Bounds of the trail; the oldest records go first, an operator exports them before.
const (
	keepRecords = 20000
	keepBytes   = 24 << 20
	recordBytes = 200
)

// Action names what an operator did.
type Action string

// The actions of operators.
const (
	ActionApply         Action = "apply"
	ActionDelete        Action = "delete"
	ActionDrain         Action = "drain"
	ActionUndrain       Action = "undrain"
	ActionAddReplica    Action = "add-replica"
	ActionRemoveReplica Action = "remove-replica"
)

// Record is one entry of the trail; it is never changed.
type Record struct {
	Seq      uint64            `cbor:"1,keyasint"`
	Revision uint64            `cbor:"2,keyasint"`
	At       time.Time         `cbor:"3,keyasint"`
	Operator string            `cbor:"4,keyasint"`
	From     string            `cbor:"5,keyasint"`
	Change   string            `cbor:"6,keyasint"`
	Action   Action            `cbor:"7,keyasint"`
	Items    []configurer.Diff `cbor:"8,keyasint,omitempty"`
}

func (r Record) size() int {
	n := recordBytes
	for _, d := range r.Items {
		n += len(d.Ref.Name) + len(d.Before) + len(d.After)
	}
	return n
}

// Trail is the bounded audit trail; it is replicated together with the changes that it records.
type Trail struct {
	records []Record
	next    uint64
	bytes   int
	limit   int
}

type snapshot struct {
	Next    uint64   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// Option changes a Trail.
type Option func(*Trail)

// WithBytes sets how many bytes of records are kept.
func WithBytes(n int) Option { return func(t *Trail) { t.limit = n } }

// New returns an empty trail.
func New(opts ...Option) *Trail {
	t := &Trail{next: 1, limit: keepBytes}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Add appends a record under the next number and returns it.
func (t *Trail) Add(r Record) Record {
	r.Seq = t.next
	t.next++
	t.records = append(t.records, r)
	t.bytes += r.size()
	for len(t.records) > 1 && (t.bytes > t.limit || len(t.records) > keepRecords) {
		t.bytes -= t.records[0].size()
		t.records[0] = Record{}
		t.records = t.records[1:]
	}
	return r
}

// Query filters records; a zero field takes all.
type Query struct {
	After    uint64            `cbor:"1,keyasint,omitempty"`
	Operator string            `cbor:"2,keyasint,omitempty"`
	Kind     configurer.Object `cbor:"3,keyasint,omitempty"`
	Name     string            `cbor:"4,keyasint,omitempty"`
	Since    time.Time         `cbor:"5,keyasint,omitempty"`
	Until    time.Time         `cbor:"6,keyasint,omitempty"`
}

// Find returns up to limit records after q.After in order, and whether more follow.
func (t *Trail) Find(q Query, limit int) ([]Record, bool) {
	start := sort.Search(len(t.records), func(i int) bool { return t.records[i].Seq > q.After })
	var out []Record
	for _, r := range t.records[start:] {
		if !q.matches(r) {
			continue
		}
		if len(out) == limit {
			return out, true
		}
		out = append(out, r)
	}
	return out, false
}

func (q Query) matches(r Record) bool {
	if q.Operator != "" && q.Operator != r.Operator {
		return false
	}
	if !q.Since.IsZero() && r.At.Before(q.Since) || !q.Until.IsZero() && r.At.After(q.Until) {
		return false
	}
	if q.Kind == "" && q.Name == "" {
		return true
	}
	for _, d := range r.Items {
		if (q.Kind == "" || q.Kind == d.Ref.Kind) && (q.Name == "" || q.Name == d.Ref.Name) {
			return true
		}
	}
	return false
}

// At returns the record of the change that made the revision, if it is still kept.
func (t *Trail) At(revision uint64) (Record, bool) {
	i := sort.Search(len(t.records), func(i int) bool { return t.records[i].Revision >= revision })
	for ; i < len(t.records) && t.records[i].Revision == revision; i++ {
		if len(t.records[i].Items) > 0 {
			return t.records[i], true
		}
	}
	return Record{}, false
}

// Made returns the record of the change that made an adapter's version, if it is still kept.
func (t *Trail) Made(adapter string, version int) (Record, bool) {
	for i := len(t.records) - 1; i >= 0; i-- {
		for _, d := range t.records[i].Items {
			if d.Ref.Kind == configurer.ObjectAdapter && d.Ref.Name == adapter &&
				hasVersion(d.After, version) && !hasVersion(d.Before, version) {
				return t.records[i], true
			}
		}
	}
	return Record{}, false
}

func hasVersion(data []byte, version int) bool {
	if data == nil {
		return false
	}
	var spec configurer.AdapterSpec
	if err := encoder.Unmarshal(data, &spec); err != nil {
		return false
	}
	for _, v := range spec.Versions {
		if v.Number == version {
			return true
		}
	}
	return false
}

// Snapshot returns the whole trail.
func (t *Trail) Snapshot() ([]byte, error) {
	return encoder.Marshal(snapshot{Next: t.next, Records: t.records})
}

// Restore replaces the trail by that of a snapshot; a bad one leaves it as it was.
func (t *Trail) Restore(data []byte) error {
	var snap snapshot
	if err := encoder.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "audit snapshot")
	}
	last := uint64(0)
	for _, r := range snap.Records {
		if r.Seq <= last || r.Seq >= snap.Next {
			return errors.New("audit snapshot: record " + strconv.FormatUint(r.Seq, 10) + " is out of order")
		}
		last = r.Seq
	}
	t.records, t.next, t.bytes = snap.Records, snap.Next, 0
	for _, r := range snap.Records {
		t.bytes += r.size()
	}
	return nil
}
