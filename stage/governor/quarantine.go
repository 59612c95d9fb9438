package governor

import (
	"context"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"redwingstage.org/serving/quarantiner"
)

const (
	// quarantineCrashes is the number of servers from whose ends on a part or a request is quarantined.
	quarantineCrashes = 3
	suspectFor        = time.Hour
	// quarantineFor is how long a quarantined digest is kept that no entry tries.
	quarantineFor = 24 * time.Hour
	// trialFor is how long a trial without a result excludes others, longer than a server takes to begin its answer.
	trialFor    = 10 * time.Second
	maxSuspects = 16384
	// expireEvery is the interval between two checks for expired standings and due trials.
	expireEvery = time.Second
)

// trialPauses are the pauses after failed trials: short after the first, which may be another request's fault.
var trialPauses = []time.Duration{time.Minute, 30 * time.Minute, 24 * time.Hour}

// quarantine finds the parts and the requests that crash backend servers, over all entries. Entries get the suspects too,
// so that each of them can report those that servers answer.
type quarantine struct {
	registry *quarantiner.Registry
	// sent are the states as sent to relays.
	sent     map[quarantiner.Digest]quarantiner.State
	answered map[quarantiner.Digest]bool
	dirty    bool
	expireAt time.Time
	// isRecording is set while a change of the quarantined digests is proposed to the log.
	isRecording bool
}

func newQuarantine(now time.Time, state *replicatedState) *quarantine {
	q := &quarantine{
		registry: quarantiner.New(quarantiner.Config{
			SuspectFor: suspectFor, QuarantineFor: quarantineFor, MaxDigests: maxSuspects, Crashes: quarantineCrashes,
			TrialPauses: trialPauses, TrialFor: trialFor,
		}),
		sent: make(map[quarantiner.Digest]quarantiner.State), answered: make(map[quarantiner.Digest]bool),
	}
	for _, d := range state.Quarantined {
		q.registry.Quarantine(now, d, state.failedTrials(d))
		q.sent[d] = q.registry.State(now, d)
	}
	return q
}

// crashCount is what a report of a crash changed.
type crashCount struct {
	// counted is the number of digests for which the report counted, highest their highest count.
	counted, highest int
	// quarantined are the digests that are quarantined from now on.
	quarantined []quarantiner.Digest
}

func (q *quarantine) reportCrash(now time.Time, c Crash) crashCount {
	var out crashCount
	incident := c.Server.ID + "/" + strconv.FormatInt(c.Server.StartedMS, 10)
	q.registry.FailTrial(now, incident, c.Tried)
	for _, d := range c.Digests {
		before := q.registry.Crashes(now, d)
		q.registry.ReportCrash(now, incident, []quarantiner.Digest{d})
		if n := q.registry.Crashes(now, d); n > before {
			out.counted++
			out.highest = max(out.highest, n)
			if n == quarantineCrashes {
				out.quarantined = append(out.quarantined, d)
			}
		}
	}
	q.dirty = true
	return out
}

// reportSound clears suspects; a quarantined digest stays until its trial.
func (q *quarantine) reportSound(now time.Time, digests []quarantiner.Digest) {
	for _, d := range digests {
		if q.registry.Standing(now, d) == quarantiner.Suspect {
			q.registry.Clear(d)
			q.answered[d], q.dirty = true, true
		}
	}
}

// applyTrial applies a step of a trial; it returns whether a trial was granted.
func (q *quarantine) applyTrial(now time.Time, t Trial) (granted bool) {
	if len(t.Digests) == 0 {
		return false
	}
	q.dirty = true
	switch t.Step {
	case TrialRequested:
		return q.registry.GrantTrial(now, t.Digests, t.Service, t.Entry)
	case TrialCancelled:
		q.registry.CancelTrial(t.Digests, t.Entry)
	case TrialUndecided:
		q.registry.DeferTrial(now, t.Digests, t.Entry)
	case TrialAnswered:
		q.registry.PassTrial(t.Digests)
		for _, d := range t.Digests {
			q.answered[d] = true
		}
	}
	return false
}

// all returns the standings as sent to relays.
func (q *quarantine) all() []DigestStanding {
	var out []DigestStanding
	for d, s := range q.sent {
		out = append(out, newDigestStanding(d, s))
	}
	return out
}

// takeChanges returns the standings that changed since the last call.
func (q *quarantine) takeChanges(now time.Time) []DigestStanding {
	if !q.dirty && now.Before(q.expireAt) {
		return nil
	}
	q.dirty, q.expireAt = false, now.Add(expireEvery)
	q.registry.Expire(now)
	current := make(map[quarantiner.Digest]quarantiner.State)
	q.registry.Each(now, func(d quarantiner.Digest, _ quarantiner.Standing, _ time.Time) { current[d] = q.registry.State(now, d) })
	var out []DigestStanding
	for d, s := range current {
		if q.sent[d] != s {
			out = append(out, newDigestStanding(d, s))
		}
	}
	for d := range q.sent {
		if _, ok := current[d]; !ok {
			out = append(out, DigestStanding{Digest: d, IsAnswered: q.answered[d]})
		}
	}
	clear(q.answered)
	q.sent = current
	return out
}

// nextRecord returns the next change that makes the recorded quarantined digests equal to the current ones.
func (q *quarantine) nextRecord(recorded *replicatedState) (command, bool) {
	for d, s := range q.sent {
		if s.Standing != quarantiner.Quarantined {
			continue
		}
		isRecorded, failed := slices.Contains(recorded.Quarantined, d), q.registry.FailedTrials(d)
		isChanged := isRecorded && !slices.Equal(recorded.failedTrials(d).Crashes, failed.Crashes)
		if !isRecorded && len(recorded.Quarantined) < maxQuarantined || isChanged {
			return command{Quarantined: &d, FailedTrials: failed.Crashes, LastFailedMS: failed.LastAt.UnixMilli()}, true
		}
	}
	for _, d := range recorded.Quarantined {
		if q.sent[d].Standing != quarantiner.Quarantined {
			return command{Released: &d}, true
		}
	}
	return command{}, false
}

// recordCrashes records the crashes that a relay reports.
func (h *hub) recordCrashes(now time.Time, crashes []Crash) {
	for _, c := range crashes {
		count := h.leader.quarantine.reportCrash(now, c)
		if count.counted > 0 {
			h.log.CrashCounted(c.Server.ID, count.counted, count.highest)
		}
		for _, d := range count.quarantined {
			h.log.Warn("a request or part was in flight at the ends of servers and waits for a trial", hex.EncodeToString(d[:]))
		}
	}
}

// applyTrials applies the steps of trials that a relay reports.
func (h *hub) applyTrials(now time.Time, trials []Trial) {
	for _, t := range trials {
		h.leader.quarantine.applyTrial(now, t)
		if t.Step != TrialAnswered {
			continue
		}
		for _, d := range t.Digests {
			h.log.Info("a backend server answered a request on trial", hex.EncodeToString(d[:]))
		}
	}
}

// broadcastStandings broadcasts the changed standings.
func (h *hub) broadcastStandings(now time.Time) {
	if h.leader == nil || h.standings.wait(now) > 0 {
		return
	}
	began := time.Now()
	defer h.standings.end(began)
	changed := h.leader.quarantine.takeChanges(now)
	if len(changed) == 0 {
		return
	}
	for _, s := range changed {
		if s.Standing == quarantiner.Quarantined && !s.IsTrialDue && s.Holder == "" {
			h.log.Warn("requests that crash backend servers are refused from now on", hex.EncodeToString(s.Digest[:]))
		}
	}
	h.broadcast(DownMessage{Standings: changed})
}

// recordQuarantine proposes the next change of the quarantined digests to the log, so that they survive this leader.
func (h *hub) recordQuarantine() {
	q := h.leader.quarantine
	if q.isRecording {
		return
	}
	cmd, ok := q.nextRecord(h.membership.state())
	if !ok {
		return
	}
	q.isRecording = true
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		_, err := h.membership.propose(ctx, cmd)
		h.post(func(time.Time) {
			q.isRecording = false
			if err != nil {
				h.log.Error("record a quarantined digest", err)
			}
		})
	})
}
