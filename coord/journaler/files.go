package journaler

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
)

// File is an open file of a FileSystem; Write appends at its end.
type File interface {
	io.ReaderAt
	io.Writer
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// FileSystem is the set of file operations that a journal uses.
type FileSystem interface {
	MakeFolder(path string) error
	SyncFolder(path string) error
	List(path string) ([]string, error)
	// Create opens an empty file, truncating an existing one.
	Create(path string) (File, error)
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// Lock locks the file for this process or returns ErrLocked.
	Lock(path string) (io.Closer, error)
}

// ErrLocked reports that another process uses the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

// MakeFolder implements FileSystem.
func (OSFileSystem) MakeFolder(path string) error {
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		return nil
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return err
	}
	return OSFileSystem{}.SyncFolder(filepath.Dir(path))
}

// SyncFolder implements FileSystem.
func (OSFileSystem) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// List implements FileSystem.
func (OSFileSystem) List(path string) ([]string, error) {
	es, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range es {
		names = append(names, e.Name())
	}
	return names, nil
}

// Create implements FileSystem.
func (OSFileSystem) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open implements FileSystem.
func (OSFileSystem) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Rename implements FileSystem.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FileSystem.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// Lock implements FileSystem.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}
