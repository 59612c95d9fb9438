package quarantiner

import (
	"slices"
	"time"
)

// Config holds the registry's limits.
type Config struct {
	// SuspectFor is how long a digest stays suspect after a crash.
	SuspectFor time.Duration
	// QuarantineFor is how long a quarantined digest is refused.
	QuarantineFor time.Duration
	// MaxDigests limits the digests held; suspects are dropped first, then those that expire first.
	MaxDigests int
	// Crashes is the number of crashes from which a digest is quarantined.
	Crashes int
	// CrashInterval is the shortest time between two crashes that count: servers that end together count once.
	CrashInterval time.Duration
}

// Default limits of the registry.
const (
	DefaultSuspectFor    = 10 * time.Minute
	DefaultQuarantineFor = 30 * time.Minute
	DefaultMaxDigests    = 65536
	DefaultCrashes       = 2
)

type record struct {
	// incidents are the crashes that were counted, countedAt is when the latest one was.
	incidents []string
	countedAt time.Time
	standing  Standing
	expires   time.Time
}

// Registry counts at how many crashes each digest was in flight.
type Registry struct {
	cfg     Config
	records map[Digest]record
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
	return &Registry{cfg: cfg, records: make(map[Digest]record)}
}

// ReportCrash records that digests were in flight at a crash; incident identifies the crash, so that a repeated report counts once.
func (r *Registry) ReportCrash(now time.Time, incident string, digests []Digest) {
	for _, d := range digests {
		rec, ok := r.records[d]
		if ok && rec.expires.Before(now) {
			rec, ok = record{}, false
		}
		if ok && (slices.Contains(rec.incidents, incident) || now.Sub(rec.countedAt) < r.cfg.CrashInterval) {
			continue
		}
		rec.countedAt = now
		if rec.standing != Quarantined {
			rec.incidents = append(rec.incidents, incident)
		}
		rec.standing, rec.expires = Suspect, now.Add(r.cfg.SuspectFor)
		if len(rec.incidents) >= r.cfg.Crashes {
			rec.standing, rec.expires = Quarantined, now.Add(r.cfg.QuarantineFor)
		}
		r.records[d] = rec
	}
	if len(r.records) > r.cfg.MaxDigests {
		r.evict(now)
	}
}

// Crashes returns the number of counted crashes at which a digest was in flight, 0 if none is known at now.
func (r *Registry) Crashes(now time.Time, d Digest) int {
	rec := r.records[d]
	if rec.expires.Before(now) {
		return 0
	}
	return len(rec.incidents)
}

// Clear removes a suspect digest whose request ran to its end; a quarantined one stays.
func (r *Registry) Clear(d Digest) {
	if r.records[d].standing == Suspect {
		delete(r.records, d)
	}
}

// Quarantine quarantines a digest without a crash, as when a leader takes over from an earlier one.
func (r *Registry) Quarantine(now time.Time, d Digest) {
	r.records[d] = record{standing: Quarantined, incidents: make([]string, r.cfg.Crashes), expires: now.Add(r.cfg.QuarantineFor)}
}

// Standing returns the standing of a digest at now.
func (r *Registry) Standing(now time.Time, d Digest) Standing {
	rec, ok := r.records[d]
	if !ok || rec.expires.Before(now) {
		return Clear
	}
	return rec.standing
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
