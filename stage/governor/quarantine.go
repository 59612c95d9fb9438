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
	// quarantineCrashes is the number of crashes from which a part or a request is quarantined. Sound ones are among those
	// in flight at a crash too, but engines begin to answer them elsewhere before they are in flight at so many.
	quarantineCrashes = 3
	// crashInterval gives entries the time to report that a suspect is sound.
	crashInterval = 250 * time.Millisecond
	suspectFor    = time.Minute
	maxSuspects   = 16384
	// expireEvery is the interval between two checks for expired standings.
	expireEvery = time.Second
)

// quarantine finds the parts and the requests that crash backend servers, over all entries. Entries get the suspects too,
// so that each of them can report those that servers answer.
type quarantine struct {
	registry *quarantiner.Registry
	// sent are the standings as sent to relays.
	sent     map[quarantiner.Digest]quarantiner.Standing
	dirty    bool
	expireAt time.Time
	// isRecording is set while a change of the quarantined digests is proposed to the log.
	isRecording bool
}

func newQuarantine(now time.Time, quarantined []quarantiner.Digest) *quarantine {
	q := &quarantine{
		registry: quarantiner.New(quarantiner.Config{
			SuspectFor: suspectFor, MaxDigests: maxSuspects, Crashes: quarantineCrashes, CrashInterval: crashInterval,
		}),
		sent: make(map[quarantiner.Digest]quarantiner.Standing),
	}
	for _, d := range quarantined {
		q.registry.Quarantine(now, d)
		q.sent[d] = quarantiner.Quarantined
	}
	return q
}

// reportCrash records a crash; it returns the number of digests for which the report counted, and their highest count.
func (q *quarantine) reportCrash(now time.Time, c Crash) (counted, highest int) {
	incident := c.Server.ID + "/" + strconv.FormatInt(c.Server.StartedMS, 10)
	for _, d := range c.Digests {
		before := q.registry.Crashes(now, d)
		q.registry.ReportCrash(now, incident, []quarantiner.Digest{d})
		if n := q.registry.Crashes(now, d); n > before {
			counted++
			highest = max(highest, n)
		}
	}
	q.dirty = true
	return counted, highest
}

// reportSound clears suspects; a quarantined digest stays.
func (q *quarantine) reportSound(digests []quarantiner.Digest) {
	for _, d := range digests {
		q.registry.Clear(d)
		q.dirty = true
	}
}

// all returns the standings as sent to relays.
func (q *quarantine) all() []DigestStanding {
	var out []DigestStanding
	for d, s := range q.sent {
		out = append(out, DigestStanding{d, s})
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
	current := make(map[quarantiner.Digest]quarantiner.Standing)
	q.registry.Each(now, func(d quarantiner.Digest, s quarantiner.Standing, _ time.Time) { current[d] = s })
	var out []DigestStanding
	for d, s := range current {
		if q.sent[d] != s {
			out = append(out, DigestStanding{d, s})
		}
	}
	for d := range q.sent {
		if _, ok := current[d]; !ok {
			out = append(out, DigestStanding{Digest: d})
		}
	}
	q.sent = current
	return out
}

// nextRecord returns the next change that makes the recorded quarantined digests equal to the current ones.
func (q *quarantine) nextRecord(recorded []quarantiner.Digest) (command, bool) {
	for d, s := range q.sent {
		if s == quarantiner.Quarantined && !slices.Contains(recorded, d) && len(recorded) < maxQuarantined {
			return command{Quarantined: &d}, true
		}
	}
	for _, d := range recorded {
		if q.sent[d] != quarantiner.Quarantined {
			return command{Released: &d}, true
		}
	}
	return command{}, false
}

// recordCrashes records the crashes that a relay reports.
func (h *hub) recordCrashes(now time.Time, crashes []Crash) {
	for _, c := range crashes {
		if counted, highest := h.leader.quarantine.reportCrash(now, c); counted > 0 {
			h.log.CrashCounted(c.Server.ID, counted, highest)
		}
	}
}

// broadcastStandings broadcasts the changed standings.
func (h *hub) broadcastStandings(now time.Time) {
	if h.leader == nil {
		return
	}
	changed := h.leader.quarantine.takeChanges(now)
	if len(changed) == 0 {
		return
	}
	for _, s := range changed {
		if s.Standing == quarantiner.Quarantined {
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
	cmd, ok := q.nextRecord(h.membership.state().Quarantined)
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
