package replicator

// entryLog holds the entries after index base in memory.
type entryLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i, or false if the log doesn't hold it.
func (l *entryLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

// slice returns the entries from lo to hi, both inclusive; the caller must not modify them.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if lo <= l.base || lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// sliceLimited returns entries from lo on: the first one and those after it that fit into maxBytes.
func (l *entryLog) sliceLimited(lo uint64, maxBytes int) []Entry {
	es := l.slice(lo, l.last())
	size := 0
	for i, e := range es {
		size += len(e.Data) + entryOverheadBytes
		if size > maxBytes && i > 0 {
			return es[:i]
		}
	}
	return es
}

func (l *entryLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// truncate removes the entries from index i on; slices returned before stay intact.
func (l *entryLog) truncate(i uint64) {
	n := i - l.base - 1
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to index i.
func (l *entryLog) compact(i uint64) {
	t, ok := l.term(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// indexBeforeTerm returns the index before the first entry of the term at i, at least base.
func (l *entryLog) indexBeforeTerm(i uint64) uint64 {
	t, _ := l.term(i)
	for i > l.base {
		if u, ok := l.term(i - 1); !ok || u != t {
			return i - 1
		}
		i--
	}
	return i
}
