package quarantiner

import (
	"slices"
	"time"
)

// Config holds the registry's limits.
type Config struct {
	// SuspectFor is how long a digest stays suspect after a crash.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantined digest is refused; with trials, how long it is kept after its next trial is due.
	QuarantineFor time.Duration
	// MaxDigests limits the digests held; suspects are dropped first, then those that expire first.
	MaxDigests int
	// Crashes is the number of crashes from which a digest is quarantined.
	Crashes int
	// TrialPauses are the pauses before the next trial of a quarantined digest, by the number of its failed trials; the last
	// one is repeated. Without pauses there are no trials.
	TrialPauses []time.Duration
	// TrialFor is how long a trial without a result excludes others.
	TrialFor time.Duration
}

// Default limits of the registry.
const (
	DefaultSuspectFor    = 10 * time.Minute
	DefaultQuarantineFor = 30 * time.Minute
	DefaultMaxDigests    = 65536
	DefaultCrashes       = 2
)

// restoreDelay is the time that entries get to report again what they saw, a repeated report included.
const restoreDelay = 3 * time.Second

type record struct {
	// incidents are the crashes that were counted.
	incidents []string
	standing  Standing
	expires   time.Time
	// trialAt is when the next trial is due, failed are the crashes under failed ones.
	trialAt time.Time
	failed  FailedTrials
	// undecided is the number of trials that reached a server and had no result.
	undecided int
	// isDoubted is set if a server crashed under a trial with another digest that may be the cause.
	isDoubted bool
	// holder is the entry that holds a trial until heldUntil, own the last digest of the request.
	holder    string
	own       Digest
	heldUntil time.Time
}

// Registry counts at how many crashes each digest was in flight.
type Registry struct {
	cfg     Config
	records map[Digest]record
	// trials are the running ones, by service.
	trials map[string]*trial
}

// New returns an empty registry; zero limits take their defaults.
func New(cfg Config) *Registry {
	if cfg.SuspectFor <= 0 {
		cfg.SuspectFor = DefaultSuspectFor
	}
	if cfg.QuarantineFor <= 0 {
		cfg.QuarantineFor = DefaultQuarantineFor
	}
	if cfg.MaxDigests <= 0 {
		cfg.MaxDigests = DefaultMaxDigests
	}
	if cfg.Crashes <= 0 {
		cfg.Crashes = DefaultCrashes
	}
	return &Registry{cfg: cfg, records: make(map[Digest]record), trials: make(map[string]*trial)}
}

// ReportCrash records that digests were in flight at a crash; incident identifies the crash, so that a repeated report counts once.
func (r *Registry) ReportCrash(now time.Time, incident string, digests []Digest) {
	for _, d := range digests {
		rec := r.current(now, d)
		if rec.standing == Quarantined || slices.Contains(rec.incidents, incident) {
			continue
		}
		rec.incidents = append(rec.incidents, incident)
		rec.standing, rec.expires = Suspect, now.Add(r.cfg.SuspectFor)
		if len(rec.incidents) >= r.cfg.Crashes {
			rec.quarantine(r.cfg, now)
		}
		r.records[d] = rec
	}
	if len(r.records) > r.cfg.MaxDigests {
		r.evict(now)
	}
}

// current returns the record of a digest, or an empty one if it has none or it has expired.
func (r *Registry) current(now time.Time, d Digest) record {
	if rec := r.records[d]; !rec.expires.Before(now) {
		return rec
	}
	return record{}
}

// quarantine makes the digest quarantined; the next trial is due after the pause for its failed ones. Of those without a result
// all but one count too, as they reached servers.
func (rec *record) quarantine(cfg Config, now time.Time) {
	rec.standing, rec.trialAt = Quarantined, now
	if n := len(rec.failed.Crashes); n > 0 && len(cfg.TrialPauses) > 0 {
		n += max(rec.undecided-1, 0)
		rec.trialAt = now.Add(cfg.TrialPauses[min(n, len(cfg.TrialPauses))-1])
	}
	rec.expires = rec.trialAt.Add(cfg.QuarantineFor)
	rec.holder, rec.isDoubted = "", false
}

// Crashes returns the number of counted crashes at which a digest was in flight, 0 if none is known at now.
func (r *Registry) Crashes(now time.Time, d Digest) int {
	return len(r.current(now, d).incidents)
}

// Clear removes a suspect digest whose request ran to its end; a quarantined one stays.
func (r *Registry) Clear(d Digest) {
	if r.records[d].standing == Suspect {
		delete(r.records, d)
	}
}

// Quarantine quarantines a digest without a crash, as when a leader takes over from an earlier one, whose clock may have been
// another. No trial begins before entries have reported again what they saw, which shows the request to blame.
func (r *Registry) Quarantine(now time.Time, d Digest, failed FailedTrials) {
	rec := record{incidents: make([]string, r.cfg.Crashes), failed: failed}
	since := now
	if ago := now.Sub(failed.LastAt); len(failed.Crashes) > 0 && ago > 0 {
		// The sum keeps the monotonic clock, so that later steps of the wall clock change nothing.
		since = now.Add(-ago)
	}
	rec.quarantine(r.cfg, since)
	if earliest := now.Add(restoreDelay); rec.trialAt.Before(earliest) {
		rec.trialAt, rec.expires = earliest, earliest.Add(r.cfg.QuarantineFor)
	}
	r.records[d] = rec
}

// Standing returns the standing of a digest at now.
func (r *Registry) Standing(now time.Time, d Digest) Standing {
	return r.current(now, d).standing
}

// Expire drops expired digests.
func (r *Registry) Expire(now time.Time) {
	for d, rec := range r.records {
		if rec.expires.Before(now) {
			delete(r.records, d)
		}
	}
}

// Len returns the number of digests held.
func (r *Registry) Len() int { return len(r.records) }

// Each calls f with each unexpired digest, its standing and its expiry, so that it can be spread to the entries.
func (r *Registry) Each(now time.Time, f func(Digest, Standing, time.Time)) {
	for d, rec := range r.records {
		if !rec.expires.Before(now) {
			f(d, rec.standing, rec.expires)
		}
	}
}

// evict drops expired digests, then suspects, then those that expire first, down to MaxDigests.
func (r *Registry) evict(now time.Time) {
	r.Expire(now)
	for len(r.records) > r.cfg.MaxDigests {
		var victim Digest
		var victimRecord record
		for d, rec := range r.records {
			if victimRecord.expires.IsZero() || rec.standing < victimRecord.standing ||
				rec.standing == victimRecord.standing && rec.expires.Before(victimRecord.expires) {
				victim, victimRecord = d, rec
			}
		}
		delete(r.records, victim)
	}
}
