package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/quarantiner"
)

// A crash report is sent to the next leader though its caller stopped waiting; a lock request isn't.
func TestCrashReportOutlivesCaller(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := newAgent(ClientConfig{Name: "e", Incarnation: 1, Addr: "10.0.0.1:1"})
	digests := []quarantiner.Digest{{1}}
	for _, kind := range []callKind{callReportCrash, callLockSuspect} {
		a.cancel(a.call(now, callFrame{Kind: kind, Digests: digests}, func(answerFrame) {}))
	}
	a.startSession(now)
	a.takeMessages()
	a.welcome(now, welcomeFrame{LeaderEpoch: 1, TTLMillis: 3000})
	var kinds []callKind
	for _, f := range a.takeMessages() {
		for _, c := range f.Calls {
			kinds = append(kinds, c.Kind)
		}
	}
	qt.Assert(t, kinds, qt.DeepEquals, []callKind{callReportCrash})
}
