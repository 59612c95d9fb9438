package governor

import "time"

// loadsEvery is how often the numbers of running requests at servers are sent; changes of the prompt tokens in prefill
// are sent at once.
const loadsEvery = 100 * time.Millisecond

// loads sums the sessions' loads at servers; the control goroutine calls it.
type loads struct {
	byServer map[string]map[*session]Load
	changed  map[string]bool
	urgent   bool
	sentAt   time.Time
}

func newLoads() *loads {
	return &loads{byServer: make(map[string]map[*session]Load), changed: make(map[string]bool)}
}

// due reports whether takeChanged would return a non-empty list.
func (l *loads) due(now time.Time) bool {
	return len(l.changed) > 0 && (l.urgent || now.Sub(l.sentAt) >= loadsEvery)
}

// set replaces a session's load at a server.
func (l *loads) set(s *session, v Load) {
	m := l.byServer[v.Server]
	if m == nil {
		m = make(map[*session]Load)
		l.byServer[v.Server] = m
	}
	l.urgent = l.urgent || m[s].PrefillTokens != v.PrefillTokens
	l.changed[v.Server] = true
	if m[s] = v; v == (Load{Server: v.Server}) {
		delete(m, s)
	}
}

// markAllChanged makes the next call of takeChanged return all servers with load, for a new receiver.
func (l *loads) markAllChanged() {
	for id := range l.byServer {
		l.changed[id] = true
	}
	l.sentAt = time.Time{}
}

// removeSession removes a session's loads.
func (l *loads) removeSession(s *session) {
	for id, m := range l.byServer {
		if v, ok := m[s]; ok {
			delete(m, s)
			l.changed[id] = true
			l.urgent = l.urgent || v.PrefillTokens > 0
		}
	}
}

// takeChanged returns the sums that changed since the last call, or nil if they aren't due.
func (l *loads) takeChanged(now time.Time) []Load {
	if !l.due(now) {
		return nil
	}
	out := make([]Load, 0, len(l.changed))
	for id := range l.changed {
		sum := Load{Server: id}
		for _, v := range l.byServer[id] {
			sum.Running += v.Running
			sum.PrefillTokens += v.PrefillTokens
			sum.Refusals += v.Refusals
			sum.Memory += v.Memory
		}
		if len(l.byServer[id]) == 0 {
			delete(l.byServer, id)
		}
		out = append(out, sum)
	}
	clear(l.changed)
	l.urgent, l.sentAt = false, now
	return out
}
