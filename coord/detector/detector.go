package detector

import (
	"math"
	"slices"
	"time"
)

// Kind is a kind of latency measurement; members are compared within a kind.
type Kind int

// The kinds of measurement.
const (
	// TimeToFirst is the time from the send to the first token or response.
	TimeToFirst Kind = iota
	// TokenGap is the time between two tokens.
	TokenGap

	kindCount = int(TokenGap) + 1
)

// Config holds the detector's thresholds.
type Config struct {
	// Factor is the ratio to the reference from which a member is a straggler.
	Factor float64
	// ClearFactor is the ratio up to which a straggler is cleared.
	ClearFactor float64
	// Window is the time constant of a member's recent average.
	Window time.Duration
	// ReferenceWindow is the time constant of the long-term averages behind the reference.
	ReferenceWindow time.Duration
	// MinSamples is the number of recent measurements needed for a classification.
	MinSamples int
	// Hold is how long a straggler without new measurements remains one.
	Hold time.Duration
}

// Default thresholds.
const (
	DefaultFactor          = 2.0
	DefaultClearFactor     = 1.4
	DefaultWindow          = 250 * time.Millisecond
	DefaultReferenceWindow = 30 * time.Second
	DefaultMinSamples      = 3
	DefaultHold            = time.Second
)

type average struct {
	value     float64
	weight    float64
	samples   int
	updatedAt time.Time
}

type member struct {
	recent         [kindCount]average
	longTerm       [kindCount]average
	isStraggler    bool
	lastMeasuredAt time.Time
}

// Detector compares members with each other and with their own past.
type Detector struct {
	cfg                Config
	members            map[string]*member
	reference          [kindCount]float64
	referenceUpdatedAt time.Time
}

// New returns a detector without members; zero fields of cfg take their defaults.
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
	if cfg.ReferenceWindow <= 0 {
		cfg.ReferenceWindow = DefaultReferenceWindow
	}
	if cfg.MinSamples <= 0 {
		cfg.MinSamples = DefaultMinSamples
	}
	if cfg.Hold <= 0 {
		cfg.Hold = DefaultHold
	}
	return &Detector{cfg: cfg, members: make(map[string]*member)}
}

// Observe records a measurement of a member and updates the state that Slow reports.
func (d *Detector) Observe(now time.Time, name string, kind Kind, took time.Duration) {
	if kind < 0 || int(kind) >= kindCount || took < 0 {
		return
	}
	m := d.members[name]
	if m == nil {
		m = &member{}
		d.members[name] = m
	}
	if m.isStraggler && now.Sub(m.lastMeasuredAt) > d.cfg.Hold {
		m.isStraggler = false
		m.recent = [kindCount]average{}
	}
	m.lastMeasuredAt = now
	m.recent[kind].add(now, took.Seconds(), d.cfg.Window)
	d.classify(now, m)
	if !m.isStraggler {
		m.longTerm[kind].add(now, took.Seconds(), d.cfg.ReferenceWindow)
	}
}

// ObservePending records a measurement still running after elapsed; it counts only above Factor times the reference.
func (d *Detector) ObservePending(now time.Time, name string, kind Kind, elapsed time.Duration) {
	if ref := d.Reference(now, kind); ref > 0 && elapsed.Seconds() > ref.Seconds()*d.cfg.Factor {
		d.Observe(now, name, kind, elapsed)
	}
}

// IsStraggler reports whether a member is a straggler.
func (d *Detector) IsStraggler(now time.Time, name string) bool {
	m := d.members[name]
	return m != nil && m.isStraggler && now.Sub(m.lastMeasuredAt) <= d.cfg.Hold
}

// Reference returns the usual duration of a kind of measurement, or zero while unknown.
func (d *Detector) Reference(now time.Time, kind Kind) time.Duration {
	if d.referenceUpdatedAt.IsZero() || now.Sub(d.referenceUpdatedAt) >= d.cfg.Window {
		d.updateReferences(now)
	}
	return time.Duration(d.reference[kind] * float64(time.Second))
}

// Forget removes a member, for example after a restart.
func (d *Detector) Forget(name string) { delete(d.members, name) }

// Stalled reports whether a connection that last received data at last is stalled; a bound of 0 disables it.
func Stalled(now, last time.Time, bound time.Duration) bool {
	return bound > 0 && now.Sub(last) >= bound
}

func (d *Detector) classify(now time.Time, m *member) {
	worstRatio, samples := 0.0, 0
	for k := range kindCount {
		ref := d.Reference(now, Kind(k)).Seconds()
		if ref <= 0 || m.recent[k].samples == 0 {
			continue
		}
		samples += m.recent[k].samples
		worstRatio = max(worstRatio, m.recent[k].value/ref)
	}
	switch {
	case samples < d.cfg.MinSamples:
	case worstRatio >= d.cfg.Factor:
		m.isStraggler = true
	case worstRatio <= d.cfg.ClearFactor:
		m.isStraggler = false
	}
}

// updateReferences computes the reference of each kind: the median of the members' long-term averages.
func (d *Detector) updateReferences(now time.Time) {
	d.referenceUpdatedAt = now
	values := make([]float64, 0, len(d.members))
	for k := range kindCount {
		values = values[:0]
		for _, m := range d.members {
			if m.longTerm[k].samples > 0 {
				values = append(values, m.longTerm[k].value)
			}
		}
		d.reference[k] = 0
		if len(values) > 0 {
			slices.Sort(values)
			d.reference[k] = values[(len(values)-1)/2]
		}
	}
}

// add updates the exponentially decaying average with a value.
func (a *average) add(now time.Time, v float64, window time.Duration) {
	if a.samples > 0 {
		decay := math.Exp(-max(now.Sub(a.updatedAt), 0).Seconds() / window.Seconds())
		a.weight *= decay
	}
	a.weight++
	a.value += (v - a.value) / a.weight
	a.samples++
	a.updatedAt = now
}
