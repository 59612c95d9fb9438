package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/stage/sender"
	"redwingstage.org/standin/cutter"
)

// bookingTrial books one key through two entries while faults are injected.
type bookingTrial struct {
	t         testing.TB
	control   *fakeControl
	near, far *Dispatcher
	orders    *backend
	hop       *cutter.Cutter
	key       string
	// callFaults[n] handles the n-th call at the service; the others handle the n-th write, begin and end.
	callFaults  []func(c *call)
	writeFaults []func(c net.Conn, p []byte) (int, error)
	beginFaults []func(do func() recorder.BeginReply) (recorder.BeginReply, error)
	endFaults   []func(do func()) error
	// delayedMayRun is closed when delayed actions may run.
	delayedMayRun chan struct{}
	delayed       sync.WaitGroup

	writes, begins, ends    atomic.Int64
	ownerDead, ownerLeaving atomic.Bool
	mu                      sync.Mutex
	conns                   []net.Conn
	results                 []bookingResult
}

// suspendDuration exceeds the silence timeout that the entries of a trial have for services.
const suspendDuration = 600 * time.Millisecond

// ownerControl is the owner's control role, whose record calls fail once the owner's process is killed.
type ownerControl struct {
	*fakeControl
	dead *atomic.Bool
}

func (m ownerControl) BeginBooking(_ context.Context, b recorder.Begin) (recorder.BeginReply, error) {
	if m.dead.Load() {
		return recorder.BeginReply{}, errLost
	}
	return m.beginUnlessDead(b, m.dead)
}

func (m ownerControl) EndBooking(ctx context.Context, e recorder.End) error {
	if m.dead.Load() {
		return errLost
	}
	return m.fakeControl.EndBooking(ctx, e)
}

// killOwner cuts all of the owner's connections at once, as the end of its process would; the other entry takes over.
func (tr *bookingTrial) killOwner() {
	tr.ownerDead.Store(true)
	tr.hop.Cut(cutter.Both)
	tr.mu.Lock()
	for _, c := range tr.conns {
		_ = c.Close()
	}
	tr.mu.Unlock()
	tr.control.mu.Lock()
	tr.control.table.ProcessLost(time.Now(), "near", 1)
	tr.control.mu.Unlock()
	tr.control.assign(tr.orders.server(), "far", tr.far.Peers())
}

// bookingResult is the answer to one request of a trial.
type bookingResult struct {
	request string
	answer
}

// bookingFault is a fault that addTo adds to a trial; step and name identify its subtest.
type bookingFault struct {
	step, name string
	addTo      func(tr *bookingTrial)
}

func serviceFault(step, name string, f func(tr *bookingTrial, c *call)) bookingFault {
	return bookingFault{step, name, func(tr *bookingTrial) {
		tr.callFaults = append(tr.callFaults, func(c *call) { f(tr, c) })
	}}
}

var serviceFaults = []bookingFault{
	serviceFault("run", "killed before", func(tr *bookingTrial, _ *call) { tr.restartService() }),
	serviceFault("run", "killed after", func(tr *bookingTrial, c *call) { c.run(); tr.restartService() }),
	serviceFault("run", "cut before", func(*bookingTrial, *call) {}),
	serviceFault("run", "cut and late", func(tr *bookingTrial, c *call) { tr.runDelayed(c.run) }),
	serviceFault("run", "refused", func(_ *bookingTrial, c *call) { c.write(503, `{"error":{"type":"not_run"}}`) }),
	serviceFault("run", "failed", func(_ *bookingTrial, c *call) { c.run(); c.write(500, `{}`) }),
	serviceFault("run", "frozen before", func(tr *bookingTrial, c *call) {
		c.suspend(suspendDuration)
		c.waitResumed()
		c.run()
		c.write(200, c.booked())
	}),
	serviceFault("run", "frozen after", func(tr *bookingTrial, c *call) {
		c.run()
		c.suspend(suspendDuration)
		c.waitResumed()
		c.write(200, c.booked())
	}),
	serviceFault("answer", "lost", func(_ *bookingTrial, c *call) { c.run() }),
	serviceFault("answer", "silent", func(_ *bookingTrial, c *call) { c.run(); _, _ = io.Copy(io.Discard, c.conn) }),
	serviceFault("answer", "late", func(tr *bookingTrial, c *call) { c.run(); <-tr.delayedMayRun; c.write(200, c.booked()) }),
	serviceFault("answer", "doubled", func(_ *bookingTrial, c *call) { c.run(); c.write(200, c.booked()); c.write(200, c.booked()) }),
	serviceFault("answer", "crossed", func(_ *bookingTrial, c *call) {
		c.run()
		c.raw(c.head(200, "other.1.1", "Content-Length: 17\r\n") + `{"booked":"mine"}`)
	}),
	serviceFault("answer", "truncated", func(_ *bookingTrial, c *call) {
		c.run()
		c.raw(c.head(200, c.attempt, "Content-Length: 99\r\n") + c.booked()[:9])
	}),
	serviceFault("answer", "oversized", func(_ *bookingTrial, c *call) { c.run(); c.write(200, strings.Repeat("x", 1<<17)) }),
}

var otherFaults = []bookingFault{
	{"begin", "lost before", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(func() recorder.BeginReply) (recorder.BeginReply, error) { return recorder.BeginReply{}, errLost })
	}},
	{"begin", "lost after", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(do func() recorder.BeginReply) (recorder.BeginReply, error) {
			do()
			return recorder.BeginReply{}, errLost
		})
	}},
	{"begin", "late", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(do func() recorder.BeginReply) (recorder.BeginReply, error) {
			tr.runDelayed(func() { do() })
			return recorder.BeginReply{}, errLost
		})
	}},
	{"begin", "doubled", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(do func() recorder.BeginReply) (recorder.BeginReply, error) {
			tr.runDelayed(func() { do() })
			return do(), nil
		})
	}},
	{"send", "killed", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(do func() recorder.BeginReply) (recorder.BeginReply, error) {
			tr.restartService()
			return do(), nil
		})
	}},
	{"send", "cut before a byte", func(tr *bookingTrial) {
		tr.writeFaults = append(tr.writeFaults, func(c net.Conn, _ []byte) (int, error) { return 0, c.Close() })
	}},
	{"send", "cut after a byte", func(tr *bookingTrial) {
		tr.writeFaults = append(tr.writeFaults, func(c net.Conn, p []byte) (int, error) {
			n, _ := c.Write(p[:1])
			_ = c.Close()
			return n, errLost
		})
	}},
	{"send", "lost", func(tr *bookingTrial) {
		tr.writeFaults = append(tr.writeFaults, func(_ net.Conn, p []byte) (int, error) { return len(p), nil })
	}},
	{"end", "lost before", func(tr *bookingTrial) {
		tr.endFaults = append(tr.endFaults, func(func()) error { return errLost })
	}},
	{"end", "lost after", func(tr *bookingTrial) {
		tr.endFaults = append(tr.endFaults, func(do func()) error { do(); return errLost })
	}},
	{"end", "doubled", func(tr *bookingTrial) {
		tr.endFaults = append(tr.endFaults, func(do func()) error { tr.runDelayed(do); do(); return nil })
	}},
	serviceFault("hop", "cut", func(tr *bookingTrial, c *call) { tr.hop.Reset(); c.run(); c.write(200, c.booked()) }),
	serviceFault("hop", "silent", func(tr *bookingTrial, c *call) { tr.hop.DropOpen(); c.run(); c.write(200, c.booked()) }),
	serviceFault("caller", "resent at once", func(tr *bookingTrial, c *call) {
		tr.runDelayed(func() { tr.book(tr.near, "again") })
		c.run()
		c.write(200, c.booked())
	}),
	{"owner", "killed before begin", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(func() recorder.BeginReply) (recorder.BeginReply, error) {
			tr.killOwner()
			return recorder.BeginReply{}, errLost
		})
	}},
	{"owner", "killed after begin", func(tr *bookingTrial) {
		tr.beginFaults = append(tr.beginFaults, func(do func() recorder.BeginReply) (recorder.BeginReply, error) {
			do()
			tr.killOwner()
			return recorder.BeginReply{}, errLost
		})
	}},
	serviceFault("owner", "killed before run", func(tr *bookingTrial, _ *call) { tr.killOwner() }),
	serviceFault("owner", "killed after run", func(tr *bookingTrial, c *call) { c.run(); tr.killOwner() }),
	serviceFault("owner", "killed, late run", func(tr *bookingTrial, c *call) { tr.killOwner(); tr.runDelayed(c.run) }),
	{"owner", "killed before end", func(tr *bookingTrial) {
		tr.endFaults = append(tr.endFaults, func(func()) error { tr.killOwner(); return errLost })
	}},
	{"owner", "killed after end", func(tr *bookingTrial) {
		tr.endFaults = append(tr.endFaults, func(do func()) error { do(); tr.killOwner(); return errLost })
	}},
	serviceFault("owner", "moved", func(tr *bookingTrial, c *call) {
		tr.control.assign(tr.orders.server(), "far", tr.far.Peers())
		tr.runDelayed(func() { tr.book(tr.far, "moved") })
		c.run()
		c.write(200, c.booked())
	}),
	serviceFault("owner", "closed", func(tr *bookingTrial, c *call) {
		tr.ownerLeaving.Store(true)
		tr.delayed.Add(1)
		go func() {
			defer tr.delayed.Done()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			qt.Check(tr.t, tr.near.Close(ctx), qt.IsNil)
		}()
		c.run()
		c.write(200, c.booked())
	}),
}

func newBookingTrial(t testing.TB) *bookingTrial {
	tr := &bookingTrial{t: t, control: newFakeControl(t), key: "key-1", delayedMayRun: make(chan struct{})}
	tr.orders = startBackend(t, "o1", configurer.KindPlain)
	tr.near = tr.control.startEntryWith(t, "near", ownerControl{tr.control, &tr.ownerDead}, tr.options(&tr.ownerDead)...)
	tr.far = tr.control.startEntry(t, "far", tr.options(new(atomic.Bool))...)
	hop, err := cutter.New(context.Background(), "127.0.0.1:0", tr.near.Peers())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = hop.Close() })
	tr.hop = hop
	tr.control.assign(tr.orders.server(), "near", hop.Addr())
	waitServed(t, tr.far, "/services/orders/stock/1")
	tr.orders.fault = func(n int, c *call) bool {
		if n >= len(tr.callFaults) {
			return false
		}
		tr.callFaults[n](c)
		return true
	}
	tr.control.begin = func(do func() recorder.BeginReply) (recorder.BeginReply, error) {
		if n := int(tr.begins.Add(1)) - 1; n < len(tr.beginFaults) {
			return tr.beginFaults[n](do)
		}
		return do(), nil
	}
	tr.control.end = func(do func()) error {
		if n := int(tr.ends.Add(1)) - 1; n < len(tr.endFaults) {
			return tr.endFaults[n](do)
		}
		do()
		return nil
	}
	return tr
}

func (tr *bookingTrial) options(dead *atomic.Bool) []Option {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if dead.Load() {
			return nil, errLost
		}
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		if dead == &tr.ownerDead {
			tr.mu.Lock()
			tr.conns = append(tr.conns, c)
			tr.mu.Unlock()
		}
		return &faultyConn{Conn: c, trial: tr}, nil
	}
	return append(shortSilence(), WithSender(sender.New(sender.WithDial(dial), sender.WithMaxAnswer(1<<16))))
}

// faultyConn injects faults into the writes of bookings.
type faultyConn struct {
	net.Conn
	trial *bookingTrial
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("POST /bookings")) {
		if n := int(c.trial.writes.Add(1)) - 1; n < len(c.trial.writeFaults) {
			return c.trial.writeFaults[n](c.Conn, p)
		}
	}
	return c.Conn.Write(p)
}

// restartService restarts the service's process at the same address.
func (tr *bookingTrial) restartService() {
	tr.orders.restart()
	tr.control.mu.Lock()
	o := tr.control.owners["o1"]
	tr.control.mu.Unlock()
	tr.control.assign(tr.orders.server(), o.Entry, o.Addr)
}

// runDelayed runs f once the first caller has its answer, or after 20 ms.
func (tr *bookingTrial) runDelayed(f func()) {
	tr.delayed.Add(1)
	go func() {
		defer tr.delayed.Done()
		select {
		case <-tr.delayedMayRun:
		case <-time.After(20 * time.Millisecond):
		}
		f()
	}()
}

func (tr *bookingTrial) book(d *Dispatcher, request string) bookingResult {
	r := bookingResult{request: request, answer: post(tr.t, d, "/services/orders/bookings", "crate", marker.IdempotencyKey, tr.key, marker.RequestID, request)}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, r)
	return r
}

// run books, books again through the other entry, once more after all faults, and returns the violations.
func (tr *bookingTrial) run() []string {
	tr.book(tr.far, "first")
	close(tr.delayedMayRun)
	entries := []*Dispatcher{tr.near, tr.far}
	if tr.ownerLeaving.Load() || tr.ownerDead.Load() {
		entries = []*Dispatcher{tr.far, tr.far}
	}
	tr.book(entries[0], "second")
	tr.delayed.Wait()
	tr.hop.Restore()
	last := tr.book(entries[1], "last")
	violations := tr.check()
	if last.outcome == "not-run" {
		violations = append(violations, "the last try didn't run although no fault was left: "+last.body)
	}
	return violations
}

// check compares the callers' answers with the service's ledger.
func (tr *bookingTrial) check() []string {
	var violations []string
	runs := tr.orders.countRuns(func(e ledgerEntry) bool { return e.key == tr.key })
	if runs > 1 {
		violations = append(violations, fmt.Sprintf("the key ran %d times", runs))
	}
	first := ""
	for _, r := range tr.results {
		ran := tr.orders.countRuns(func(e ledgerEntry) bool { return e.request == r.request })
		switch r.outcome {
		case "done":
			var b struct{ Booked, By string }
			if err := json.Unmarshal([]byte(r.body), &b); err != nil || b.Booked != "crate" || r.status != http.StatusOK {
				violations = append(violations, "done with an incomplete or another booking's answer: "+r.body)
			}
			if runs != 1 {
				violations = append(violations, fmt.Sprintf("%s was reported as done, the key ran %d times", r.request, runs))
			}
			if first == "" {
				first = r.body
			}
			if r.body != first {
				violations = append(violations, "two answers to one booking: "+first+" and "+r.body)
			}
		case "not-run":
			if ran > 0 {
				violations = append(violations, r.request+" was reported as not run, but ran")
			}
		case "unknown":
			if r.status < http.StatusInternalServerError {
				violations = append(violations, fmt.Sprintf("unknown with status %d", r.status))
			}
		default:
			violations = append(violations, "no outcome: "+r.body)
		}
	}
	return violations
}

// allBookingFaults lists each fault alone, and pairs of service faults and of other faults.
func allBookingFaults() []bookingFault {
	faults := append([]bookingFault{}, serviceFaults...)
	faults = append(faults, otherFaults...)
	for _, a := range serviceFaults {
		for _, b := range serviceFaults {
			faults = append(faults, bookingFault{a.step, a.name + " then " + b.step + " " + b.name, func(tr *bookingTrial) { a.addTo(tr); b.addTo(tr) }})
		}
	}
	for _, a := range otherFaults {
		for _, b := range otherFaults[:11] {
			faults = append(faults, bookingFault{a.step, a.name + " then " + b.step + " " + b.name, func(tr *bookingTrial) { a.addTo(tr); b.addTo(tr) }})
		}
	}
	return faults
}

// TestCheckerNoticesBookings disables safeguards one by one; the check must find violations.
func TestCheckerNoticesBookings(t *testing.T) {
	tests := []struct {
		fault, off string
		part       func(d *Dispatcher) any
		want       string
	}{
		{"lost", "skipStore", func(d *Dispatcher) any { return d.booker }, "the key ran [23] times"},
		{"killed after", "unknownAsNotRun", func(d *Dispatcher) any { return d.booker }, "first was reported as not run, but ran|the key ran 2 times"},
		{"crossed", "skipEchoCheck", func(d *Dispatcher) any { return d.sender }, "done with an incomplete or another booking's answer.*"},
	}
	for _, tt := range tests {
		t.Run(tt.off, func(t *testing.T) {
			tr := newBookingTrial(t)
			for _, f := range serviceFaults {
				if f.name == tt.fault {
					f.addTo(tr)
				}
			}
			setFlag(tt.part(tr.near), tt.off)
			setFlag(tt.part(tr.far), tt.off)
			violations := tr.run()
			t.Logf("%s set: %q", tt.off, violations)
			qt.Assert(t, violations, qt.Any(qt.Matches), tt.want)
		})
	}
}

// setFlag sets a component's unexported flag that disables a safeguard.
func setFlag(part any, field string) {
	f := reflect.ValueOf(part).Elem().FieldByName(field)
	*(*bool)(f.Addr().UnsafePointer()) = true
}
