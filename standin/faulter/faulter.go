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

// AnswerFault is the fault that is injected into an answer.
type AnswerFault string

// The faults of answers.
const (
	// Unchanged injects no fault.
	Unchanged AnswerFault = ""
	// Late delays an answer by Faults.Delay.
	Late AnswerFault = "late"
	// Misrouted sends another request's answer.
	Misrouted AnswerFault = "crossed"
	// Truncated ends an answer in the middle.
	Truncated AnswerFault = "truncated"
	// Doubled sends an answer, or each event of a stream, twice.
	Doubled AnswerFault = "doubled"
)

// Faults configures the injected faults; the zero value injects none.
type Faults struct {
	// Crash is a substring; a request that contains it crashes the server.
	Crash string `json:"crash,omitempty"`
	// Slow is the factor by which the server is slowed, at least 1; 0 means 1.
	Slow float64 `json:"slow,omitempty"`
	// Silent makes the currently open connections discard all data for good; new ones work.
	Silent bool `json:"silent,omitempty"`
	// Mute hides in load reports that the server is leaving, as if nobody polled it.
	Mute bool `json:"mute,omitempty"`
	// Loads is the number of following adapter loads that fail.
	Loads int `json:"loads,omitempty"`
	// Answer is the fault of answers.
	Answer AnswerFault `json:"answer,omitempty"`
	// Count is the number of faulty answers; 0 means all.
	Count int `json:"count,omitempty"`
	// Delay is the delay of late answers, such as "2s".
	Delay string `json:"delay,omitempty"`
}

// Parse reads faults from JSON; unknown fields and invalid values are errors.
func Parse(b []byte) (Faults, error) {
	var f Faults
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return f, errors.Wrap(err, "parse faults")
	}
	return f, f.validate()
}

func (f Faults) validate() error {
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
	case Unchanged, Late, Misrouted, Truncated, Doubled:
	default:
		findings = append(findings, fmt.Sprintf("answer: %q is none of late, crossed, truncated, doubled", f.Answer))
	}
	if _, err := f.parseDelay(); err != nil {
		findings = append(findings, fmt.Sprintf("delay: %q is not a duration such as \"2s\"", f.Delay))
	}
	if len(findings) > 0 {
		return errors.New("faults: " + strings.Join(findings, "; "))
	}
	return nil
}

func (f Faults) parseDelay() (time.Duration, error) {
	if f.Delay == "" {
		return 0, nil
	}
	return time.ParseDuration(f.Delay)
}

// Injector holds the faults of one server; it is safe for concurrent use.
type Injector struct {
	mu         sync.Mutex
	faults     Faults
	delay      time.Duration
	faultyLeft int
}

// Set replaces all faults; invalid ones are an error and change nothing.
func (i *Injector) Set(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	d, err := f.parseDelay()
	if err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults, i.delay, i.faultyLeft = f, d, f.Count
	return nil
}

// Faults returns the faults that were set last.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// NextAnswer returns the fault of the next answer, with the delay if it is Late.
func (i *Injector) NextAnswer() (AnswerFault, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a := i.faults.Answer
	if a != Unchanged && i.faults.Count > 0 {
		if i.faultyLeft == 0 {
			return Unchanged, 0
		}
		i.faultyLeft--
	}
	return a, i.delay
}

// Crashes reports whether a request with this content crashes the server.
func (i *Injector) Crashes(content string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.Crash != "" && strings.Contains(content, i.faults.Crash)
}
