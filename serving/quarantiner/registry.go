package quarantiner

import "time"

// Config holds the registry's limits.
type Config struct {
	// SuspectFor is how long a digest stays a suspect after a crash.
	SuspectFor time.Duration
	// ConvictFor is how long a convicted digest is refused.
	ConvictFor time.Duration
	// MaxDigests bounds the memory; the entries that expire first are dropped.
	MaxDigests int
}

// Default limits of the registry.
const (
	DefaultSuspectFor = 10 * time.Minute
	DefaultConvictFor = 30 * time.Minute
	DefaultMaxDigests = 65536
)

type record struct {
	incident string
	standing Standing
	expires  time.Time
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
	if cfg.ConvictFor <= 0 {
		cfg.ConvictFor = DefaultConvictFor
	}
	if cfg.MaxDigests <= 0 {
		cfg.MaxDigests = DefaultMaxDigests
	}
	return &Registry{cfg: cfg, records: make(map[Digest]record)}
}

// Accuse records that digests were in flight at a crash; incident names server and incarnation, so that a repeated report counts once.
func (r *Registry) Accuse(now time.Time, incident string, digests []Digest) {
	for _, d := range digests {
		old, ok := r.records[d]
		if ok && old.expires.Before(now) {
			ok = false
		}
		switch {
		case ok && old.incident == incident:
		case ok:
			r.records[d] = record{incident: incident, standing: Convicted, expires: now.Add(r.cfg.ConvictFor)}
		default:
			r.records[d] = record{incident: incident, standing: Suspect, expires: now.Add(r.cfg.SuspectFor)}
		}
	}
	if len(r.records) > r.cfg.MaxDigests {
		r.shrink(now)
	}
}

// Clear removes the suspicion from a digest whose request ran to its end; a conviction stays.
func (r *Registry) Clear(d Digest) {
	if r.records[d].standing == Suspect {
		delete(r.records, d)
	}
}

// Standing returns what is known of a digest.
func (r *Registry) Standing(now time.Time, d Digest) Standing {
	rec, ok := r.records[d]
	if !ok || rec.expires.Before(now) {
		return Clear
	}
	return rec.standing
}

// Expire drops the entries that have run out.
func (r *Registry) Expire(now time.Time) {
	for d, rec := range r.records {
		if rec.expires.Before(now) {
			delete(r.records, d)
		}
	}
}

// Len returns the number of digests held.
func (r *Registry) Len() int { return len(r.records) }

// Each calls f for each digest with a standing at the time, so that it can be spread to the entries.
func (r *Registry) Each(now time.Time, f func(Digest, Standing, time.Time)) {
	for d, rec := range r.records {
		if !rec.expires.Before(now) {
			f(d, rec.standing, rec.expires)
		}
	}
}

// shrink drops expired entries, then suspects, then whatever expires first.
func (r *Registry) shrink(now time.Time) {
	r.Expire(now)
	for len(r.records) > r.cfg.MaxDigests {
		var victim Digest
		var worst record
		for d, rec := range r.records {
			if worst.expires.IsZero() || rec.standing < worst.standing ||
				rec.standing == worst.standing && rec.expires.Before(worst.expires) {
				victim, worst = d, rec
			}
		}
		delete(r.records, victim)
	}
}
