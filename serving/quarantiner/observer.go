package quarantiner

import (
	"slices"
	"time"

	"redwingstage.org/serving/tracker"
)

const (
	// answerValidFor is how long after an answer the report of a crash waits for another answer, answerGrace how long it waits.
	answerValidFor = time.Minute
	answerGrace    = 500 * time.Millisecond
	// maxAnswered limits the digests whose answers are remembered, in each of two generations.
	maxAnswered = 16384
	// Crashes are reported again, at first after firstRepeat and then after twice the time, until maxReports reports were
	// made; and each time that a leader may not know them, for keepCrashFor.
	firstRepeat  = 500 * time.Millisecond
	maxReports   = 6
	keepCrashFor = 30 * time.Minute
	maxCrashes   = 256
	// grantValidFor is how long a trial may begin after it was granted, shorter than the leader keeps it.
	grantValidFor = time.Second
	// askInterval is the shortest time between two requests for the trial of a digest.
	askInterval = 100 * time.Millisecond
)

// ServerCrash is the end of a backend server's incarnation under requests that it had not begun to answer.
type ServerCrash struct {
	Server tracker.Key
	// Digests were in flight, Tried are those of a request on trial.
	Digests, Tried []Digest
}

// reportedCrash is a crash that may be reported again.
type reportedCrash struct {
	crash   ServerCrash
	at      time.Time
	reports int
	// reportAt is the time of the next report, zero if none is due.
	reportAt time.Time
}

// Observer is what one entry knows: the digests' states from the leader, which digests servers answered, and the crashes it
// saw. It isn't safe for concurrent use.
type Observer struct {
	entry  string
	states map[Digest]State
	// answeredAt is when a server last answered a request with the digest; the newer generation is first.
	answeredAt [2]map[Digest]time.Time
	crashes    []reportedCrash
	// grantedAt are the trials that weren't used yet, askedAt when one was last requested.
	grantedAt, askedAt map[Digest]time.Time
}

// NewObserver returns the observer of an entry without any knowledge.
func NewObserver(entry string) *Observer {
	return &Observer{
		entry: entry, states: make(map[Digest]State), answeredAt: [2]map[Digest]time.Time{make(map[Digest]time.Time), make(map[Digest]time.Time)},
		grantedAt: make(map[Digest]time.Time), askedAt: make(map[Digest]time.Time),
	}
}

// Reset drops the states, before those of a new session. The leader may not know the crashes.
func (o *Observer) Reset(now time.Time) {
	clear(o.states)
	clear(o.grantedAt)
	o.reportAgain(now, func(Digest) bool { return true })
}

func (o *Observer) reportAgain(now time.Time, isUnknown func(Digest) bool) {
	for i := range o.crashes {
		r := &o.crashes[i]
		isConcerned := slices.ContainsFunc(r.crash.Digests, isUnknown) || slices.ContainsFunc(r.crash.Tried, isUnknown)
		if isConcerned && r.reports > 0 && now.Sub(r.at) <= keepCrashFor {
			r.reportAt = now
		}
	}
}

// SetState sets the state of a digest as the leader sent it.
func (o *Observer) SetState(now time.Time, d Digest, s State) {
	if s.Holder == o.entry && (o.states[d].Holder != o.entry || o.states[d].Own != s.Own) {
		o.grantedAt[d] = now
	}
	if s.Holder != o.entry {
		delete(o.grantedAt, d)
	}
	o.states[d] = s
	if s.Standing != Clear {
		return
	}
	delete(o.states, d)
	delete(o.askedAt, d)
	if s.IsAnswered {
		o.dropDigest(d)
	} else {
		o.reportAgain(now, func(other Digest) bool { return other == d })
	}
}

// dropDigest drops a digest from the crashes that may be reported again.
func (o *Observer) dropDigest(d Digest) {
	isDropped := func(other Digest) bool { return other == d }
	for i := range o.crashes {
		c := &o.crashes[i].crash
		c.Digests, c.Tried = slices.DeleteFunc(c.Digests, isDropped), slices.DeleteFunc(c.Tried, isDropped)
	}
}

// IsEmpty reports whether all digests are clear.
func (o *Observer) IsEmpty() bool { return len(o.states) == 0 }

// RecordAnswer records that a server answered a request, and returns the suspects among its digests.
func (o *Observer) RecordAnswer(now time.Time, digests []Digest) (suspects []Digest) {
	for _, d := range digests {
		if len(o.answeredAt[0]) >= maxAnswered {
			o.answeredAt[1], o.answeredAt[0] = o.answeredAt[0], make(map[Digest]time.Time)
		}
		o.answeredAt[0][d] = now
		if o.states[d].Standing == Suspect {
			suspects = append(suspects, d)
		}
	}
	return suspects
}

func (o *Observer) lastAnswer(d Digest) time.Time {
	if at, ok := o.answeredAt[0][d]; ok {
		return at
	}
	return o.answeredAt[1][d]
}

// RecordCrash records a crash, to be reported by TakeReports. Digests that servers answered lately are reported only if no
// other answer comes for a moment: requests that many callers send alike are in flight at the crashes of others.
func (o *Observer) RecordCrash(now time.Time, c ServerCrash) {
	var known, unknown []Digest
	for _, d := range c.Digests {
		if now.Sub(o.lastAnswer(d)) < answerValidFor {
			known = append(known, d)
		} else {
			unknown = append(unknown, d)
		}
	}
	o.crashes = slices.DeleteFunc(o.crashes, func(r reportedCrash) bool { return now.Sub(r.at) > keepCrashFor })
	if len(unknown)+len(c.Tried) > 0 {
		o.crashes = append(o.crashes, reportedCrash{crash: ServerCrash{c.Server, unknown, slices.Clone(c.Tried)}, at: now, reportAt: now})
	}
	if len(known) > 0 {
		o.crashes = append(o.crashes, reportedCrash{crash: ServerCrash{Server: c.Server, Digests: known}, at: now, reportAt: now.Add(answerGrace)})
	}
	o.crashes = o.crashes[max(len(o.crashes)-maxCrashes, 0):]
}

// TakeReports returns the crashes to be reported now, without the digests that servers have answered since.
func (o *Observer) TakeReports(now time.Time) []ServerCrash {
	var out []ServerCrash
	for i := range o.crashes {
		r := &o.crashes[i]
		if r.reportAt.IsZero() || now.Before(r.reportAt) {
			continue
		}
		r.crash.Digests = slices.DeleteFunc(r.crash.Digests, func(d Digest) bool { return o.lastAnswer(d).After(r.at) })
		r.reports++
		r.reportAt = now.Add(firstRepeat << (r.reports - 1))
		if r.reports >= maxReports {
			r.reportAt = time.Time{}
		}
		if len(r.crash.Digests)+len(r.crash.Tried) > 0 {
			out = append(out, ServerCrash{r.crash.Server, slices.Clone(r.crash.Digests), slices.Clone(r.crash.Tried)})
		}
	}
	return out
}

// Admission is whether a request with quarantined digests may be sent.
type Admission int

// The admissions.
const (
	// Admitted requests may be sent.
	Admitted Admission = iota
	// Undecided requests wait for the result of a request for a trial.
	Undecided
	// OnTrialElsewhere means that another request decides soon about this one's digests.
	OnTrialElsewhere
	// Refused requests aren't sent.
	Refused
)

// Check returns whether a request with these digests, its own last, may be sent, apart from trials that this entry would have
// to be given.
func (o *Observer) Check(digests []Digest) Admission {
	worst, own := Admitted, digests[len(digests)-1]
	for _, d := range digests {
		s := o.states[d]
		_, isGranted := o.grantedAt[d]
		switch {
		case s.Standing != Quarantined || isGranted && s.Own == own:
		case s.Holder != "":
			worst = max(worst, OnTrialElsewhere)
		case !s.IsTrialDue:
			return Refused
		}
	}
	return worst
}

// Admit returns whether a request with these digests, its own last, may be sent now. If isTrial is set, it is on trial then, and
// its result has to be reported; if mustRequest is set, its trial must be requested.
func (o *Observer) Admit(now time.Time, digests []Digest) (a Admission, isTrial, mustRequest bool) {
	own := digests[len(digests)-1]
	var due Digest
	for _, d := range digests {
		s := o.states[d]
		if s.Standing != Quarantined {
			continue
		}
		at, isGranted := o.grantedAt[d]
		switch {
		case isGranted && s.Own == own && now.Sub(at) < grantValidFor:
			isTrial = true
		case s.Holder != "":
			a = max(a, OnTrialElsewhere)
		case !s.IsTrialDue:
			a = Refused
		default:
			a, due = max(a, Undecided), d
		}
	}
	switch a {
	case Admitted:
		for _, d := range digests {
			delete(o.grantedAt, d)
		}
		return Admitted, isTrial, false
	case Undecided:
		if now.Sub(o.askedAt[due]) >= askInterval {
			o.askedAt[due] = now
			return Undecided, false, true
		}
	case OnTrialElsewhere, Refused:
	}
	return a, false, false
}

// TakeExpiredGrants returns the last digests of the requests that didn't use their trials in time, which others may have.
func (o *Observer) TakeExpiredGrants(now time.Time) []Digest {
	var out []Digest
	for d, at := range o.grantedAt {
		if now.Sub(at) < grantValidFor {
			continue
		}
		delete(o.grantedAt, d)
		if own := o.states[d].Own; !slices.Contains(out, own) {
			out = append(out, own)
		}
	}
	return out
}
