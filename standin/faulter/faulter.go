package faulter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Answer is a way in which an answer goes wrong.
type Answer string

// The ways in which answers go wrong.
const (
	// Whole leaves an answer as it is.
	Whole Answer = ""
	// Late holds an answer back for the delay.
	Late Answer = "late"
	// Crossed gives another request's answer.
	Crossed Answer = "crossed"
	// Truncated ends an answer half-way.
	Truncated Answer = "truncated"
	// Doubled sends an answer, or each event of a stream, twice.
	Doubled Answer = "doubled"
)

// Faults says which faults are on; the zero value has none.
type Faults struct {
	// Crash is a text; a request that contains it crashes the server.
	Crash string `json:"crash,omitempty"`
	// Slow is the factor by which the server is slower, from 1.
	Slow float64 `json:"slow,omitempty"`
	// Silent makes the connections that are open now go silent for good; new ones work.
	Silent bool `json:"silent,omitempty"`
	// Mute keeps load reports from saying that the server leaves, as if nobody polled it.
	Mute bool `json:"mute,omitempty"`
	// Loads is the number of adapter loads that fail next.
	Loads int `json:"loads,omitempty"`
	// Answer is how answers go wrong.
	Answer Answer `json:"answer,omitempty"`
	// Count is the number of answers that go wrong; 0 is all.
	Count int `json:"count,omitempty"`
	// Delay is the duration that late answers are held back, such as "2s".
	Delay string `json:"delay,omitempty"`
}

// Parse reads faults from JSON; unknown fields are errors.
func Parse(b []byte) (Faults, error) {
	var f Faults
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, errors.Wrap(err, "parse faults")
	}
	return f, f.check()
}

func (f Faults) check() error {
	var findings []string
	if f.Slow != 0 && f.Slow < 1 {
		findings = append(findings, fmt.Sprintf("slow: %v is below 1", f.Slow))
	}
	if f.Loads < 0 {
		findings = append(findings, fmt.Sprintf("loads: %d is below 0", f.Loads))
	}
	if f.Count < 0 {
		findings = append(findings, fmt.Sprintf("count: %d is below 0", f.Count))
	}
	switch f.Answer {
	case Whole, Late, Crossed, Truncated, Doubled:
	default:
		findings = append(findings, fmt.Sprintf("answer: %q is none of late, crossed, truncated, doubled", f.Answer))
	}
	if _, err := f.delay(); err != nil {
		findings = append(findings, fmt.Sprintf("delay: %q is not a duration such as \"2s\"", f.Delay))
	}
	if len(findings) > 0 {
		return errors.New("faults: " + strings.Join(findings, "; "))
	}
	return nil
}

func (f Faults) delay() (time.Duration, error) {
	if f.Delay == "" {
		return 0, nil
	}
	return time.ParseDuration(f.Delay)
}

// Injector keeps the faults of one server; it is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	delay  time.Duration
	left   int
}

// Set switches the faults; those not named are off.
func (i *Injector) Set(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	d, err := f.delay()
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults, i.delay, i.left = f, d, f.Count
	return nil
}

// Faults returns the faults that were set last.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Take returns how the next answer goes wrong, with the time to hold it back when it is late.
func (i *Injector) Take() (Answer, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a := i.faults.Answer
	if a != Whole && i.faults.Count > 0 {
		if i.left == 0 {
			return Whole, 0
		}
		i.left--
	}
	return a, i.delay
}

// Crashes reports whether a request with the content crashes the server.
func (i *Injector) Crashes(content string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Crash != "" && strings.Contains(content, i.faults.Crash)
}
