package registrar

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// permitModel compares a leader's permits with the store's limits.
type permitModel struct {
	p           *Permits
	limits      StoreLimits
	now         time.Time
	leaderEpoch uint64
	id          uint64
	// out are the permits of this leader with their holders, ended the returned or expired ones, old those of earlier leaders.
	out, ended, old map[uint64]string
	expires         map[uint64]time.Time
	// granted and refunded are the times of grants and of refunded tokens.
	granted, refunded []time.Time
}

func (m *permitModel) holder(t *rapid.T) string {
	return fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "holder"))
}

// pick draws one of the permits.
func pick(t *rapid.T, from map[uint64]string) (uint64, bool) {
	var ids []uint64
	for id := range from {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0, false
	}
	return ids[rapid.IntRange(0, len(ids)-1).Draw(t, "permit")%len(ids)], true
}

// check returns an error if more was granted in any period than the rate, the parallel limit and refunded tokens allow.
func (m *permitModel) check() error {
	if m.p.Used() > m.limits.Parallel {
		return fmt.Errorf("%d permits at once", m.p.Used())
	}
	burst := float64(m.limits.Parallel)
	if m.p.tokens > burst {
		return fmt.Errorf("%v tokens", m.p.tokens)
	}
	for i, from := range m.granted {
		refunds := 0
		for _, at := range m.refunded {
			if !at.Before(from) {
				refunds++
			}
		}
		n := len(m.granted) - i
		if allowed := burst + m.now.Sub(from).Seconds()*m.limits.Rate + float64(refunds); float64(n) > allowed+1e-6 {
			return fmt.Errorf("%d permits in %v, %.2f are allowed", n, m.now.Sub(from), allowed)
		}
	}
	return nil
}

func (m *permitModel) changeLeader(fresh bool, configure func(*Permits)) {
	m.leaderEpoch++
	m.p = NewPermits(m.leaderEpoch, m.now, fresh, m.limits)
	if configure != nil {
		configure(m.p)
	}
	for id, h := range m.out {
		m.old[id] = h
	}
	m.out, m.granted, m.refunded = make(map[uint64]string), nil, nil
}

func (m *permitModel) returnPermit(id uint64, holder string, used bool) {
	if m.out[id] == holder {
		if !used && m.now.Before(m.expires[id]) {
			m.refunded = append(m.refunded, m.now)
		}
		delete(m.out, id)
		m.ended[id] = holder
	}
	m.p.Return(m.now, holder, id, used)
}

// step applies one drawn event.
func (m *permitModel) step(t *rapid.T) {
	switch rapid.SampledFrom([]string{"ask", "ask", "time", "time", "return", "return", "again", "wrong", "old", "withdraw", "lead"}).Draw(t, "event") {
	case "ask":
		m.id++
		request := PermitRequest{ID: m.id, Holder: m.holder(t), Urgent: rapid.Bool().Draw(t, "urgent"), Rate: rapid.Float64Range(0, 9).Draw(t, "rate")}
		if err := m.p.Request(m.now, request); err != nil {
			t.Fatal(err)
		}
	case "time":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	case "return":
		if id, ok := pick(t, m.out); ok {
			m.returnPermit(id, m.out[id], rapid.Bool().Draw(t, "used"))
		}
	case "again":
		if id, ok := pick(t, m.ended); ok {
			m.returnPermit(id, m.ended[id], false)
		}
	case "wrong":
		if id, ok := pick(t, m.out); ok {
			m.p.Return(m.now, "other", id, false)
		}
	case "old":
		if id, ok := pick(t, m.old); ok {
			if rapid.Bool().Draw(t, "claimed") {
				m.p.Claim(m.old[id], id)
			}
			m.p.Return(m.now, m.old[id], id, false)
		}
	case "withdraw":
		m.p.Withdraw(m.holder(t), m.id)
	case "lead":
		m.changeLeader(false, func(p *Permits) { p.refundAlways = m.p.refundAlways })
	}
	for _, g := range m.p.Grant(m.now) {
		m.out[g.ID], m.expires[g.ID] = g.Request.Holder, m.now.Add(permitTTL+permitMargin)
		m.granted = append(m.granted, m.now)
	}
}

func newPermitModel(refundAlways bool) *permitModel {
	m := &permitModel{
		limits: StoreLimits{Rate: 3.5, Parallel: 3}, now: start,
		out: make(map[uint64]string), ended: make(map[uint64]string), old: make(map[uint64]string), expires: make(map[uint64]time.Time),
	}
	m.changeLeader(true, func(p *Permits) { p.refundAlways = refundAlways })
	return m
}

// TestPermitsRefundTokensOnce draws requests, grants, returns and changes of leader, and compares with the store's limits.
func TestPermitsRefundTokensOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPermitModel(false)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.step(t)
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// TestPermitRefunds checks how many tokens each kind of return refunds: with a token the next request is granted at once.
func TestPermitRefunds(t *testing.T) {
	tests := []struct {
		name         string
		refundAlways bool
		returns      func(p *Permits, now time.Time, id uint64)
		want         int
	}{
		{name: "used", returns: func(p *Permits, now time.Time, id uint64) { p.Return(now, "e", id, true) }, want: 0},
		{name: "unused", returns: func(p *Permits, now time.Time, id uint64) { p.Return(now, "e", id, false) }, want: 1},
		{name: "unused, by another entry", returns: func(p *Permits, now time.Time, id uint64) { p.Return(now, "f", id, false) }, want: 0},
		{name: "unused, twice", returns: func(p *Permits, now time.Time, id uint64) {
			p.Return(now, "e", id, false)
			p.Return(now, "e", id, false)
		}, want: 1},
		{name: "used, twice, with refundAlways", refundAlways: true, returns: func(p *Permits, now time.Time, id uint64) {
			p.Return(now, "e", id, true)
			p.Return(now, "e", id, true)
		}, want: 2},
		{name: "a permit that was never granted", returns: func(p *Permits, now time.Time, id uint64) { p.Return(now, "e", id+1, false) }, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPermits(1, start, true, StoreLimits{Rate: 0.001, Parallel: 5})
			p.refundAlways = tt.refundAlways
			for i := range uint64(5) {
				qt.Assert(t, p.Request(start, PermitRequest{ID: i, Holder: "e"}), qt.IsNil)
			}
			first := p.Grant(start)
			qt.Assert(t, first, qt.HasLen, 1)
			tt.returns(p, start, first[0].ID)
			qt.Assert(t, p.Grant(start), qt.HasLen, tt.want)
		})
	}
}

// TestOldPermitsAreNotRefunded returns a permit after it expired and after a change of leader.
func TestOldPermitsAreNotRefunded(t *testing.T) {
	limits := StoreLimits{Rate: 0.001, Parallel: 2}
	p := NewPermits(1, start, true, limits)
	qt.Assert(t, p.Request(start, PermitRequest{ID: 1, Holder: "e"}), qt.IsNil)
	id := p.Grant(start)[0].ID
	late := start.Add(permitTTL + permitMargin)
	p.Return(late, "e", id, false)
	qt.Assert(t, p.tokens < 0.1, qt.IsTrue)

	next := NewPermits(2, start, false, limits)
	next.Claim("e", id)
	next.Return(start, "e", id, false)
	qt.Assert(t, next.tokens, qt.Equals, 0.0)
	qt.Assert(t, next.Used(), qt.Equals, 1)
}

// TestPermitOrder checks the order of grants for requests queued in the order of the rows.
func TestPermitOrder(t *testing.T) {
	tests := []struct {
		name     string
		requests []PermitRequest
		want     []uint64
	}{
		{"by arrival", []PermitRequest{{}, {}, {}}, []uint64{0, 1, 2}},
		{"by rate", []PermitRequest{{Rate: 1}, {Rate: 3}, {Rate: 2}}, []uint64{1, 2, 0}},
		{"urgent before rate", []PermitRequest{{Rate: 9}, {Urgent: true}, {Urgent: true, Rate: 1}}, []uint64{2, 1, 0}},
		{"waited before", []PermitRequest{{Rate: 1}, {Rate: 1, Waited: time.Second}, {Rate: 1, Waited: time.Millisecond}}, []uint64{1, 2, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPermits(1, start, true, StoreLimits{Rate: 100, Parallel: 100})
			for i, req := range tt.requests {
				req.ID, req.Holder = uint64(i), "e"
				qt.Assert(t, p.Request(start, req), qt.IsNil)
			}
			var got []uint64
			for i := range tt.requests {
				for _, g := range p.Grant(start.Add(time.Duration(i) * 10 * time.Millisecond)) {
					got = append(got, g.Request.ID)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// TestInvalidRequests checks that invalid requests are refused.
func TestInvalidRequests(t *testing.T) {
	for _, tt := range []struct {
		req  PermitRequest
		want error
	}{
		{PermitRequest{Rate: math.NaN()}, ErrBadRate},
		{PermitRequest{Rate: math.Inf(1)}, ErrBadRate},
		{PermitRequest{Rate: math.Inf(-1)}, ErrBadRate},
		{PermitRequest{Rate: -0.1}, ErrBadRate},
		{PermitRequest{Waited: -time.Nanosecond}, ErrBadWait},
		{PermitRequest{Rate: math.MaxFloat64, Waited: math.MaxInt64}, nil},
	} {
		p := NewPermits(1, start, true, StoreLimits{})
		qt.Check(t, p.Request(start, tt.req), qt.ErrorIs, tt.want)
		qt.Check(t, p.Waiting() == 1, qt.Equals, tt.want == nil)
	}
}

// TestNoRequestStarves keeps queueing requests with higher rates and counts the permits until the one with the lowest rate
// is granted: with n older requests that is one of the first 8(n+1) permits once it is overdue.
func TestNoRequestStarves(t *testing.T) {
	run := func(older, newer int, noOverdueShare bool) int {
		p := NewPermits(1, start, true, StoreLimits{Rate: 10, Parallel: 1})
		p.noOverdueShare = noOverdueShare
		id := uint64(0)
		request := func(at time.Time, req PermitRequest) {
			id++
			req.ID, req.Holder = id, "e"
			_ = p.Request(at, req)
		}
		for range older {
			request(start, PermitRequest{Rate: 1})
		}
		request(start.Add(time.Millisecond), PermitRequest{})
		lowRate := id
		now := start.Add(overdueAfter + time.Millisecond)
		for n := 1; n <= 20*permitsPerOverdue*(older+1); n++ {
			for range newer {
				request(now, PermitRequest{Urgent: true, Rate: 5})
			}
			now = now.Add(100 * time.Millisecond)
			for _, g := range p.Grant(now) {
				if g.Request.ID == lowRate {
					return n
				}
				p.Return(now, "e", g.ID, true)
			}
		}
		return 0
	}
	rapid.Check(t, func(t *rapid.T) {
		older, newer := rapid.IntRange(0, 8).Draw(t, "older"), rapid.IntRange(1, 3).Draw(t, "newer")
		n := run(older, newer, false)
		if n == 0 || n > permitsPerOverdue*(older+1) {
			t.Fatalf("granted after %d permits", n)
		}
	})
	qt.Assert(t, run(3, 2, true), qt.Equals, 0)
}
