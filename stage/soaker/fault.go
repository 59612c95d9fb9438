package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingstage.org/stage/rehearser"
)

// fault kills or freezes one process for a limited time.
type fault struct {
	target string
	frozen bool
	length time.Duration
}

// String describes the fault in the log and in errors.
func (f fault) String() string {
	if f.frozen {
		return fmt.Sprintf("freeze %s for %v", f.target, f.length.Round(time.Millisecond))
	}
	return fmt.Sprintf("kill %s for %v", f.target, f.length.Round(time.Millisecond))
}

func (f fault) start(dep *rehearser.Rehearser) error {
	if f.frozen {
		return dep.Freeze(f.target)
	}
	return dep.Kill(f.target)
}

func (f fault) end(dep *rehearser.Rehearser) error {
	if f.frozen {
		return dep.Thaw(f.target)
	}
	return dep.StartOne(f.target)
}

// draw picks a random process, fault kind and length.
func (s *Soaker) draw(rng *rand.Rand) fault {
	targets := slices.Concat(s.dep.Controls(), s.dep.Entries(), s.standins(true), s.standins(false))
	f := fault{target: targets[rng.IntN(len(targets))], frozen: rng.IntN(2) == 0}
	f.length = between(rng, minPause, maxDown)
	if f.frozen {
		f.length = between(rng, minPause, maxFreeze)
	}
	return f
}

// standins returns the names of the stand-ins of plain services, or of the engines if plain is false.
func (s *Soaker) standins(plain bool) []string {
	var list []string
	for _, si := range s.dep.Standins() {
		if si.IsPlain() == plain {
			list = append(list, si.Name())
		}
	}
	return list
}

// begin records a fault unless target has one already or the control majority or its kind's last process would be down.
func (s *Soaker) begin(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.struck[target] {
		return false
	}
	if slices.Contains(s.dep.Controls(), target) && s.struckOf(s.dep.Controls())+1 > (len(s.dep.Controls())-1)/2 {
		return false
	}
	for _, kind := range [][]string{s.dep.Entries(), s.standins(true), s.standins(false)} {
		if slices.Contains(kind, target) && s.struckOf(kind)+1 >= len(kind) {
			return false
		}
	}
	s.struck[target] = true
	s.faults++
	switch {
	case slices.Contains(s.standins(true), target):
		s.services++
	case slices.Contains(s.standins(false), target):
		s.engines++
	}
	return true
}

func (s *Soaker) struckOf(names []string) int {
	n := 0
	for _, name := range names {
		if s.struck[name] {
			n++
		}
	}
	return n
}

func (s *Soaker) end(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.struck, target)
}
