package governor

import "time"

// loadsEvery is how often the numbers of running requests at servers are sent; changes of the prompt tokens in prefill are
// sent at once.
const loadsEvery = 100 * time.Millisecond

// loads sums the loads that sessions report for each server. Only the control goroutine calls it.
type loads struct {
	of      map[string]map[*session]Load
	changed map[string]bool
	urgent  bool
	toldAt  time.Time
}

func newLoads() *loads {
	return &loads{of: make(map[string]map[*session]Load), changed: make(map[string]bool)}
}

// due reports whether take would return a non-empty list.
func (l *loads) due(now time.Time) bool {
	return len(l.changed) > 0 && (l.urgent || now.Sub(l.toldAt) >= loadsEvery)
}

// set replaces a session's load at a server.
func (l *loads) set(s *session, v Load) {
	m := l.of[v.Server]
	if m == nil {
		m = make(map[*session]Load)
		l.of[v.Server] = m
	}
	l.urgent = l.urgent || m[s].Reading != v.Reading
	l.changed[v.Server] = true
	if m[s] = v; v.Running == 0 && v.Reading == 0 {
		delete(m, s)
	}
}

// retell makes the next call of take return all servers with load, for a new receiver.
func (l *loads) retell() {
	for id := range l.of {
		l.changed[id] = true
	}
	l.toldAt = time.Time{}
}

// drop removes a session's loads.
func (l *loads) drop(s *session) {
	for id, m := range l.of {
		if v, ok := m[s]; ok {
			delete(m, s)
			l.changed[id] = true
			l.urgent = l.urgent || v.Reading > 0
		}
	}
}

// take returns the sums that changed since the last call, or nil if they aren't due.
func (l *loads) take(now time.Time) []Load {
	if !l.due(now) {
		return nil
	}
	out := make([]Load, 0, len(l.changed))
	for id := range l.changed {
		sum := Load{Server: id}
		for _, v := range l.of[id] {
			sum.Running += v.Running
			sum.Reading += v.Reading
		}
		if len(l.of[id]) == 0 {
			delete(l.of, id)
		}
		out = append(out, sum)
	}
	clear(l.changed)
	l.urgent, l.toldAt = false, now
	return out
}
