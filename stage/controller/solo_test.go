package controller

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
)

// solo is an in-memory log of one replica.
type solo struct {
	mu      sync.Mutex
	machine runner.Machine
	index   uint64
	self    runner.Member
}

func openSolo(self runner.Member) func(runner.Machine) (Log, error) {
	return func(m runner.Machine) (Log, error) { return &solo{machine: m, self: self}, nil }
}

// Propose implements Log.
func (s *solo) Propose(_ context.Context, cmd []byte) (runner.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	return runner.Result{Index: s.index, Data: s.machine.Apply(s.index, cmd)}, nil
}

// Confirm implements Log.
func (s *solo) Confirm(context.Context) error { return nil }

// Status implements Log.
func (s *solo) Status() runner.Status {
	return runner.Status{
		ID: s.self.ID, Leader: s.self.ID, Term: 1, Members: []runner.Member{s.self}, LeaseEnd: time.Unix(math.MaxInt32, 0),
	}
}

// AddMember implements Log.
func (s *solo) AddMember(context.Context, runner.Member) error {
	return errors.New("a log in memory has one replica")
}

// RemoveMember implements Log.
func (s *solo) RemoveMember(context.Context, uint64) error {
	return errors.New("a log in memory has one replica")
}

// Close implements Log.
func (s *solo) Close() error { return nil }
