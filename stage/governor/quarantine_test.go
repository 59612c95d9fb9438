package governor

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/tracker"
)

func testCrash(server int, digests ...quarantiner.Digest) Crash {
	return Crash{Server: tracker.Key{ID: strconv.Itoa(server), StartedMS: 1}, Digests: digests}
}

// A part in flight at three crashes is quarantined, also when the servers end together; sound parts beside it, which servers
// answer in between, aren't.
func TestPartAtThreeCrashesIsQuarantined(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bad, sound, rare := quarantiner.Digest{1}, quarantiner.Digest{2}, quarantiner.Digest{3}
	due := quarantiner.State{Standing: quarantiner.Quarantined, IsTrialDue: true}
	q := newQuarantine(now, &replicatedState{})
	for server := range quarantineCrashes - 1 {
		q.reportCrash(now, testCrash(100+server, rare))
	}
	for server := range quarantineCrashes {
		q.reportCrash(now, testCrash(server, bad, sound))
		q.reportCrash(now, testCrash(server, bad))
		c.Check(q.takeChanges(now), qt.Not(qt.HasLen), 0)
		q.reportSound(now, []quarantiner.Digest{sound})
		q.takeChanges(now)
	}
	c.Check(q.sent, qt.DeepEquals, map[quarantiner.Digest]quarantiner.State{bad: due, rare: {Standing: quarantiner.Suspect}})
	q.reportSound(now, []quarantiner.Digest{bad, rare})
	c.Check(q.takeChanges(now), qt.DeepEquals, []DigestStanding{{Digest: rare, IsAnswered: true}})
}

// A request whose trial crashes a server is refused everywhere; one whose trial is answered is clear everywhere.
func TestTrialSettlesQuarantine(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	bad, sound := quarantiner.Digest{1}, quarantiner.Digest{2}
	q := newQuarantine(now, &replicatedState{Quarantined: []quarantiner.Digest{bad, sound}})
	now = now.Add(10 * time.Second)
	q.takeChanges(now)
	for _, d := range []quarantiner.Digest{sound, bad} {
		c.Check(q.applyTrial(now, Trial{Digests: []quarantiner.Digest{d}, Service: "s", Entry: "a"}), qt.IsTrue)
		c.Check(q.applyTrial(now, Trial{Digests: []quarantiner.Digest{d}, Service: "s", Entry: "b"}), qt.IsFalse)
		c.Check(q.takeChanges(now), qt.DeepEquals, []DigestStanding{{Digest: d, Standing: quarantiner.Quarantined, Holder: "a", Own: d}})
		if d == sound {
			q.applyTrial(now, Trial{Digests: []quarantiner.Digest{sound}, Entry: "a", Step: TrialAnswered})
			c.Check(q.takeChanges(now), qt.DeepEquals, []DigestStanding{{Digest: sound, IsAnswered: true}})
		}
	}
	crash := testCrash(1)
	crash.Tried = []quarantiner.Digest{bad}
	q.reportCrash(now, crash)
	c.Check(q.takeChanges(now), qt.DeepEquals, []DigestStanding{{Digest: bad, Standing: quarantiner.Quarantined}})
	c.Check(q.applyTrial(now, Trial{Digests: []quarantiner.Digest{bad}, Service: "s", Entry: "b"}), qt.IsFalse)
	now = now.Add(trialPauses[0])
	c.Check(q.takeChanges(now), qt.DeepEquals, []DigestStanding{{Digest: bad, Standing: quarantiner.Quarantined, IsTrialDue: true}})
}

// A new leader refuses what the last one had recorded, and records what it finds until both are equal.
func TestQuarantineSurvivesLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	m := newMachine(func() {}, func(uint64, error) {})
	q := newQuarantine(now, m.current())
	bad := quarantiner.Digest{1}
	record := func(q *quarantine) {
		q.takeChanges(now)
		cmd, ok := q.nextRecord(m.current())
		c.Assert(ok, qt.IsTrue)
		applyCommand(c, m, cmd)
		_, ok = q.nextRecord(m.current())
		c.Check(ok, qt.IsFalse)
	}
	for server := range quarantineCrashes {
		q.reportCrash(now, testCrash(server, bad))
	}
	record(q)
	next := newQuarantine(now, m.current())
	c.Check(next.all(), qt.DeepEquals, []DigestStanding{{Digest: bad, Standing: quarantiner.Quarantined}})

	// The failed trials, and so the pause, survive too; one that an entry reports again counts once.
	crash := testCrash(quarantineCrashes)
	crash.Tried = []quarantiner.Digest{bad}
	next.reportCrash(now, crash)
	record(next)
	for range 2 {
		next = newQuarantine(now, m.current())
		next.reportCrash(now, crash)
		c.Check(next.registry.FailedTrials(bad).Crashes, qt.HasLen, 1)
	}
	now = now.Add(2 * quarantineFor)
	c.Check(next.takeChanges(now), qt.DeepEquals, []DigestStanding{{Digest: bad}})
	cmd, ok := next.nextRecord(m.current())
	c.Assert(ok, qt.IsTrue)
	applyCommand(c, m, cmd)
	c.Check(m.current().Quarantined, qt.HasLen, 0)
	c.Check(m.current().FailedTrials, qt.HasLen, 0)
}

// Standings reach entries through a relay: changes in updates, all of them in the first message of a session, and those of
// an earlier leader end with the next one's first message.
func TestStandingsPassThroughView(t *testing.T) {
	c := qt.New(t)
	v := newView()
	a := DigestStanding{Digest: quarantiner.Digest{1}, Standing: quarantiner.Suspect}
	b := DigestStanding{Digest: quarantiner.Digest{2}, Standing: quarantiner.Quarantined, Holder: "e"}
	v.apply(&DownMessage{Standings: []DigestStanding{a}})
	c.Check(v.changes.isUrgent(), qt.IsTrue)
	c.Check(v.takeUpdate(false).Standings, qt.DeepEquals, []DigestStanding{a})
	c.Check(v.fullState().Standings, qt.DeepEquals, []DigestStanding{a})
	v.apply(&DownMessage{Welcome: &Welcome{LeaderEpoch: 2}, Standings: []DigestStanding{b}})
	c.Check(v.fullState().Standings, qt.DeepEquals, []DigestStanding{b})
	c.Check(v.takeUpdate(false).Standings, qt.ContentEquals, []DigestStanding{{Digest: a.Digest}, b})
	// One that ends while there is no entry isn't kept.
	v.apply(&DownMessage{Standings: []DigestStanding{{Digest: b.Digest, IsAnswered: true}}})
	c.Check(v.fullState().Standings, qt.HasLen, 0)
	v.clearChanges()
	c.Check(v.standings, qt.HasLen, 0)
}

func applyCommand(c *qt.C, m *machine, cmd command) {
	data, err := encoder.Marshal(cmd)
	c.Assert(err, qt.IsNil)
	_, err = m.Apply(1, data)
	c.Assert(err, qt.IsNil)
}
