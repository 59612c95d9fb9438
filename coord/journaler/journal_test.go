package journaler_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"redwingstage.org/coord/faulter"
	"redwingstage.org/coord/journaler"
	"redwingstage.org/coord/lister"
)

const folder = "/data"

func open(fs journaler.FileSystem, seed uint64) (*journaler.Journal, error) {
	random := rand.New(rand.NewPCG(seed, 7))
	return journaler.Open(fs, journaler.Config{Folder: folder, Cluster: "c", Replica: 1, Random: random.Uint32})
}

// content is the expected content of a journal.
type content struct {
	snapshot string
	records  []string
}

func read(j *journaler.Journal) (content, error) {
	var c content
	for _, r := range j.Records() {
		c.records = append(c.records, string(r))
	}
	if gen := j.Generation(); gen > 0 {
		b, err := j.ReadSnapshot(gen, 0, int(j.SnapshotSize()))
		if err != nil {
			return c, err
		}
		c.snapshot = string(b)
	}
	return c, nil
}

func (c content) String() string { return fmt.Sprintf("%q %v", c.snapshot, c.records) }

// lifecycle is one journal over several crashes: it must hold the acknowledged or the last attempted content.
type lifecycle struct {
	fs           *faulter.FileSystem
	random       *rand.Rand
	acked        content
	attempted    content
	ops          int
	ignoreErrors bool
}

// start opens the journal and compares it with the acknowledged and the attempted content.
func (l *lifecycle) start() (*journaler.Journal, error) {
	j, err := open(l.fs, l.random.Uint64())
	if err != nil {
		return nil, err
	}
	got, err := read(j)
	if err != nil {
		return nil, err
	}
	if got.String() != l.acked.String() && got.String() != l.attempted.String() {
		return nil, errors.Errorf("found %v, acknowledged %v, attempted %v", got, l.acked, l.attempted)
	}
	l.acked, l.attempted = got, got
	return j, nil
}

// runOps appends and checkpoints until n operations succeed or one fails.
func (l *lifecycle) runOps(j *journaler.Journal, n int) error {
	for range n {
		next := content{snapshot: l.acked.snapshot}
		l.ops++
		var batch [][]byte
		for i := range 1 + l.random.IntN(3) {
			batch = append(batch, []byte(fmt.Sprintf("r%d.%d", l.ops, i)))
		}
		op := func() error { return j.Append(batch...) }
		if l.ops%4 == 0 {
			next.snapshot = fmt.Sprintf("s%d", l.ops)
			op = func() error { return j.Checkpoint([]byte(next.snapshot), batch...) }
		} else {
			next.records = slices.Clone(l.acked.records)
		}
		for _, b := range batch {
			next.records = append(next.records, string(b))
		}
		l.attempted = next
		err := op()
		if err != nil && l.ignoreErrors {
			err = nil
		}
		if err != nil {
			if again := op(); again == nil {
				return errors.New("the journal accepted an operation after a failure")
			}
			return err
		}
		l.acked = next
	}
	return nil
}

const (
	opsPerRun    = 13
	runsPerFault = 12
)

// runFault injects the failure at a step of a seed's second run; checkErr is the check's error after a crash.
func runFault(step string, f faulter.Failure, seed uint64, weaken func(*lifecycle)) (reached bool, runErr, checkErr error) {
	l := &lifecycle{fs: faulter.New(), random: rand.New(rand.NewPCG(seed, 1))}
	if weaken != nil {
		weaken(l)
	}
	l.fs.FailAt(1+l.random.IntN(40), faulter.ProcessKill)
	if j, err := l.start(); err == nil {
		_ = l.runOps(j, opsPerRun)
	}
	l.fs.Crash(l.random)
	// A dry run of the same seed finds the matching steps, so that each is hit by some seed.
	traceStart := len(l.fs.Trace())
	nth := l.random.IntN(8)
	failAt := 0
	for i, s := range matchingSteps(step, seed) {
		if s && nth >= 0 {
			failAt = i + 1
			nth--
		}
	}
	if failAt > 0 {
		l.fs.FailAt(failAt, f)
	}
	j, err := l.start()
	if err == nil {
		err = l.runOps(j, opsPerRun)
	}
	trace := l.fs.Trace()[traceStart:]
	reached = failAt > 0 && len(trace) >= failAt
	runErr = err
	l.fs.Crash(l.random)
	_, checkErr = l.start()
	return reached, runErr, checkErr
}

// matchingSteps returns which steps of a seed's second run are of the kind.
func matchingSteps(step string, seed uint64) []bool {
	l := &lifecycle{fs: faulter.New(), random: rand.New(rand.NewPCG(seed, 1))}
	l.fs.FailAt(1+l.random.IntN(40), faulter.ProcessKill)
	if j, err := l.start(); err == nil {
		_ = l.runOps(j, opsPerRun)
	}
	l.fs.Crash(l.random)
	traceStart := len(l.fs.Trace())
	l.random.IntN(8)
	if j, err := l.start(); err == nil {
		_ = l.runOps(j, opsPerRun)
	}
	var matches []bool
	for _, s := range l.fs.Trace()[traceStart:] {
		matches = append(matches, strings.HasPrefix(s, step+" "))
	}
	return matches
}

var (
	faults = map[string]faulter.Failure{
		"kill": faulter.ProcessKill, "full": faulter.DiskFull, "short": faulter.ShortWrite, "unsynced": faulter.FailedSync,
	}
	causes = map[string]error{
		"kill": faulter.ErrKilled, "full": syscall.ENOSPC, "short": io.ErrShortWrite, "unsynced": syscall.EIO,
	}
	matrix = map[string][]string{
		"create": {"kill"}, "write": {"kill", "full", "short"}, "sync": {"kill", "unsynced"}, "rename": {"kill"},
		"sync folder": {"kill", "unsynced"}, "remove": {"kill"}, "truncate": {"kill"},
	}
)

func TestFaults(t *testing.T) {
	for step, names := range matrix {
		for _, name := range names {
			t.Run(step+"/"+name, func(t *testing.T) {
				reached := 0
				for seed := uint64(0); seed < 20*runsPerFault; seed++ {
					hit, runErr, checkErr := runFault(step, faults[name], seed, nil)
					qt.Assert(t, checkErr, qt.IsNil, qt.Commentf("seed %d", seed))
					if !hit {
						continue
					}
					reached++
					var opErr *journaler.OpError
					qt.Assert(t, errors.As(runErr, &opErr), qt.IsTrue, qt.Commentf("seed %d: %v", seed, runErr))
					qt.Assert(t, runErr, qt.ErrorIs, causes[name])
				}
				qt.Assert(t, reached >= runsPerFault, qt.IsTrue, qt.Commentf("reached %d times", reached))
			})
		}
	}
}

func TestFaultsList(t *testing.T) {
	var want []lister.Cell
	for step, names := range matrix {
		for _, name := range names {
			want = append(want, lister.Cell{
				Rule: 8, Step: step, Fault: name, Package: "redwingstage.org/coord/journaler", Seeds: 20 * runsPerFault,
				Test: "TestFaults/" + strings.ReplaceAll(step, " ", "_") + "/" + name,
			})
		}
	}
	lister.Check(t, want)
}

func TestWeakened(t *testing.T) {
	for name, weaken := range map[string]func(*lifecycle){
		"sync skipped":        func(l *lifecycle) { l.fs.IgnoreSync() },
		"failed sync ignored": func(l *lifecycle) { l.ignoreErrors = true },
	} {
		t.Run(name, func(t *testing.T) {
			lost := 0
			for seed := range uint64(runsPerFault) {
				_, _, checkErr := runFault("sync", faulter.FailedSync, seed, weaken)
				if checkErr != nil {
					t.Logf("seed %d: %v", seed, checkErr)
					lost++
				}
			}
			qt.Assert(t, lost > 0, qt.IsTrue)
		})
	}
}

func TestDamage(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		if err := damageByte(t); err != nil {
			t.Fatal(err)
		}
	})
}

// damageByte flips bits of one byte and returns an error if Open misses it.
func damageByte(t *rapid.T) error {
	fs := faulter.New()
	j, err := open(fs, 1)
	if err != nil {
		return err
	}
	if rapid.Bool().Draw(t, "checkpoint") {
		err = j.Checkpoint([]byte("snapshot"))
	}
	batches, last := rapid.IntRange(1, 6).Draw(t, "batches"), int64(0)
	for i := 0; i < batches && err == nil; i++ {
		last = j.Size()
		err = j.Append([]byte(fmt.Sprint("record ", i)))
	}
	names, listErr := fs.List(folder)
	if err := errors.Join(err, listErr, j.Close()); err != nil {
		return err
	}
	path := filepath.Join(folder, rapid.SampledFrom(names).Draw(t, "file"))
	offset := rapid.Int64Range(0, 150).Draw(t, "offset")
	if !fs.FlipBits(path, int(offset), byte(rapid.IntRange(1, 255).Draw(t, "mask"))) {
		return nil
	}
	j, err = open(fs, 2)
	var damage *journaler.DamageError
	switch {
	case err == nil && strings.Contains(path, "/log-") && offset >= last && len(j.Records()) == batches-1:
		// Damage in the last batch is indistinguishable from a torn write.
		return nil
	case !errors.As(err, &damage) || damage.File != path || damage.Offset > offset:
		return errors.Errorf("damage of %s at %d after %d gave %v", path, offset, last, err)
	}
	return nil
}

func TestOpenErrors(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)).Uint32
	dir := t.TempDir()
	valid := journaler.Config{Folder: dir, Cluster: "c", Replica: 1, Random: random}
	j, err := journaler.Open(journaler.OSFileSystem{}, valid)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, j.Append([]byte("a")), qt.IsNil)
	_, err = journaler.Open(journaler.OSFileSystem{}, valid)
	qt.Assert(t, err, qt.ErrorIs, journaler.ErrLocked)
	qt.Assert(t, j.Append(make([]byte, journaler.MaxBatchBytes)), qt.ErrorMatches, "batch of .*")
	qt.Assert(t, j.Close(), qt.IsNil)
	qt.Assert(t, j.Append([]byte("b")), qt.ErrorMatches, "the journal is closed")
	tests := []struct {
		name   string
		change func(*journaler.Config)
		want   string
	}{
		{"other cluster", func(c *journaler.Config) { c.Cluster = "d" }, `.*belongs to replica 1 of cluster "c".*`},
		{"other replica", func(c *journaler.Config) { c.Replica = 2 }, `.*not to replica 2 of cluster "c"`},
		{"no log", func(*journaler.Config) {
			qt.Assert(t, os.Remove(filepath.Join(dir, "log-0000000000000001")), qt.IsNil)
		}, `.*identity but no journal`},
		{"no identity", func(*journaler.Config) {
			qt.Assert(t, os.Remove(filepath.Join(dir, "identity")), qt.IsNil)
			qt.Assert(t, os.WriteFile(filepath.Join(dir, "log-0000000000000002"), nil, 0o600), qt.IsNil)
		}, `.*journal but no identity`},
	}
	for _, tt := range tests {
		cfg := valid
		tt.change(&cfg)
		_, err := journaler.Open(journaler.OSFileSystem{}, cfg)
		qt.Check(t, err, qt.ErrorMatches, tt.want)
		var folderErr *journaler.FolderError
		qt.Check(t, errors.As(err, &folderErr), qt.IsTrue)
	}
}
