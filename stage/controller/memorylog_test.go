package controller

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/runner"
)

// memoryLog is an in-memory log of one replica.
type memoryLog struct {
	mu      sync.Mutex
	machine runner.StateMachine
	index   uint64
	self    runner.Member
}

func openMemoryLog(self runner.Member) func(runner.StateMachine) (Log, error) {
	return func(m runner.StateMachine) (Log, error) { return &memoryLog{machine: m, self: self}, nil }
}

// Propose implements Log.
func (s *memoryLog) Propose(_ context.Context, cmd []byte) (runner.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	data, err := s.machine.Apply(s.index, cmd)
	return runner.Result{Index: s.index, Data: data}, err
}

// ReadBarrier implements Log.
func (s *memoryLog) ReadBarrier(context.Context) error { return nil }

// Status implements Log.
func (s *memoryLog) Status() runner.Status {
	return runner.Status{
		ID: s.self.ID, Leader: s.self.ID, Term: 1, Members: []runner.Member{s.self}, LeaseEnd: time.Unix(math.MaxInt32, 0),
	}
}

// AddMember implements Log.
func (s *memoryLog) AddMember(context.Context, runner.Member) error {
	return errors.New("a log in memory has one replica")
}

// RemoveMember implements Log.
func (s *memoryLog) RemoveMember(context.Context, uint64) error {
	return errors.New("a log in memory has one replica")
}

// Close implements Log.
func (s *memoryLog) Close() error { return nil }
