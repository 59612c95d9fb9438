package quarantiner

import (
	"math"
	"slices"
	"time"
)

// State is a digest's standing, and the trials of a quarantined one: one request at a time may be sent although it has the
// digest, and the result settles whether the digest crashes backend servers or was only in flight at their crashes.
type State struct {
	Standing Standing
	// IsTrialDue is set if an entry may request a trial.
	IsTrialDue bool
	// Holder is the entry that holds the trial, "" if none does, and Own the last digest of the request on trial.
	Holder string
	Own    Digest
	// IsAnswered is set if the digest is clear because a server answered it.
	IsAnswered bool
}

// State returns the state of a digest at now.
func (r *Registry) State(now time.Time, d Digest) State {
	rec := r.current(now, d)
	s := State{Standing: rec.standing}
	if rec.standing != Quarantined || len(r.cfg.TrialPauses) == 0 {
		return s
	}
	if rec.holder != "" && now.Before(rec.heldUntil) {
		s.Holder, s.Own = rec.holder, rec.own
	}
	s.IsTrialDue = s.Holder == "" && !now.Before(rec.trialAt)
	return s
}

// FailedTrials are the crashes under the trials of a digest.
type FailedTrials struct {
	Crashes []string
	// LastAt is the time of the last one.
	LastAt time.Time
}

// FailedTrials returns the crashes under the trials of a digest.
func (r *Registry) FailedTrials(d Digest) FailedTrials { return r.records[d].failed }

// sharedTrialDelay is how long the trial of a digest waits for a request that shares it and has no other suspect digest: the
// crash under any other request may be due to that one.
const sharedTrialDelay = 5 * time.Second

// trial is a request that may be sent although some of its digests are quarantined.
type trial struct {
	entry   string
	digests []Digest
	until   time.Time
}

func (t *trial) own() Digest { return t.digests[len(t.digests)-1] }

// GrantTrial gives an entry the trial of a request with these digests, in the order from those that it shares with the most
// requests to its own. False means that none is due, or that another request to the service is on trial: both could be on the
// server that ends.
func (r *Registry) GrantTrial(now time.Time, digests []Digest, service, entry string) bool {
	if t := r.trials[service]; t != nil && now.Before(t.until) {
		return false
	}
	isDue := false
	for i, d := range digests {
		rec := r.current(now, d)
		if rec.standing != Quarantined {
			continue
		}
		isDue = true
		isShared := r.lastNotClear(now, digests[i+1:]) >= 0
		if !r.State(now, d).IsTrialDue || isShared && now.Before(rec.trialAt.Add(sharedTrialDelay)) {
			return false
		}
	}
	if !isDue {
		return false
	}
	t := &trial{entry: entry, digests: slices.Clone(digests), until: now.Add(r.cfg.TrialFor)}
	r.trials[service] = t
	for _, d := range digests {
		if rec := r.current(now, d); rec.standing == Quarantined {
			rec.holder, rec.own, rec.heldUntil = entry, t.own(), t.until
			r.records[d] = rec
		}
	}
	return true
}

// lastNotClear returns the index of the last digest that isn't clear, or -1.
func (r *Registry) lastNotClear(now time.Time, digests []Digest) int {
	for i, d := range slices.Backward(digests) {
		if r.Standing(now, d) != Clear {
			return i
		}
	}
	return -1
}

// undecidedPause is the pause after a first trial that reached a server and had no result, undecidedFactor that between two
// such pauses: the server may have been full, or its error or silence may mean anything.
const (
	undecidedPause  = 2 * time.Second
	undecidedFactor = 3
	// maxUndecided bounds the pause to about half an hour.
	maxUndecided = 6
)

// DeferTrial ends an entry's trial that reached a server and had no result. The next trial of its last digest that isn't clear
// is due after a pause, as the request may be one that crashes servers.
func (r *Registry) DeferTrial(now time.Time, digests []Digest, entry string) {
	if !r.endTrial(digests, entry) {
		return
	}
	i := r.lastNotClear(now, digests)
	if i < 0 {
		return
	}
	rec := r.records[digests[i]]
	if rec.standing != Quarantined {
		return
	}
	rec.trialAt = now.Add(undecidedPause * time.Duration(math.Pow(undecidedFactor, float64(rec.undecided))))
	rec.undecided = min(rec.undecided+1, maxUndecided)
	rec.expires = rec.trialAt.Add(r.cfg.QuarantineFor)
	r.records[digests[i]] = rec
}

// CancelTrial ends an entry's trial that reached no server.
func (r *Registry) CancelTrial(digests []Digest, entry string) { r.endTrial(digests, entry) }

// endTrial ends the trial of a request, of an entry or, if it is "", of any; false means that it isn't running.
func (r *Registry) endTrial(digests []Digest, entry string) bool {
	own := digests[len(digests)-1]
	for service, t := range r.trials {
		if t.own() != own || entry != "" && t.entry != entry {
			continue
		}
		for _, d := range t.digests {
			if rec, ok := r.records[d]; ok && rec.own == own {
				rec.holder = ""
				r.records[d] = rec
			}
		}
		delete(r.trials, service)
		return true
	}
	return false
}

// PassTrial clears the digests of a trial that was answered.
func (r *Registry) PassTrial(digests []Digest) {
	r.endTrial(digests, "")
	for _, d := range digests {
		delete(r.records, d)
	}
}

// FailTrial records a crash under a request on trial, with its digests in the order of GrantTrial. The last of them that isn't
// clear fails. The quarantined ones before it are shared with other requests and only fail with the second such request, or if
// a trial of theirs has failed before.
func (r *Registry) FailTrial(now time.Time, incident string, digests []Digest) {
	if len(digests) == 0 {
		return
	}
	// A report that is repeated says nothing new about the shared digests, whose trials go on in other requests.
	isRunning := r.endTrial(digests, "")
	last := r.lastNotClear(now, digests)
	for i, d := range digests {
		rec := r.current(now, d)
		switch {
		case i > last || slices.Contains(rec.failed.Crashes, incident):
			continue
		case i < last && (rec.standing != Quarantined || !isRunning):
			continue
		case i < last && len(rec.failed.Crashes) == 0 && !rec.isDoubted:
			rec.isDoubted, rec.trialAt = true, now
		default:
			rec.failed = FailedTrials{append(slices.Clone(rec.failed.Crashes), incident), now}
			rec.quarantine(r.cfg, now)
		}
		r.records[d] = rec
	}
}
