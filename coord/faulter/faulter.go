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

// Failure is a kind of injected failure.
type Failure uint8

// The failures that FailAt can inject.
const (
	// ProcessKill fails the step, a write halfway, and all later steps until Crash.
	ProcessKill Failure = iota + 1
	// DiskFull writes half of the data and returns syscall.ENOSPC.
	DiskFull
	// ShortWrite writes half of the data and returns no error.
	ShortWrite
	// FailedSync fails a sync with syscall.EIO; later syncs of the same file have no effect.
	FailedSync
)

// ErrKilled is returned by all steps of a killed process.
var ErrKilled = errors.New("killed")

// FileSystem is an in-memory journaler.FileSystem.
type FileSystem struct {
	mu         sync.Mutex
	files      map[string]*inode
	durable    map[string]*inode
	pending    []folderOp
	locks      map[string]bool
	crashCount int
	steps      int
	trace      []string
	failAt     int
	failure    Failure
	killed     bool
	ignoreSync bool
	// free is the number of bytes until the disk is full, if isLimited.
	free      int
	isLimited bool
}

type inode struct {
	data   []byte
	synced []byte
	// syncFailed reports that a sync failed: later ones succeed without writing the same data again.
	syncFailed bool
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

// FailAt injects f at the n-th step from now, counted from 1; steps are all operations that change or sync files.
func (s *FileSystem) FailAt(n int, f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAt, s.failure = s.steps+n, f
}

// Fill leaves room for a number of bytes in all files together, after which nothing can be written, created or extended,
// until Free is called. A crash frees nothing.
func (s *FileSystem) Fill(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free, s.isLimited = bytes, true
}

// Free ends Fill.
func (s *FileSystem) Free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isLimited = false
}

// take returns how many of n bytes can be written.
func (s *FileSystem) take(n int) int {
	if !s.isLimited {
		return n
	}
	n = min(n, s.free)
	s.free -= n
	return n
}

// IgnoreSync makes all syncs succeed without effect, like a disk that acknowledges unwritten data.
func (s *FileSystem) IgnoreSync() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreSync = true
}

// Trace returns the names of all steps so far.
func (s *FileSystem) Trace() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.trace)
}

// FlipBits inverts the bits of mask in one byte, like media corruption; false if there is no such byte.
func (s *FileSystem) FlipBits(path string, offset int, mask byte) bool {
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

// Crash drops unsynced changes, except for a random part, and releases all locks.
func (s *FileSystem) Crash(random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range s.pending[:random.IntN(len(s.pending)+1)] {
		op.apply(s.durable)
	}
	s.files = map[string]*inode{}
	for _, path := range sortedPaths(s.durable) {
		b := contentAfterCrash(s.durable[path], random)
		s.files[path] = &inode{data: b, synced: b[:len(b):len(b)]}
	}
	s.durable = map[string]*inode{}
	for path, n := range s.files {
		s.durable[path] = n
	}
	s.pending, s.locks = nil, map[string]bool{}
	s.killed, s.failAt = false, 0
	s.crashCount++
}

func sortedPaths(files map[string]*inode) []string {
	var paths []string
	for p := range files {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	return paths
}

// contentAfterCrash returns the synced part of a file and some of the rest, maybe with a zeroed range.
func contentAfterCrash(n *inode, random *rand.Rand) []byte {
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

// step counts an operation and returns the failure to inject into it, if any.
func (s *FileSystem) step(name, path string) (Failure, error) {
	if s.killed {
		return 0, ErrKilled
	}
	s.steps++
	s.trace = append(s.trace, name+" "+filepath.Base(path))
	if s.steps != s.failAt {
		return 0, nil
	}
	if s.failure == ProcessKill {
		s.killed = true
		return ProcessKill, ErrKilled
	}
	return s.failure, nil
}

func (s *FileSystem) changeFolder(name string, op folderOp, path string) error {
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
	if f == FailedSync {
		return syscall.EIO
	}
	if s.ignoreSync {
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
	if s.isLimited && s.free == 0 {
		return nil, &fs.PathError{Op: "create", Path: path, Err: syscall.ENOSPC}
	}
	n := &inode{}
	if err := s.changeFolder("create", folderOp{to: path, node: n}, path); err != nil {
		return nil, err
	}
	return &file{fs: s, path: path, node: n, crashCountAtOpen: s.crashCount}, nil
}

// Open implements journaler.FileSystem.
func (s *FileSystem) Open(path string) (journaler.File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.files[path]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return &file{fs: s, path: path, node: n, crashCountAtOpen: s.crashCount}, nil
}

// Rename implements journaler.FileSystem.
func (s *FileSystem) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeFolder("rename", folderOp{from: from, to: to, node: s.files[from]}, to)
}

// Remove implements journaler.FileSystem.
func (s *FileSystem) Remove(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	return s.changeFolder("remove", folderOp{from: path}, path)
}

// Lock implements journaler.FileSystem.
func (s *FileSystem) Lock(path string) (io.Closer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[path] {
		return nil, journaler.ErrLocked
	}
	s.locks[path] = true
	return &lock{fs: s, path: path, crashCountAtLock: s.crashCount}, nil
}

type lock struct {
	fs               *FileSystem
	path             string
	crashCountAtLock int
}

func (l *lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	if l.crashCountAtLock == l.fs.crashCount {
		delete(l.fs.locks, l.path)
	}
	return nil
}
