package journaler

import (
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/go-faster/errors"
)

const (
	snapMagic       = "rwsnaps1"
	snapHeaderBytes = 20
)

// Append makes the records durable as one atomic batch: after a crash either all of them are read or none.
func (j *Journal) Append(records ...[]byte) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	if len(records) == 0 {
		return nil
	}
	b, err := encodeFrame(j.salt, records)
	if err != nil {
		return err
	}
	path := j.genPath(logPrefix, j.gen)
	if err := writeAll(j.log, b); err != nil {
		return j.fail("write", path, err)
	}
	if err := j.log.Sync(); err != nil {
		return j.fail("sync", path, err)
	}
	j.size += int64(len(b))
	return nil
}

// Checkpoint atomically replaces the snapshot and all records by a new snapshot and the records that follow it.
func (j *Journal) Checkpoint(snapshot []byte, records ...[]byte) error {
	if j.writeErr != nil {
		return j.writeErr
	}
	gen := j.gen + 1
	header := []byte(snapMagic)
	header = binary.BigEndian.AppendUint64(header, uint64(len(snapshot)))
	header = binary.BigEndian.AppendUint32(header, crc32.Checksum(snapshot, castagnoli))
	f, err := j.writeFile(j.genPath(snapPrefix, gen), header, snapshot)
	if err != nil {
		return err
	}
	oldGen, oldLog := j.gen, j.log
	// Renaming the new log commits the checkpoint.
	if err := j.writeLog(gen, records); err != nil {
		_ = f.Close()
		return err
	}
	return j.dropGeneration(oldGen, oldLog, j.setSnapshot(f, int64(len(snapshot)), gen))
}

func (j *Journal) dropGeneration(gen uint64, files ...File) error {
	for _, f := range files {
		if f == nil {
			continue
		}
		if err := f.Close(); err != nil {
			return j.fail("close", j.genPath(logPrefix, gen), err)
		}
	}
	prefixes := []string{logPrefix}
	if gen > firstGen {
		prefixes = append(prefixes, snapPrefix)
	}
	for _, prefix := range prefixes {
		if err := j.fs.Remove(j.genPath(prefix, gen)); err != nil {
			return j.fail("remove", j.genPath(prefix, gen), err)
		}
	}
	return nil
}

// writeLog creates and opens the log of a generation.
func (j *Journal) writeLog(gen uint64, records [][]byte) error {
	salt := j.cfg.Random()
	parts := [][]byte{encodeHeader(gen, salt)}
	batches, err := splitBatches(records)
	if err != nil {
		return err
	}
	for _, batch := range batches {
		b, err := encodeFrame(salt, batch)
		if err != nil {
			return err
		}
		parts = append(parts, b)
	}
	f, err := j.writeFile(j.genPath(logPrefix, gen), parts...)
	if err != nil {
		return err
	}
	j.log, j.gen, j.salt, j.size = f, gen, salt, 0
	for _, p := range parts {
		j.size += int64(len(p))
	}
	return nil
}

// splitBatches splits records into batches that fit into frames.
func splitBatches(records [][]byte) ([][][]byte, error) {
	var batches [][][]byte
	start, n := 0, 0
	for i, r := range records {
		size := lengthPrefixBytes + len(r)
		if size > MaxBatchBytes {
			return nil, &SizeError{Bytes: size}
		}
		if n+size > MaxBatchBytes {
			batches = append(batches, records[start:i])
			start, n = i, 0
		}
		n += size
	}
	if start < len(records) {
		batches = append(batches, records[start:])
	}
	return batches, nil
}

// writeFile writes a temporary file, syncs it, renames it to path and syncs the folder.
func (j *Journal) writeFile(path string, parts ...[]byte) (File, error) {
	temp := path + tempSuffix
	f, err := j.fs.Create(temp)
	if err != nil {
		return nil, j.fail("create", temp, err)
	}
	for _, b := range parts {
		if err := writeAll(f, b); err != nil {
			_ = f.Close()
			return nil, j.fail("write", temp, err)
		}
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return nil, j.fail("sync", temp, err)
	}
	if err := j.fs.Rename(temp, path); err != nil {
		_ = f.Close()
		return nil, j.fail("rename", temp, err)
	}
	if err := j.fs.SyncFolder(j.cfg.Folder); err != nil {
		_ = f.Close()
		return nil, j.fail("sync", j.cfg.Folder, err)
	}
	return f, nil
}

func writeAll(w io.Writer, b []byte) error {
	n, err := w.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

func (j *Journal) setSnapshot(f File, size int64, gen uint64) (old File) {
	j.snapMu.Lock()
	defer j.snapMu.Unlock()
	old = j.snapshot
	j.snapshot, j.snapSize, j.snapGen = f, size, gen
	return old
}

// Generation returns the number of the latest checkpoint, or 0 if there is none.
func (j *Journal) Generation() uint64 { return j.snapGen }

// SnapshotSize returns the size of the snapshot in bytes.
func (j *Journal) SnapshotSize() int64 { return j.snapSize }

// ReadSnapshot returns n bytes of a generation's snapshot; it is safe for concurrent use.
func (j *Journal) ReadSnapshot(gen uint64, offset int64, n int) ([]byte, error) {
	j.snapMu.Lock()
	defer j.snapMu.Unlock()
	if j.snapshot == nil || gen != j.snapGen {
		return nil, errors.Errorf("no snapshot of generation %d", gen)
	}
	if offset < 0 || n < 0 || offset > j.snapSize-int64(n) {
		return nil, errors.Errorf("snapshot range of %d bytes at offset %d is out of bounds", n, offset)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(io.NewSectionReader(j.snapshot, snapHeaderBytes+offset, int64(n)), b); err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	return b, nil
}

func (j *Journal) openSnapshot(gen uint64) error {
	path := j.genPath(snapPrefix, gen)
	f, err := j.fs.Open(path)
	if err != nil {
		return j.fail("open", path, err)
	}
	j.setSnapshot(f, 0, gen)
	b, err := readFile(f)
	if err != nil {
		return j.fail("read", path, err)
	}
	if reason := checkSnapshot(b); reason != "" {
		return &DamageError{File: path, Reason: reason}
	}
	j.setSnapshot(f, int64(len(b)-snapHeaderBytes), gen)
	return nil
}

func checkSnapshot(b []byte) string {
	switch {
	case len(b) < snapHeaderBytes || string(b[:8]) != snapMagic:
		return "not a snapshot of this format"
	case binary.BigEndian.Uint64(b[8:]) != uint64(len(b)-snapHeaderBytes):
		return "snapshot is truncated"
	case binary.BigEndian.Uint32(b[16:]) != crc32.Checksum(b[snapHeaderBytes:], castagnoli):
		return "snapshot checksum mismatch"
	}
	return ""
}
