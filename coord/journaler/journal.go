package journaler

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/encoder"
)

const (
	identityName = "identity"
	lockName     = "lock"
	logPrefix    = "log-"
	snapPrefix   = "snapshot-"
	tempSuffix   = ".tmp"
	firstGen     = 1
	identitySalt = 0x72776964
)

// Config identifies a journal and its owner.
type Config struct {
	// Folder is the data folder; it is created if missing.
	Folder string
	// Cluster and Replica must match those of earlier starts.
	Cluster string
	Replica uint64
	// Random returns the nonce of a new folder and the salts of logs.
	Random func() uint32
}

// Journal is an open data folder; only ReadSnapshot may be called concurrently.
type Journal struct {
	fs       FileSystem
	cfg      Config
	lock     io.Closer
	identity identity
	gen      uint64
	salt     uint32
	log      File
	size     int64
	records  [][]byte
	writeErr error

	snapMu   sync.Mutex
	snapshot File
	snapSize int64
	snapGen  uint64
}

type identity struct {
	Cluster string `cbor:"1,keyasint"`
	Replica uint64 `cbor:"2,keyasint"`
	Nonce   uint32 `cbor:"3,keyasint"`
}

// Open opens or creates the data folder and reads it.
func Open(fs FileSystem, cfg Config) (*Journal, error) {
	if cfg.Folder == "" || cfg.Cluster == "" || cfg.Replica == 0 || cfg.Random == nil {
		return nil, errors.New("journal: Folder, Cluster, Replica and Random must be set")
	}
	if err := fs.MakeFolder(cfg.Folder); err != nil {
		return nil, &OpError{Op: "make", File: cfg.Folder, Err: err}
	}
	lock, err := fs.Lock(filepath.Join(cfg.Folder, lockName))
	if err != nil {
		return nil, &OpError{Op: "lock", File: cfg.Folder, Err: err}
	}
	j := &Journal{fs: fs, cfg: cfg, lock: lock}
	if err := j.load(); err != nil {
		_ = j.Close()
		return nil, err
	}
	return j, nil
}

// Nonce returns the random identifier drawn when the folder was created.
func (j *Journal) Nonce() uint32 { return j.identity.Nonce }

// Records returns the records since the last checkpoint that Open found, in append order.
func (j *Journal) Records() [][]byte { return j.records }

// Size returns the size in bytes of the log since the last checkpoint.
func (j *Journal) Size() int64 { return j.size }

// Close closes the files and unlocks the folder.
func (j *Journal) Close() error {
	j.snapMu.Lock()
	defer j.snapMu.Unlock()
	var firstErr error
	for _, c := range []io.Closer{j.log, j.snapshot, j.lock} {
		if c == nil {
			continue
		}
		if err := c.Close(); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "close journal")
		}
	}
	j.log, j.snapshot, j.lock = nil, nil, nil
	if j.writeErr == nil {
		j.writeErr = errors.New("the journal is closed")
	}
	return firstErr
}

func (j *Journal) path(name string) string { return filepath.Join(j.cfg.Folder, name) }

func (j *Journal) genPath(prefix string, gen uint64) string {
	return j.path(fmt.Sprintf("%s%016x", prefix, gen))
}

// fail makes all later writes return the same error: after a failed sync the state of the disk is unknown.
func (j *Journal) fail(op, file string, err error) error {
	j.writeErr = &OpError{Op: op, File: file, Err: err}
	return j.writeErr
}

func (j *Journal) load() error {
	names, err := j.fs.List(j.cfg.Folder)
	if err != nil {
		return j.fail("list", j.cfg.Folder, err)
	}
	gen, hasIdentity := uint64(0), false
	for _, name := range names {
		hasIdentity = hasIdentity || name == identityName
		if g, ok := parseGeneration(name, logPrefix); ok {
			gen = max(gen, g)
		}
	}
	if !hasIdentity {
		if gen > firstGen {
			return &FolderError{Folder: j.cfg.Folder, Reason: "it holds a journal but no identity"}
		}
		return j.create()
	}
	if err := j.readIdentity(); err != nil {
		return err
	}
	if gen == 0 {
		return &FolderError{Folder: j.cfg.Folder, Reason: "it holds an identity but no journal"}
	}
	if err := j.openGeneration(gen); err != nil {
		return err
	}
	return j.removeStaleFiles(names)
}

func parseGeneration(name, prefix string) (uint64, bool) {
	hex, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	g, err := strconv.ParseUint(hex, 16, 64)
	return g, err == nil
}

// create writes the empty log before the identity, so that an identity implies a complete folder.
func (j *Journal) create() error {
	j.identity = identity{Cluster: j.cfg.Cluster, Replica: j.cfg.Replica, Nonce: max(j.cfg.Random(), 1)}
	if err := j.writeLog(firstGen, nil); err != nil {
		return err
	}
	b, err := encoder.Marshal(j.identity)
	if err != nil {
		return err
	}
	frame, err := encodeFrame(identitySalt, [][]byte{b})
	if err != nil {
		return err
	}
	f, err := j.writeFile(j.path(identityName), frame)
	if err != nil {
		return err
	}
	return f.Close()
}

func (j *Journal) readIdentity() error {
	b, err := j.readAll(j.path(identityName))
	if err != nil {
		return err
	}
	frame := frameAt(b, identitySalt)
	if len(frame) < frameHeaderBytes+lengthPrefixBytes || len(frame) != len(b) {
		return &DamageError{File: j.path(identityName), Reason: "checksum mismatch"}
	}
	if err := encoder.Unmarshal(frame[frameHeaderBytes+lengthPrefixBytes:], &j.identity); err != nil {
		return &DamageError{File: j.path(identityName), Reason: err.Error()}
	}
	id := j.identity
	if id.Cluster != j.cfg.Cluster || id.Replica != j.cfg.Replica {
		return &FolderError{Folder: j.cfg.Folder, Reason: fmt.Sprintf(
			"it belongs to replica %d of cluster %q, not to replica %d of cluster %q",
			id.Replica, id.Cluster, j.cfg.Replica, j.cfg.Cluster)}
	}
	return nil
}

func (j *Journal) readAll(path string) ([]byte, error) {
	f, err := j.fs.Open(path)
	if err != nil {
		return nil, j.fail("open", path, err)
	}
	b, err := readFile(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return nil, j.fail("read", path, err)
	}
	return b, nil
}

func readFile(f File) ([]byte, error) {
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(io.NewSectionReader(f, 0, n), b); err != nil {
		return nil, err
	}
	return b, nil
}

func (j *Journal) openGeneration(gen uint64) error {
	path := j.genPath(logPrefix, gen)
	f, err := j.fs.Open(path)
	if err != nil {
		return j.fail("open", path, err)
	}
	j.log, j.gen = f, gen
	b, err := readFile(f)
	if err != nil {
		return j.fail("read", path, err)
	}
	j.records, j.salt, j.size, err = scan(path, b, gen)
	if err != nil {
		return err
	}
	if j.size < int64(len(b)) {
		if err := f.Truncate(j.size); err != nil {
			return j.fail("truncate", path, err)
		}
	}
	// After a process crash, the bytes read may exist only in the page cache.
	if err := f.Sync(); err != nil {
		return j.fail("sync", path, err)
	}
	if gen == firstGen {
		return nil
	}
	return j.openSnapshot(gen)
}

// removeStaleFiles removes the files of interrupted checkpoints.
func (j *Journal) removeStaleFiles(names []string) error {
	for _, name := range names {
		lg, isLog := parseGeneration(name, logPrefix)
		sg, isSnap := parseGeneration(name, snapPrefix)
		stale := (isLog && lg != j.gen) || (isSnap && sg != j.gen) || strings.HasSuffix(name, tempSuffix)
		if !stale {
			continue
		}
		if err := j.fs.Remove(j.path(name)); err != nil {
			return j.fail("remove", j.path(name), err)
		}
	}
	return nil
}
