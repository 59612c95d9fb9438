package auditor

import (
	"sort"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/configurer"
)

// Bounds of the trail; the oldest records are evicted; operators export them before.
const (
	maxRecords          = 20000
	defaultMaxBytes     = 24 << 20
	recordOverheadBytes = 200
)

// Action is the kind of an operator's call.
type Action string

// The actions in the trail.
const (
	ActionApply         Action = "apply"
	ActionDelete        Action = "delete"
	ActionDrain         Action = "drain"
	ActionUndrain       Action = "undrain"
	ActionAddReplica    Action = "add-replica"
	ActionRemoveReplica Action = "remove-replica"
)

// Record is one immutable entry of the trail.
type Record struct {
	Seq        uint64            `cbor:"1,keyasint"`
	Revision   uint64            `cbor:"2,keyasint"`
	At         time.Time         `cbor:"3,keyasint"`
	Operator   string            `cbor:"4,keyasint"`
	ClientAddr string            `cbor:"5,keyasint"`
	Change     string            `cbor:"6,keyasint"`
	Action     Action            `cbor:"7,keyasint"`
	Items      []configurer.Diff `cbor:"8,keyasint,omitempty"`
}

func (r Record) size() int {
	n := recordOverheadBytes
	for _, d := range r.Items {
		n += len(d.Ref.Name) + len(d.Before) + len(d.After)
	}
	return n
}

// Trail is the bounded audit trail; it is replicated with the changes that it records.
type Trail struct {
	records  []Record
	nextSeq  uint64
	bytes    int
	maxBytes int
}

type snapshot struct {
	Next    uint64   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

// Option configures a Trail.
type Option func(*Trail)

// WithMaxBytes sets the maximum size of the records, in bytes.
func WithMaxBytes(n int) Option { return func(t *Trail) { t.maxBytes = n } }

// New returns an empty trail.
func New(opts ...Option) *Trail {
	t := &Trail{nextSeq: 1, maxBytes: defaultMaxBytes}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Add appends a record with the next Seq and returns it.
func (t *Trail) Add(r Record) Record {
	r.Seq = t.nextSeq
	t.nextSeq++
	t.records = append(t.records, r)
	t.bytes += r.size()
	for len(t.records) > 1 && (t.bytes > t.maxBytes || len(t.records) > maxRecords) {
		t.bytes -= t.records[0].size()
		t.records[0] = Record{}
		t.records = t.records[1:]
	}
	return r
}

// Query filters records; a zero field matches all.
type Query struct {
	After    uint64                `cbor:"1,keyasint,omitempty"`
	Operator string                `cbor:"2,keyasint,omitempty"`
	Kind     configurer.ObjectKind `cbor:"3,keyasint,omitempty"`
	Name     string                `cbor:"4,keyasint,omitempty"`
	Since    time.Time             `cbor:"5,keyasint,omitempty"`
	Until    time.Time             `cbor:"6,keyasint,omitempty"`
}

// Find returns up to limit records with a Seq above q.After, and whether more follow.
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

// ByRevision returns the record of the change that created the revision, unless evicted.
func (t *Trail) ByRevision(revision uint64) (Record, bool) {
	i := sort.Search(len(t.records), func(i int) bool { return t.records[i].Revision >= revision })
	for ; i < len(t.records) && t.records[i].Revision == revision; i++ {
		if len(t.records[i].Items) > 0 {
			return t.records[i], true
		}
	}
	return Record{}, false
}

// ByVersion returns the record of the change that created an adapter's version, unless evicted.
func (t *Trail) ByVersion(adapter string, version int) (Record, bool) {
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
	return encoder.Marshal(snapshot{Next: t.nextSeq, Records: t.records})
}

// Restore replaces the trail by that of a snapshot; on an error the trail is unchanged.
func (t *Trail) Restore(data []byte) error {
	var snap snapshot
	if err := encoder.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "audit snapshot")
	}
	lastSeq := uint64(0)
	for _, r := range snap.Records {
		if r.Seq <= lastSeq || r.Seq >= snap.Next {
			return errors.New("audit snapshot: record " + strconv.FormatUint(r.Seq, 10) + " is out of order")
		}
		lastSeq = r.Seq
	}
	t.records, t.nextSeq, t.bytes = snap.Records, snap.Next, 0
	for _, r := range snap.Records {
		t.bytes += r.size()
	}
	return nil
}
