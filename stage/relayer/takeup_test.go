package relayer

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
	"redwingstage.org/stage/logger"
)

// startSoftwareEntry starts an entry before one server of each version, which all send one event.
func startSoftwareEntry(c *qt.C, versions ...string) *Relayer {
	return startSoftwareEntryWithLog(c, logger.New(io.Discard, "error"), versions...)
}

func startSoftwareEntryWithLog(c *qt.C, l *logger.Logger, versions ...string) *Relayer {
	var handlers []http.HandlerFunc
	for range versions {
		handlers = append(handlers, func(w http.ResponseWriter, r *http.Request) {
			setSeal(w, r)
			writeEvent(w, 9)
		})
	}
	e := startEntryWithLog(c, l, handlers...)
	list := e.balancer.Servers()
	var recorded []resumer.Version
	for i, v := range versions {
		list[i].Software = v
		list[i].Sequence++
		recorded = append(recorded, resumer.Version{Service: "s", Software: v})
	}
	e.control.applyMessage(governor.DownMessage{Engines: list, Softwares: recorded})
	return e
}

// nextMessage returns the next message of an entry to its replica for which match is true.
func nextMessage(c *qt.C, e *Relayer, match func(governor.UpMessage) bool) governor.UpMessage {
	for end := time.After(10 * time.Second); ; {
		select {
		case up := <-e.control.queue:
			if match(up) {
				return up
			}
		case <-end:
			c.Fatal("no such message came")
		}
	}
}

func isQuestion(up governor.UpMessage) bool { return len(up.Questions) > 0 }

// takeUp sends a request that takes a stream up and returns the status and the time to come back.
func takeUp(c *qt.C, e *Relayer, resumes string) (int, string) {
	l := dial(c, e)
	defer l.Close()
	headers := []string{testDeadline + ": 8000", testResume + ": 2"}
	if resumes != "" {
		headers = append(headers, testResumes+": "+resumes)
	}
	l.send(c, "POST", "/resumable/", "x", headers...)
	r := l.receive(c)
	return r.status, r.header.Get("Retry-After")
}

// The version of a stream's beginning was asked over a session that had ended, and the stream was refused.
func TestQuestionIsRepeatedToNextReplica(t *testing.T) {
	c := qt.New(t)
	e := startSoftwareEntry(c, "v1", "v2")
	status := make(chan int, 1)
	go func() {
		got, _ := takeUp(c, e, "elsewhere")
		status <- got
	}()
	c.Check(nextMessage(c, e, isQuestion).Questions, qt.DeepEquals, []string{"elsewhere"})
	e.control.applyMessage(governor.DownMessage{Welcome: &governor.Welcome{}, Engines: e.balancer.Servers()})
	c.Check(nextMessage(c, e, isQuestion).Questions, qt.DeepEquals, []string{"elsewhere"})
	e.control.applyMessage(governor.DownMessage{Starts: []governor.StreamStart{{Attempt: "elsewhere", Service: "s", Software: "v2"}}})
	c.Check(<-status, qt.Equals, http.StatusOK)
	c.Check(e.starts.unanswered(), qt.HasLen, 0)
}

// A stream that went on after it was taken up left no line that told its version and how that was known.
func TestStreamThatIsTakenUpIsLogged(t *testing.T) {
	c := qt.New(t)
	var log logBuffer
	e := startSoftwareEntryWithLog(c, logger.New(&log, "info"), "v1")
	status, _ := takeUp(c, e, "elsewhere")
	c.Check(status, qt.Equals, http.StatusOK)
	c.Check(log.requestLines(c, "id-1"), qt.DeepEquals, []map[string]any{{
		"message": "entry: attempt ended", "server": "s0", "outcome": "passed", "reason": "", "status": 200.0, "after": "", "first": "9",
		"last": "9", "framing": "chunks", "software": "v1", "take_up": "only_version", "version": 1.0, "leader_ms": 0.0,
	}})
}

// A stream that only one version can go on with didn't request its adapter when another request had just done so for any version.
func TestAdapterIsRequestedForEachSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	e := startEntry(c)
	w := governor.Want{Service: "s", Adapter: tracker.Adapter{Model: "m", Name: "a"}}
	for _, v := range []string{"", "v1", "v1", ""} {
		w.Software = v
		e.control.requestAdapter(w)
	}
	var got []string
	for len(e.control.queue) > 0 {
		for _, w := range (<-e.control.queue).Wants {
			got = append(got, w.Software)
		}
	}
	c.Check(got, qt.DeepEquals, []string{"", "v1"})
}

// Streams were taken up at any version when nobody knew the one that had begun them.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	c := qt.New(t)
	e := startSoftwareEntry(c, "v1", "v2")
	status, _ := takeUp(c, e, "")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the caller doesn't name the attempt"))
	status, retryAfter := takeUp(c, e, "unanswered")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(retryAfter, qt.Equals, "1.00")
	go func() {
		nextMessage(c, e, func(up governor.UpMessage) bool { return isQuestion(up) && up.Questions[0] == "unknown" })
		e.control.applyMessage(governor.DownMessage{Starts: []governor.StreamStart{{Attempt: "unknown"}}})
	}()
	status, _ = takeUp(c, e, "unknown")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(metricsText(e), qt.Contains, `redwingstage_entry_take_ups_total{source="unknown"} 2`)
}

// An entry that hadn't heard of the leader took the version that it knew for the only one.
func TestStaleEntryDoesNotGoByOnlyVersion(t *testing.T) {
	c := qt.New(t)
	e := startSoftwareEntry(c, "v1")
	status, _ := takeUp(c, e, "elsewhere")
	c.Check(status, qt.Equals, http.StatusOK)
	setConfirmation(e, time.Now().Add(-time.Minute))
	status, _ = takeUp(c, e, "elsewhere too")
	c.Check(status, qt.Equals, http.StatusServiceUnavailable)
}

// Beginnings from before a service's second version were unknown to the control replicas when their entry was killed.
func TestStartsAreReportedWithSecondVersion(t *testing.T) {
	c := qt.New(t)
	e := startSoftwareEntry(c, "v1")
	l := dial(c, e)
	l.send(c, "POST", "/resumable/", "x", testDeadline+": 8000")
	c.Assert(l.receive(c).status, qt.Equals, http.StatusOK)
	hasStarts := func(up governor.UpMessage) bool { return len(up.Starts) > 0 }
	for len(e.control.queue) > 0 {
		c.Check(hasStarts(<-e.control.queue), qt.IsFalse, qt.Commentf("one version needs no reports"))
	}
	e.control.applyMessage(governor.DownMessage{
		Softwares: []resumer.Version{{Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}},
		Engines:   []tracker.Instance{{Key: tracker.Key{ID: "new"}, Service: "s", Software: "v2", Sequence: 1}},
	})
	c.Check(nextMessage(c, e, hasStarts).Starts, qt.DeepEquals, []governor.StreamStart{{Attempt: "id-1", Service: "s", Software: "v1"}})
}
