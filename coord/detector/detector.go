package detector

import (
	"math"
	"slices"
	"time"
)

// Kind is a kind of measurement; members are compared within a kind.
type Kind int

// The kinds of measurement.
const (
	// First is the time from the send to the first token or answer.
	First Kind = iota
	// Gap is the time between two tokens.
	Gap

	kinds = int(Gap) + 1
)

// Config holds the detector's bounds.
type Config struct {
	// Factor is how many times slower than the reference a straggler is.
	Factor float64
	// ClearFactor is the factor under which a straggler is trusted again.
	ClearFactor float64
	// Window is the time constant of a member's recent average.
	Window time.Duration
	// Memory is the time constant of the average that serves as reference.
	Memory time.Duration
	// MinSamples is the number of recent measurements before a judgement.
	MinSamples int
	// Hold is how long a straggler without new measurements stays one.
	Hold time.Duration
}

// Default bounds of the detector.
const (
	DefaultFactor      = 2.0
	DefaultClearFactor = 1.4
	DefaultWindow      = 250 * time.Millisecond
	DefaultMemory      = 30 * time.Second
	DefaultMinSamples  = 3
	DefaultHold        = time.Second
)

type average struct {
	value   float64
	weight  float64
	samples int
	at      time.Time
}

type member struct {
	recent [kinds]average
	long   [kinds]average
	slow   bool
	seen   time.Time
}

// Detector judges members against the fleet and their own past.
type Detector struct {
	cfg       Config
	members   map[string]*member
	reference [kinds]float64
	updated   time.Time
}

// New returns a detector without members; zero bounds take their defaults.
func New(cfg Config) *Detector {
	if cfg.Factor <= 1 {
		cfg.Factor = DefaultFactor
	}
	if cfg.ClearFactor <= 1 || cfg.ClearFactor > cfg.Factor {
		cfg.ClearFactor = min(DefaultClearFactor, cfg.Factor)
	}
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	if cfg.Memory <= 0 {
		cfg.Memory = DefaultMemory
	}
	if cfg.MinSamples <= 0 {
		cfg.MinSamples = DefaultMinSamples
	}
	if cfg.Hold <= 0 {
		cfg.Hold = DefaultHold
	}
	return &Detector{cfg: cfg, members: make(map[string]*member)}
}

// Observe records a measurement of a member, and whether it turned slow or fast by it is seen in Slow.
func (d *Detector) Observe(now time.Time, name string, kind Kind, took time.Duration) {
	if kind < 0 || int(kind) >= kinds || took < 0 {
		return
	}
	m := d.members[name]
	if m == nil {
		m = &member{}
		d.members[name] = m
	}
	if m.slow && now.Sub(m.seen) > d.cfg.Hold {
		m.slow = false
		m.recent = [kinds]average{}
	}
	m.seen = now
	m.recent[kind].add(now, took.Seconds(), d.cfg.Window)
	d.judge(now, m)
	if !m.slow {
		m.long[kind].add(now, took.Seconds(), d.cfg.Memory)
	}
}

// Overdue records that a measurement has already lasted as long without an end; it counts only where it is worse than what is known.
func (d *Detector) Overdue(now time.Time, name string, kind Kind, elapsed time.Duration) {
	if ref := d.Reference(now, kind); ref > 0 && elapsed.Seconds() > ref.Seconds()*d.cfg.Factor {
		d.Observe(now, name, kind, elapsed)
	}
}

// Slow reports whether a member is a straggler.
func (d *Detector) Slow(now time.Time, name string) bool {
	m := d.members[name]
	return m != nil && m.slow && now.Sub(m.seen) <= d.cfg.Hold
}

// Reference returns the usual length of a kind of measurement, or zero while it is unknown.
func (d *Detector) Reference(now time.Time, kind Kind) time.Duration {
	if d.updated.IsZero() || now.Sub(d.updated) >= d.cfg.Window {
		d.refresh(now)
	}
	return time.Duration(d.reference[kind] * float64(time.Second))
}

// Forget drops a member, for example after a restart.
func (d *Detector) Forget(name string) { delete(d.members, name) }

// Silent reports whether a connection that last delivered something at last has gone silent.
func Silent(now, last time.Time, bound time.Duration) bool {
	return bound > 0 && now.Sub(last) >= bound
}

func (d *Detector) judge(now time.Time, m *member) {
	worst, samples := 0.0, 0
	for k := range kinds {
		ref := d.Reference(now, Kind(k)).Seconds()
		if ref <= 0 || m.recent[k].samples == 0 {
			continue
		}
		samples += m.recent[k].samples
		worst = max(worst, m.recent[k].value/ref)
	}
	switch {
	case samples < d.cfg.MinSamples:
	case worst >= d.cfg.Factor:
		m.slow = true
	case worst <= d.cfg.ClearFactor:
		m.slow = false
	}
}

// refresh computes the reference of each kind: the median of the members' long averages.
func (d *Detector) refresh(now time.Time) {
	d.updated = now
	values := make([]float64, 0, len(d.members))
	for k := range kinds {
		values = values[:0]
		for _, m := range d.members {
			if m.long[k].samples > 0 {
				values = append(values, m.long[k].value)
			}
		}
		d.reference[k] = 0
		if len(values) > 0 {
			slices.Sort(values)
			d.reference[k] = values[(len(values)-1)/2]
		}
	}
}

// add folds a value into an average whose old values lose weight with time.
func (a *average) add(now time.Time, v float64, window time.Duration) {
	if a.samples > 0 {
		keep := math.Exp(-max(now.Sub(a.at), 0).Seconds() / window.Seconds())
		a.weight *= keep
	}
	a.weight++
	a.value += (v - a.value) / a.weight
	a.samples++
	a.at = now
}
