package faulter

import (
	"io"
	"syscall"
)

// file is an open file; its steps fail once the file system has crashed.
type file struct {
	fs               *FileSystem
	path             string
	node             *inode
	crashCountAtOpen int
}

func (f *file) step(name string) (Failure, error) {
	if f.crashCountAtOpen != f.fs.crashCount {
		return 0, ErrKilled
	}
	return f.fs.step(name, f.path)
}

// Write implements journaler.File.
func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	failure, err := f.step("write")
	half := len(b) / 2
	switch {
	case failure == ProcessKill:
		f.node.data = append(f.node.data, b[:half]...)
		return half, err
	case err != nil:
		return 0, err
	case failure == DiskFull:
		f.node.data = append(f.node.data, b[:half]...)
		return half, syscall.ENOSPC
	case failure == ShortWrite:
		f.node.data = append(f.node.data, b[:half]...)
		return half, nil
	}
	n := f.fs.take(len(b))
	f.node.data = append(f.node.data, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync implements journaler.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	failure, err := f.step("sync")
	if err != nil {
		return err
	}
	if failure == FailedSync {
		f.node.syncFailed = true
		return syscall.EIO
	}
	if !f.fs.ignoreSync && !f.node.syncFailed {
		f.node.synced = f.node.data[:len(f.node.data):len(f.node.data)]
	}
	return nil
}

// Truncate implements journaler.File.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if _, err := f.step("truncate"); err != nil {
		return err
	}
	if f.fs.isLimited && f.fs.free == 0 {
		return syscall.ENOSPC
	}
	f.node.data = f.node.data[:size:size]
	return nil
}

// ReadAt implements journaler.File.
func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.node.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements journaler.File.
func (f *file) Size() (int64, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return int64(len(f.node.data)), nil
}

// Close implements journaler.File.
func (f *file) Close() error { return nil }
