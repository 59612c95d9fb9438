package runner_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/replicator"
	"redwingstage.org/coord/runner"
)

// slowFileSystem is a file system whose syncs wait while it is blocked.
type slowFileSystem struct {
	journaler.OSFileSystem
	blocked atomic.Pointer[chan struct{}]
}

func (fs *slowFileSystem) Create(path string) (journaler.File, error) {
	f, err := fs.OSFileSystem.Create(path)
	return &slowFile{File: f, fs: fs}, err
}

func (fs *slowFileSystem) Open(path string) (journaler.File, error) {
	f, err := fs.OSFileSystem.Open(path)
	return &slowFile{File: f, fs: fs}, err
}

type slowFile struct {
	journaler.File
	fs *slowFileSystem
}

func (f *slowFile) Sync() error {
	if ch := f.fs.blocked.Load(); ch != nil {
		<-*ch
	}
	return f.File.Sync()
}

// A write that took longer than an election showed in no status and in no log.
func TestSlowWriteIsVisible(t *testing.T) {
	defer goleak.VerifyNone(t)
	fs := &slowFileSystem{}
	var longest atomic.Int64
	g := newGroup(t, 1, runner.WithFileSystem(fs), runner.WithWriteObserver(func(took time.Duration) {
		longest.Store(max(longest.Load(), int64(took)))
	}))
	defer g.stopAll()
	g.add(1)
	l := g.leader()
	qt.Check(t, l.Status().Role, qt.Equals, replicator.RoleLeader)
	qt.Check(t, longest.Load() > 0, qt.IsTrue)
	block := make(chan struct{})
	fs.blocked.Store(&block)
	added := make(chan struct{})
	go func() {
		defer close(added)
		g.add(1)
	}()
	const slow = 50 * time.Millisecond
	for since := l.Status().WritingSince; since.IsZero() || time.Since(since) < slow; since = l.Status().WritingSince {
		time.Sleep(time.Millisecond)
	}
	fs.blocked.Store(nil)
	close(block)
	<-added
	qt.Check(t, time.Duration(longest.Load()) >= slow, qt.IsTrue)
	for !l.Status().WritingSince.IsZero() {
		time.Sleep(time.Millisecond)
	}
}
