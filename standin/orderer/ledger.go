package orderer

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"
)

// ledgerFile holds one JSON line per run of a booking.
const ledgerFile = "ledger"

// Permissions of the data folder and the ledger file.
const (
	folderPerm = 0o755
	filePerm   = 0o644
)

// ledger counts the runs of each booking; with a file it survives a restart.
type ledger struct {
	mu   sync.Mutex
	file *os.File       // nil without a data folder
	runs map[string]int // by key
	sold map[string]int // units by item
}

// bookingRun is one run of a booking.
type bookingRun struct {
	Key      string `json:"key"`
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// openLedger reads the runs of earlier processes; without a folder the ledger is in memory.
func openLedger(folder string) (*ledger, error) {
	l := &ledger{runs: make(map[string]int), sold: make(map[string]int)}
	if folder == "" {
		return l, nil
	}
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, errors.Wrap(err, "make data folder")
	}
	file, err := os.OpenFile(filepath.Join(folder, ledgerFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		return nil, errors.Wrap(err, "open ledger")
	}
	l.file = file
	if err := errors.Join(l.replay(), syncFolder(folder)); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return l, nil
}

// syncFolder makes a new directory entry durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return errors.Wrap(err, "sync data folder")
	}
	return nil
}

// replay counts the lines and truncates a torn last one, whose booking was never acknowledged.
func (l *ledger) replay() error {
	b, err := os.ReadFile(l.file.Name())
	if err != nil {
		return errors.Wrap(err, "read ledger")
	}
	complete := b[:bytes.LastIndexByte(b, '\n')+1]
	n := 0
	for row := range bytes.Lines(complete) {
		n++
		var r bookingRun
		if err := json.Unmarshal(row, &r); err != nil {
			return errors.Wrapf(err, "%s: line %d", l.file.Name(), n)
		}
		l.count(r)
	}
	if len(complete) == len(b) {
		return nil
	}
	if err := l.file.Truncate(int64(len(complete))); err != nil {
		return errors.Wrap(err, "truncate ledger")
	}
	return nil
}

func (l *ledger) count(r bookingRun) {
	l.runs[r.Key]++
	l.sold[r.Item] += r.Quantity
}

// add counts a run, durably if there is a file, and returns the runs of the key and the number of keys.
func (l *ledger) add(r bookingRun) (runs, keys int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.write(r); err != nil {
		return 0, 0, err
	}
	l.count(r)
	return l.runs[r.Key], len(l.runs), nil
}

func (l *ledger) write(r bookingRun) error {
	if l.file == nil {
		return nil
	}
	b, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode booking")
	}
	if _, err := l.file.Write(append(b, '\n')); err != nil {
		return errors.Wrap(err, "write ledger")
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrap(err, "sync ledger")
	}
	return nil
}

// runsByKey returns a copy of the counts.
func (l *ledger) runsByKey() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// unsold returns the unsold units of an item.
func (l *ledger) unsold(item string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return initialStock - l.sold[item]
}

func (l *ledger) close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
