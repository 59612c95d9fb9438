package governor_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"redwingstage.org/serving/matcher"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
	"redwingstage.org/stage/relayer"
	"redwingstage.org/standin/cutter"
	"redwingstage.org/standin/launcher"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of TestLinksThatFallSilent")
	seedCount = flag.Uint64("seeds", 3, "number of seeds of TestLinksThatFallSilent")
)

const (
	linkReplicas = 5
	linkEntries  = 3
	// tolerated is the number of replicas that may be off or without their disk.
	tolerated = 2
	// steps is the number of faults and repairs.
	steps = 12

	maxStepPause = 900 * time.Millisecond
	// recoverTime bounds the time from the end of all faults until each replica answers or redirects, and each entry has
	// the newest version.
	recoverTime = 2*time.Second + // a dial that began during a silence ends
		450*time.Millisecond + // a connection that is still silent is replaced
		3*2*700*time.Millisecond + // an election is repeated twice
		3*time.Second + // the leader's epoch is committed
		linkReplicas*(400+100+200)*time.Millisecond + // an entry tries, waits for and probes all replicas
		testApplyTime
)

// linkTest is a deployment of replicas and entries on a network with faults.
type linkTest struct {
	c      *qt.C
	rng    *rand.Rand
	net    *cutter.Network
	log    *governor.LogBuffer
	folder string

	addrs    []string
	replicas []*governor.Governor
	// wiped are the replicas that have lost their disk.
	wiped map[int]bool
	// versions are the entries' versions.
	versions [linkEntries]atomic.Uint64
	silences map[[2]string]bool
	// acknowledged is the newest version that was acknowledged.
	acknowledged atomic.Uint64
}

func newLinkTest(c *qt.C, seed uint64) *linkTest {
	lt := &linkTest{
		c: c, rng: rand.New(rand.NewPCG(seed, 1)), net: cutter.NewNetwork(seed), log: &governor.LogBuffer{}, folder: c.TempDir(),
		replicas: make([]*governor.Governor, linkReplicas), wiped: make(map[int]bool), silences: make(map[[2]string]bool),
	}
	c.Cleanup(func() {
		lt.net.Close()
		if c.Failed() {
			path := filepath.Join(os.TempDir(), fmt.Sprintf("links-%d.log", seed))
			_ = os.WriteFile(path, []byte(lt.log.String()), 0o600)
			c.Logf("the processes' logs are in %s", path)
		}
	})
	for range linkReplicas {
		addr, err := launcher.FreeAddr(context.Background())
		c.Assert(err, qt.IsNil)
		lt.addrs = append(lt.addrs, addr)
	}
	for i := range lt.replicas {
		lt.start(i, true)
	}
	c.Cleanup(func() {
		for _, g := range lt.replicas {
			if g != nil {
				_ = g.PowerOff()
			}
		}
	})
	for i := range linkEntries {
		lt.startEntry(i)
	}
	return lt
}

func (lt *linkTest) start(i int, first bool) {
	g, err := governor.New(governor.Config{
		Node: fmt.Sprint("core-", i), Zone: fmt.Sprint("z", i/2), Addr: lt.addrs[i], DataFolder: filepath.Join(lt.folder, fmt.Sprint(i)),
		Seeds: lt.addrs[:3], NewDeployment: first, Tolerated: tolerated,
	}, governor.Deps{
		Decode: decodeEmpty, Engines: noEngines{}, Log: logger.New(lt.log, "info"), Dialer: lt.net.Dialer(lt.addrs[i]),
	})
	lt.c.Assert(err, qt.IsNil)
	lt.replicas[i] = g
}

func (lt *linkTest) startEntry(i int) {
	name := fmt.Sprint("entry-", i)
	e, err := relayer.New(relayer.Config{
		Node: name, Zone: fmt.Sprint("z", i), CallersAddr: "127.0.0.1:0", ReadyAddr: "127.0.0.1:0", Controls: lt.addrs[:3], RetryWindow: time.Second,
	}, relayer.Deps{
		Headers: relayer.Headers{ReadyPath: "/ready"},
		Decode: func(d governor.Doc) (*matcher.Table, error) {
			lt.versions[i].Store(d.Version)
			return decodeEmpty(d)
		},
		Log: logger.New(lt.log, "info"), Dialer: lt.net.Dialer(name),
	})
	lt.c.Assert(err, qt.IsNil)
	lt.c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := e.Close(ctx); err != nil {
			lt.c.Check(errors.Is(err, context.Canceled), qt.IsTrue, qt.Commentf("%v", err))
		}
	})
}

func (lt *linkTest) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	lt.c.Log(time.Now().Format("15:04:05.000"), line)
	_, _ = fmt.Fprintf(lt.log, "{\"time\":%q,\"test\":%q}\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), line)
}

// process returns a replica's address or an entry's name.
func (lt *linkTest) process(i int) string {
	if i < linkReplicas {
		return lt.addrs[i]
	}
	return fmt.Sprint("entry-", i-linkReplicas)
}

func (lt *linkTest) silence(from, to string) {
	lt.silences[[2]string{from, to}] = true
	lt.net.Silence(from, to)
}

func (lt *linkTest) restoreAll() {
	for p := range lt.silences {
		lt.net.Restore(p[0], p[1])
		delete(lt.silences, p)
	}
}

// step draws a fault or a repair and applies it.
func (lt *linkTest) step() {
	i := lt.rng.IntN(linkReplicas)
	other := (i + 1 + lt.rng.IntN(linkReplicas+linkEntries-1)) % (linkReplicas + linkEntries)
	a, b := lt.process(i), lt.process(other)
	if lt.rng.IntN(2) == 0 {
		a, b = b, a
	}
	switch lt.rng.IntN(8) {
	case 0:
		lt.note("silence from %s to %s", a, b)
		lt.silence(a, b)
	case 1:
		lt.note("silence between %s and %s", a, b)
		lt.silence(a, b)
		lt.silence(b, a)
	case 2:
		lt.note("silence of %s", lt.addrs[i])
		for j := range linkReplicas + linkEntries {
			if j != i {
				lt.silence(lt.addrs[i], lt.process(j))
				lt.silence(lt.process(j), lt.addrs[i])
			}
		}
	case 3:
		lt.note("reset between %s and %s", a, b)
		lt.net.Reset(a, b)
	case 4:
		lt.note("open connections between %s and %s are lost", a, b)
		lt.net.Drop(a, b)
	case 5:
		lt.note("restore all")
		lt.restoreAll()
	default:
		lt.toggle(i)
	}
}

// toggle takes a replica's power, or gives it back, with or without its disk.
func (lt *linkTest) toggle(i int) {
	if lt.replicas[i] == nil {
		if lt.rng.IntN(2) == 0 {
			lt.wiped[i] = true
			lt.c.Assert(os.RemoveAll(filepath.Join(lt.folder, fmt.Sprint(i))), qt.IsNil)
		}
		lt.note("power on of %s, without its disk: %t", lt.addrs[i], lt.wiped[i])
		lt.net.PowerOn(lt.addrs[i])
		lt.start(i, false)
		return
	}
	lost := 0
	for j, g := range lt.replicas {
		if g == nil || lt.wiped[j] {
			lost++
		}
	}
	if lost >= tolerated && !lt.wiped[i] {
		return
	}
	lt.note("power off of %s", lt.addrs[i])
	lt.net.PowerOff(lt.addrs[i])
	lt.c.Check(lt.replicas[i].PowerOff(), qt.IsNil)
	lt.replicas[i] = nil
}

// calm ends all faults.
func (lt *linkTest) calm() {
	lt.note("calm")
	lt.restoreAll()
	for i, g := range lt.replicas {
		if g == nil {
			lt.toggle(i)
		}
	}
}

// put has versions acknowledged until ctx is done.
func (lt *linkTest) put(ctx context.Context, replicas []*governor.Governor, version uint64) uint64 {
	for _, g := range replicas {
		if g == nil || ctx.Err() != nil {
			continue
		}
		version++
		if g.PutDoc(ctx, governor.Doc{Version: version}) == nil {
			lt.acknowledged.Store(version)
		}
	}
	return version
}

// missing names what the calm hasn't brought yet, or "".
func (lt *linkTest) missing() string {
	version := func(addr string) uint64 {
		d, err := lt.replicas[slices.Index(lt.addrs, addr)].Doc(context.Background())
		if err != nil {
			return 0
		}
		return d.Version
	}
	for i, g := range lt.replicas {
		v := version(lt.addrs[i])
		if leader := g.LeaderAddr(); v == 0 && leader != "" {
			v = version(leader)
		}
		if v < lt.acknowledged.Load() {
			return fmt.Sprintf("%s answers with version %d of %d, its leader is %q", lt.addrs[i], v, lt.acknowledged.Load(), g.LeaderAddr())
		}
		for e := range lt.versions {
			if got := lt.versions[e].Load(); v > 0 && got != v {
				return fmt.Sprintf("entry-%d has version %d of %d", e, got, v)
			}
		}
	}
	return ""
}

// In calm after silences, resets and losses of power, replicas answered reads neither with the newest document nor with its
// leader, and entries went on with an older version.
func TestLinksThatFallSilent(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			lt := newLinkTest(c, seed)
			version := uint64(0)
			for lt.acknowledged.Load() == 0 || lt.missing() != "" {
				version = lt.put(context.Background(), lt.replicas, version)
				time.Sleep(20 * time.Millisecond)
			}
			for range steps {
				lt.step()
				ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond+time.Duration(lt.rng.Int64N(int64(maxStepPause))))
				for ctx.Err() == nil {
					version = lt.put(ctx, lt.replicas, version)
					time.Sleep(5 * time.Millisecond)
				}
				cancel()
			}
			lt.calm()
			start := time.Now()
			for lt.missing() != "" && time.Since(start) < recoverTime {
				time.Sleep(10 * time.Millisecond)
			}
			c.Check(lt.missing(), qt.Equals, "")
			lt.note("recovered after %s at version %d of %d", time.Since(start).Round(time.Millisecond), lt.acknowledged.Load(), version)
		})
	}
}
