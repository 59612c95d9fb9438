package faulter

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/journaler"
)

// Failure is what happens at the chosen step.
type Failure uint8

// The failures that FailAt can bring about.
const (
	// Kill fails the step, a write halfway, and everything after it until Crash.
	Kill Failure = iota + 1
	// Full lets half of a write through and returns syscall.ENOSPC.
	Full
	// Short lets half of a write through and returns no error.
	Short
	// Unsynced fails a sync with syscall.EIO and drops what it should have made durable.
	Unsynced
)

// ErrKilled is what a killed process would not live to see.
var ErrKilled = errors.New("killed")

// FileSystem is a journaler.FileSystem in memory.
type FileSystem struct {
	mu      sync.Mutex
	files   map[string]*inode
	durable map[string]*inode
	pending []folderOp
	locks   map[string]bool
	epoch   int
	steps   int
	trace   []string
	failAt  int
	failure Failure
	dead    bool
	noSync  bool
}

type inode struct {
	data   []byte
	synced []byte
	// lost says that a sync failed: later ones succeed without writing the same data again.
	lost bool
}

type folderOp struct {
	from, to string
	node     *inode
}

// New returns an empty file system.
func New() *FileSystem {
	return &FileSystem{files: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]bool{}}
}

var _ journaler.FileSystem = (*FileSystem)(nil)

// FailAt brings about f at the n-th step from now, counted from 1; steps are all operations that change something.
func (s *FileSystem) FailAt(n int, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAt, s.failure = s.steps+n, f
}

// IgnoreSync makes all syncs succeed without effect, as a lying disk does.
func (s *FileSystem) IgnoreSync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noSync = true
}

// Trace returns the names of all steps so far.
func (s *FileSystem) Trace() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.trace)
}

// Flip inverts the bits of mask in one byte, as damage of the medium does.
func (s *FileSystem) Flip(path string, offset int, mask byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.files[path]
	if n == nil || offset >= len(n.data) {
		return false
	}
	n.data[offset] ^= mask
	n.synced = slices.Clone(n.data)
	return true
}

// Crash drops what wasn't synced, but for a part that random chooses, and frees all locks.
func (s *FileSystem) Crash(random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range s.pending[:random.IntN(len(s.pending)+1)] {
		op.apply(s.durable)
	}
	s.files = map[string]*inode{}
	for _, path := range sortedPaths(s.durable) {
		b := survivors(s.durable[path], random)
		s.files[path] = &inode{data: b, synced: b[:len(b):len(b)]}
	}
	s.durable = map[string]*inode{}
	for path, n := range s.files {
		s.durable[path] = n
	}
	s.pending, s.locks = nil, map[string]bool{}
	s.dead, s.failAt = false, 0
	s.epoch++
}

func sortedPaths(files map[string]*inode) []string {
	var paths []string
	for p := range files {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	return paths
}

// survivors returns what a crash leaves of a file: what was synced, and of the rest a part, maybe with a hole.
func survivors(n *inode, random *rand.Rand) []byte {
	if len(n.data) < len(n.synced) {
		if random.IntN(2) == 0 {
			return slices.Clone(n.data)
		}
		return slices.Clone(n.synced)
	}
	b := slices.Clone(n.data[:len(n.synced)+random.IntN(len(n.data)-len(n.synced)+1)])
	if rest := b[len(n.synced):]; len(rest) > 0 && random.IntN(3) == 0 {
		at := random.IntN(len(rest))
		clear(rest[at : at+random.IntN(len(rest)-at)+1])
	}
	return b
}

func (op folderOp) apply(files map[string]*inode) {
	if op.from != "" {
		delete(files, op.from)
	}
	if op.to != "" {
		files[op.to] = op.node
	}
}

// step counts an operation and returns the failure that is due now.
func (s *FileSystem) step(name, path string) (Failure, error) {
	if s.dead {
		return 0, ErrKilled
	}
	s.steps++
	s.trace = append(s.trace, name+" "+filepath.Base(path))
	if s.steps != s.failAt {
		return 0, nil
	}
	if s.failure == Kill {
		s.dead = true
		return Kill, ErrKilled
	}
	return s.failure, nil
}

func (s *FileSystem) change(name string, op folderOp, path string) error {
	if _, err := s.step(name, path); err != nil {
		return err
	}
	op.apply(s.files)
	s.pending = append(s.pending, op)
	return nil
}

// MakeFolder implements journaler.FileSystem; folders always exist.
func (s *FileSystem) MakeFolder(string) error { return nil }

// SyncFolder implements journaler.FileSystem.
func (s *FileSystem) SyncFolder(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, err := s.step("sync folder", path)
	if err != nil {
		return err
	}
	if f == Unsynced {
		return syscall.EIO
	}
	if s.noSync {
		return nil
	}
	for _, op := range s.pending {
		op.apply(s.durable)
	}
	s.pending = nil
	return nil
}

// List implements journaler.FileSystem.
func (s *FileSystem) List(path string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, p := range sortedPaths(s.files) {
		if filepath.Dir(p) == path {
			names = append(names, filepath.Base(p))
		}
	}
	return names, nil
}

// Create implements journaler.FileSystem.
func (s *FileSystem) Create(path string) (journaler.File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &inode{}
	if err := s.change("create", folderOp{to: path, node: n}, path); err != nil {
		return nil, err
	}
	return &file{fs: s, path: path, node: n, epoch: s.epoch}, nil
}

// Open implements journaler.FileSystem.
func (s *FileSystem) Open(path string) (journaler.File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.files[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: s, path: path, node: n, epoch: s.epoch}, nil
}

// Rename implements journaler.FileSystem.
func (s *FileSystem) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change("rename", folderOp{from: from, to: to, node: s.files[from]}, to)
}

// Remove implements journaler.FileSystem.
func (s *FileSystem) Remove(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	return s.change("remove", folderOp{from: path}, path)
}

// Lock implements journaler.FileSystem.
func (s *FileSystem) Lock(path string) (io.Closer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[path] {
		return nil, journaler.ErrLocked
	}
	s.locks[path] = true
	return &lock{fs: s, path: path, epoch: s.epoch}, nil
}

type lock struct {
	fs    *FileSystem
	path  string
	epoch int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.epoch == l.fs.epoch {
		delete(l.fs.locks, l.path)
	}
	return nil
}
