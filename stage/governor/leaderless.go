package governor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingstage.org/coord/runner"
	"redwingstage.org/stage/logger"
)

const (
	// leaderlessAfter is the time without a leader after which a replica says so; an election takes less.
	leaderlessAfter = 2 * time.Second
	// leaderlessEvery is the time between two lines about the same fault, of the group or of one address.
	leaderlessEvery = 5 * time.Second
	// leaderCheckEvery is the interval of the checks for a leader and for a slow write.
	leaderCheckEvery = 250 * time.Millisecond
)

// leaderWatch decides when a replica says that it knows no leader.
type leaderWatch struct {
	// lostAt is when the replica knew a leader last, or when the watch began.
	lostAt time.Time
	// warnedAt is when it was said last, zero while a leader is known.
	warnedAt time.Time
}

// check returns how long no leader has been known, and whether that must be said now; ended is set if it was said before
// and a leader is known again.
func (w *leaderWatch) check(now time.Time, known bool) (lasted time.Duration, warn, ended bool) {
	lasted = now.Sub(w.lostAt)
	if known {
		ended = !w.warnedAt.IsZero()
		w.lostAt, w.warnedAt = now, time.Time{}
		return lasted, false, ended
	}
	warn = lasted >= leaderlessAfter && now.Sub(w.warnedAt) >= leaderlessEvery
	if warn {
		w.warnedAt = now
	}
	return lasted, warn, false
}

// knowsLeader reports whether a leader is known; a replica that leads the log without a lease serves nothing.
func knowsLeader(st runner.Status, now time.Time) bool {
	return st.Leader != 0 && st.Leader != st.ID || st.IsLeader(now)
}

// watchLeader logs how long no leader is known, and writes that don't end, until ctx is done.
func (ms *membership) watchLeader(ctx context.Context) {
	ticker := time.NewTicker(leaderCheckEvery)
	defer ticker.Stop()
	w := leaderWatch{lostAt: time.Now()}
	var writes writeWatch
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		var st runner.Status
		if r := ms.log(); r != nil {
			st = r.Status()
		}
		known := knowsLeader(st, now)
		if known {
			ms.clearJoins()
		}
		switch lasted, warn, ended := w.check(now, known); {
		case warn:
			ms.logger.Leaderless(ms.leaderless(now, st, lasted))
		case ended:
			ms.logger.LeaderKnown(st.Leader, st.Term, lasted)
		}
		if writes.isSlow(now, st.WritingSince) {
			ms.logger.SlowWrite(now.Sub(st.WritingSince), false)
		}
	}
}

// writeWatch finds writes that take longer than an election.
type writeWatch struct {
	// found is when the latest of them began.
	found time.Time
}

// isSlow reports, once, that the write in flight takes longer than an election; since is zero without one.
func (w *writeWatch) isSlow(now, since time.Time) bool {
	if since.IsZero() || since.Equal(w.found) || now.Sub(since) <= electionTimeout {
		return false
	}
	w.found = since
	return true
}

// leaderless describes a replica that knows no leader; st is zero without an open log.
func (ms *membership) leaderless(now time.Time, st runner.Status, lasted time.Duration) logger.Leaderless {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	l := logger.Leaderless{Duration: lasted, Term: st.Term, Role: string(st.Role)}
	if !st.WritingSince.IsZero() {
		l.Write = now.Sub(st.WritingSince)
	}
	var heard map[uint64]time.Time
	if ms.carrier != nil {
		heard = ms.carrier.LastReceived()
	}
	var voters, ages []string
	for _, m := range st.Members {
		if !m.Learner {
			voters = append(voters, fmt.Sprint(m.ID))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(heard)) {
		if at := heard[id]; at.IsZero() {
			ages = append(ages, fmt.Sprintf("%d never", id))
		} else {
			ages = append(ages, fmt.Sprintf("%d %d ms ago", id, now.Sub(at).Milliseconds()))
		}
	}
	l.Voters, l.Heard = strings.Join(voters, " "), strings.Join(ages, ", ")
	var joins []string
	for addr, j := range ms.joins {
		joins = append(joins, addr+": "+j.outcome)
	}
	slices.Sort(joins)
	l.Joins = strings.Join(joins, "; ")
	return l
}

// joinOutcome is how the last request to one address for a place in the group ended.
type joinOutcome struct {
	outcome  string
	loggedAt time.Time
}

// recordJoin records that a request to join failed, and logs it, each leaderlessEvery at most for one address.
func (ms *membership) recordJoin(now time.Time, addr string, reply joinReply, err error) {
	j := joinOutcome{outcome: "refused"}
	switch {
	case err != nil:
		j.outcome = err.Error()
	case reply.Redirect != "":
		j.outcome = "redirected to " + reply.Redirect
	}
	ms.mu.Lock()
	j.loggedAt = ms.joins[addr].loggedAt
	isDue := now.Sub(j.loggedAt) >= leaderlessEvery
	if isDue {
		j.loggedAt = now
	}
	ms.joins[addr] = j
	ms.mu.Unlock()
	if isDue {
		ms.logger.JoinFailed(addr, j.outcome)
	}
}

// clearJoins forgets failed requests to join.
func (ms *membership) clearJoins() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	clear(ms.joins)
}
