package relayer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/balancer"
	"redwingstage.org/serving/matcher"
	"redwingstage.org/serving/tracker"
	"redwingstage.org/stage/governor"
)

// startRoomEntry runs an entry in front of one engine with a memory of 1,000 tokens, events of 10 tokens and the model m.
func startRoomEntry(c *qt.C, h http.HandlerFunc) *Relayer {
	e := startEntry(c, h)
	e.headers.Usage, e.headers.LengthHint = "X-Usage", "X-Hint"
	e.headers.ParseUsage = func(v string) (prompt, output int) {
		first, second, _ := strings.Cut(v, ",")
		prompt, _ = strconv.Atoi(first)
		output, _ = strconv.Atoi(second)
		return prompt, output
	}
	route := matcher.Route{
		Name: "room", Host: testHost, Prefix: "/room/", Stream: true, Timeout: 20 * time.Second, LatencyTarget: time.Second,
		MaxPause: time.Second, Attempts: 2, Shares: []matcher.Share{{Service: "s", Weight: 1}},
	}
	t, err := matcher.New(2, []matcher.Route{route}, []matcher.Service{{Name: "s", AdapterSlots: 4, MemoryTokens: 1000, EventTokens: 10}}, matcher.Limits{})
	c.Assert(err, qt.IsNil)
	e.table.Store(t)
	e.control.applyMessage(governor.DownMessage{
		Entries: 1, Loads: []governor.Load{{Server: "s0"}},
		ResidentChanges: []governor.ResidentChange{{Engine: "s0", Adapter: tracker.Adapter{Model: "m"}, Version: 1}},
	})
	return e
}

// A prompt that no engine can hold is refused at once; one that fits is served.
func TestPromptLargerThanAnyEngineIsRefused(t *testing.T) {
	c := qt.New(t)
	e := startRoomEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
	})
	l := dial(c, e)
	l.send(c, "POST", "/room/", "x", testDeadline+": 8000", "X-Model: m", "X-Usage: 1000,10")
	resp := l.receive(c)
	c.Check(resp.status, qt.Equals, 503)
	seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	c.Check(seconds > 4, qt.IsTrue, qt.Commentf("a quick retry finds no larger engine: %v s", seconds))
	c.Check(metricsText(e), qt.Contains, `redwingstage_entry_room_total{decision="too large"} 1`)
	l = dial(c, e)
	l.send(c, "POST", "/room/", "x", testDeadline+": 8000", "X-Model: m", "X-Usage: 900,500")
	c.Check(l.receive(c).status, qt.Equals, 200)
}

// The room that a request is reckoned to need follows the answers seen. The load: 40 answers of twice their hint.
func TestReckonedRoomFollowsAnswers(t *testing.T) {
	c := qt.New(t)
	e := startRoomEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		for i := range 6 {
			writeEvent(w, i+1)
		}
	})
	l := dial(c, e)
	for range 40 {
		l.send(c, "POST", "/room/", "x", testDeadline+": 8000", "X-Model: m", "X-Usage: 100,400", "X-Hint: 30")
		c.Assert(l.receive(c).status, qt.Equals, 200)
	}
	c.Check(e.lengths.expect("s", 30, 400), qt.Equals, 60)
	c.Check(e.lengths.expect("s", 0, 400), qt.Equals, 60)
	c.Check(e.lengths.expect("another", 30, 400), qt.Equals, 45)
}

// A request waits while the engine's memory is taken, and is served once there is room; without any it is refused in time.
func TestRequestWaitsForRoom(t *testing.T) {
	c := qt.New(t)
	began, release := make(chan struct{}, 8), make(chan struct{})
	e := startRoomEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		began <- struct{}{}
		<-release
		writeEvent(w, 1)
	})
	send := func(deadline string) *caller {
		l := dial(c, e)
		l.send(c, "POST", "/room/", "x", testDeadline+": "+deadline, "X-Model: m", "X-Usage: 700,10")
		return l
	}
	first := send("18000")
	<-began
	refused := send("900")
	c.Check(refused.receive(c).status, qt.Equals, 503)
	second := send("18000")
	for e.balancer.WaitingForRoom("s") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(metricsText(e), qt.Contains, `redwingstage_entry_room_total{decision="refuse"} 1`)
	release <- struct{}{}
	c.Check(first.receive(c).status, qt.Equals, 200)
	<-began
	release <- struct{}{}
	c.Check(second.receive(c).status, qt.Equals, 200)
	c.Check(e.balancer.WaitingForRoom("s"), qt.Equals, 0)
	c.Check(metricsText(e), qt.Contains, `redwingstage_entry_room_total{decision="wait"} 2`)
}

// Memory goes over the wire with the loads, and nothing of it stays after the request.
func TestLoadsCarryMemory(t *testing.T) {
	c := qt.New(t)
	e := startRoomEntry(c, func(w http.ResponseWriter, r *http.Request) {
		setSeal(w, r)
		writeEvent(w, 1)
	})
	choice, status := e.balancer.Pick(time.Now(), balancer.Request{Service: "s", Zone: "z", Memory: 700, Capacity: 1000})
	c.Assert(status, qt.Equals, balancer.Picked)
	c.Check(fmt.Sprint(e.control.changedLoads().Loads), qt.Equals, fmt.Sprint([]governor.Load{{Server: "s0", Running: 1, Memory: 700}}))
	e.releaseChoice(&call{}, &choice)
	c.Check(fmt.Sprint(e.control.changedLoads().Loads), qt.Equals, fmt.Sprint([]governor.Load{{Server: "s0"}}))
}
