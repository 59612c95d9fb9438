package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingstage.org/stage/rehearser"
)

// fault kills or suspends one process for a limited time.
type fault struct {
	target   string
	suspends bool
	duration time.Duration
}

// String describes the fault in the log and in errors.
func (f fault) String() string {
	if f.suspends {
		return fmt.Sprintf("freeze %s for %v", f.target, f.duration.Round(time.Millisecond))
	}
	return fmt.Sprintf("kill %s for %v", f.target, f.duration.Round(time.Millisecond))
}

func (f fault) start(deployment *rehearser.Rehearser) error {
	if f.suspends {
		return deployment.Suspend(f.target)
	}
	return deployment.Kill(f.target)
}

func (f fault) end(deployment *rehearser.Rehearser) error {
	if f.suspends {
		return deployment.Resume(f.target)
	}
	return deployment.StartOne(f.target)
}

// pickFault picks a random process, fault kind and duration.
func (s *Soaker) pickFault(rng *rand.Rand) fault {
	targets := slices.Concat(s.deployment.Controls(), s.deployment.Entries(), s.standinNames(true), s.standinNames(false))
	f := fault{target: targets[rng.IntN(len(targets))], suspends: rng.IntN(2) == 0}
	f.duration = randomDuration(rng, minDuration, maxDowntime)
	if f.suspends {
		f.duration = randomDuration(rng, minDuration, maxSuspension)
	}
	return f
}

// standinNames returns the names of the stand-ins of plain services, or of the engines if plain is false.
func (s *Soaker) standinNames(plain bool) []string {
	var list []string
	for _, si := range s.deployment.Standins() {
		if si.IsPlain() == plain {
			list = append(list, si.Name())
		}
	}
	return list
}

// beginFault records a fault unless target has one already or the control majority or its kind's last process would be down.
func (s *Soaker) beginFault(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulted[target] {
		return false
	}
	if slices.Contains(s.deployment.Controls(), target) && s.countFaulted(s.deployment.Controls())+1 > (len(s.deployment.Controls())-1)/2 {
		return false
	}
	for _, kind := range [][]string{s.deployment.Entries(), s.standinNames(true), s.standinNames(false)} {
		if slices.Contains(kind, target) && s.countFaulted(kind)+1 >= len(kind) {
			return false
		}
	}
	s.faulted[target] = true
	s.faults++
	switch {
	case slices.Contains(s.standinNames(true), target):
		s.serviceFaults++
	case slices.Contains(s.standinNames(false), target):
		s.engineFaults++
	}
	return true
}

func (s *Soaker) countFaulted(names []string) int {
	n := 0
	for _, name := range names {
		if s.faulted[name] {
			n++
		}
	}
	return n
}

func (s *Soaker) endFault(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faulted, target)
}
