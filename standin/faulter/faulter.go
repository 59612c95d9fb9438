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
	// Late delays an answer by Faults.LateDelay.
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
	// CrashSubstring is a substring; a request that contains it crashes the server.
	CrashSubstring string `json:"crash,omitempty"`
	// Slowdown is the factor by which the server is slowed, at least 1; 0 means 1.
	Slowdown float64 `json:"slow,omitempty"`
	// Silent makes the currently open connections discard all data for good; new ones work.
	Silent bool `json:"silent,omitempty"`
	// HideLeave hides in load reports that the server is leaving, as if nobody polled it.
	HideLeave bool `json:"mute,omitempty"`
	// FailingLoads is the number of following adapter loads that fail.
	FailingLoads int `json:"loads,omitempty"`
	// Answer is the fault of answers.
	Answer AnswerFault `json:"answer,omitempty"`
	// FaultyAnswers is the number of faulty answers; 0 means all.
	FaultyAnswers int `json:"count,omitempty"`
	// LateDelay is the delay of late answers, such as "2s".
	LateDelay string `json:"delay,omitempty"`
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
	if f.Slowdown != 0 && f.Slowdown < 1 {
		findings = append(findings, fmt.Sprintf("slow: %v is below 1", f.Slowdown))
	}
	if f.FailingLoads < 0 {
		findings = append(findings, fmt.Sprintf("loads: %d is below 0", f.FailingLoads))
	}
	if f.FaultyAnswers < 0 {
		findings = append(findings, fmt.Sprintf("count: %d is below 0", f.FaultyAnswers))
	}
	switch f.Answer {
	case Unchanged, Late, Misrouted, Truncated, Doubled:
	default:
		findings = append(findings, fmt.Sprintf("answer: %q is none of late, crossed, truncated, doubled", f.Answer))
	}
	if _, err := f.parseDelay(); err != nil {
		findings = append(findings, fmt.Sprintf("delay: %q is not a duration such as \"2s\"", f.LateDelay))
	}
	if len(findings) > 0 {
		return errors.New("faults: " + strings.Join(findings, "; "))
	}
	return nil
}

func (f Faults) parseDelay() (time.Duration, error) {
	if f.LateDelay == "" {
		return 0, nil
	}
	return time.ParseDuration(f.LateDelay)
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
	i.faults, i.delay, i.faultyLeft = f, d, f.FaultyAnswers
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
	if a != Unchanged && i.faults.FaultyAnswers > 0 {
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
	return i.faults.CrashSubstring != "" && strings.Contains(content, i.faults.CrashSubstring)
}
