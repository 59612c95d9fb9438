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

// trial books one key through two entries while faults are injected.
type trial struct {
	t         testing.TB
	world     *world
	near, far *Dispatcher
	orders    *backend
	hop       *cutter.Cutter
	key       string
	// service[n] handles the n-th call at the service; sends, begins and ends the n-th write, begin and end.
	service []func(c *call)
	sends   []func(c net.Conn, p []byte) (int, error)
	begins  []func(do func() recorder.Begun) (recorder.Begun, error)
	ends    []func(do func()) error
	// release is closed when delayed actions may run.
	release chan struct{}
	late    sync.WaitGroup

	sent, begun, ended atomic.Int64
	dead, leaving      atomic.Bool
	mu                 sync.Mutex
	conns              []net.Conn
	results            []result
}

// freezeTime exceeds the silence timeout that the entries of a trial have for services.
const freezeTime = 600 * time.Millisecond

// mortal is the owner's control role, whose record calls fail once the owner's process is killed.
type mortal struct {
	*world
	dead *atomic.Bool
}

func (m mortal) Begin(_ context.Context, b recorder.Begin) (recorder.Begun, error) {
	if m.dead.Load() {
		return recorder.Begun{}, errLost
	}
	return m.beginBy(b, m.dead)
}

func (m mortal) End(ctx context.Context, e recorder.End) error {
	if m.dead.Load() {
		return errLost
	}
	return m.world.End(ctx, e)
}

// kill cuts all of the owner's connections at once, as the end of its process would; the other entry takes over.
func (tr *trial) kill() {
	tr.dead.Store(true)
	tr.hop.Cut(cutter.Both)
	tr.mu.Lock()
	for _, c := range tr.conns {
		_ = c.Close()
	}
	tr.mu.Unlock()
	tr.world.mu.Lock()
	tr.world.table.Lost(time.Now(), "near", 1)
	tr.world.mu.Unlock()
	tr.world.assign(tr.orders.server(), "far", tr.far.Peers())
}

// result is the answer to a named request.
type result struct {
	request string
	answer
}

// bookingFault is a fault that arm adds to a trial; step and name identify its subtest.
type bookingFault struct {
	step, name string
	arm        func(tr *trial)
}

func onService(step, name string, f func(tr *trial, c *call)) bookingFault {
	return bookingFault{step, name, func(tr *trial) {
		tr.service = append(tr.service, func(c *call) { f(tr, c) })
	}}
}

var serviceFaults = []bookingFault{
	onService("run", "killed before", func(tr *trial, _ *call) { tr.die() }),
	onService("run", "killed after", func(tr *trial, c *call) { c.run(); tr.die() }),
	onService("run", "cut before", func(*trial, *call) {}),
	onService("run", "cut and late", func(tr *trial, c *call) { tr.later(c.run) }),
	onService("run", "refused", func(_ *trial, c *call) { c.write(503, `{"error":{"type":"not_run"}}`) }),
	onService("run", "failed", func(_ *trial, c *call) { c.run(); c.write(500, `{}`) }),
	onService("run", "frozen before", func(tr *trial, c *call) { c.freeze(freezeTime); c.thawed(); c.run(); c.write(200, c.booked()) }),
	onService("run", "frozen after", func(tr *trial, c *call) { c.run(); c.freeze(freezeTime); c.thawed(); c.write(200, c.booked()) }),
	onService("answer", "lost", func(_ *trial, c *call) { c.run() }),
	onService("answer", "silent", func(_ *trial, c *call) { c.run(); _, _ = io.Copy(io.Discard, c.conn) }),
	onService("answer", "late", func(tr *trial, c *call) { c.run(); <-tr.release; c.write(200, c.booked()) }),
	onService("answer", "doubled", func(_ *trial, c *call) { c.run(); c.write(200, c.booked()); c.write(200, c.booked()) }),
	onService("answer", "crossed", func(_ *trial, c *call) {
		c.run()
		c.raw(c.head(200, "other.1.1", "Content-Length: 17\r\n") + `{"booked":"mine"}`)
	}),
	onService("answer", "truncated", func(_ *trial, c *call) {
		c.run()
		c.raw(c.head(200, c.attempt, "Content-Length: 99\r\n") + c.booked()[:9])
	}),
	onService("answer", "oversized", func(_ *trial, c *call) { c.run(); c.write(200, strings.Repeat("x", 1<<17)) }),
}

var otherFaults = []bookingFault{
	{"begin", "lost before", func(tr *trial) {
		tr.begins = append(tr.begins, func(func() recorder.Begun) (recorder.Begun, error) { return recorder.Begun{}, errLost })
	}},
	{"begin", "lost after", func(tr *trial) {
		tr.begins = append(tr.begins, func(do func() recorder.Begun) (recorder.Begun, error) { do(); return recorder.Begun{}, errLost })
	}},
	{"begin", "late", func(tr *trial) {
		tr.begins = append(tr.begins, func(do func() recorder.Begun) (recorder.Begun, error) {
			tr.later(func() { do() })
			return recorder.Begun{}, errLost
		})
	}},
	{"begin", "doubled", func(tr *trial) {
		tr.begins = append(tr.begins, func(do func() recorder.Begun) (recorder.Begun, error) {
			tr.later(func() { do() })
			return do(), nil
		})
	}},
	{"send", "killed", func(tr *trial) {
		tr.begins = append(tr.begins, func(do func() recorder.Begun) (recorder.Begun, error) {
			tr.die()
			return do(), nil
		})
	}},
	{"send", "cut before a byte", func(tr *trial) {
		tr.sends = append(tr.sends, func(c net.Conn, _ []byte) (int, error) { return 0, c.Close() })
	}},
	{"send", "cut after a byte", func(tr *trial) {
		tr.sends = append(tr.sends, func(c net.Conn, p []byte) (int, error) {
			n, _ := c.Write(p[:1])
			_ = c.Close()
			return n, errLost
		})
	}},
	{"send", "lost", func(tr *trial) {
		tr.sends = append(tr.sends, func(_ net.Conn, p []byte) (int, error) { return len(p), nil })
	}},
	{"end", "lost before", func(tr *trial) {
		tr.ends = append(tr.ends, func(func()) error { return errLost })
	}},
	{"end", "lost after", func(tr *trial) {
		tr.ends = append(tr.ends, func(do func()) error { do(); return errLost })
	}},
	{"end", "doubled", func(tr *trial) {
		tr.ends = append(tr.ends, func(do func()) error { tr.later(do); do(); return nil })
	}},
	onService("hop", "cut", func(tr *trial, c *call) { tr.hop.Reset(); c.run(); c.write(200, c.booked()) }),
	onService("hop", "silent", func(tr *trial, c *call) { tr.hop.Silence(); c.run(); c.write(200, c.booked()) }),
	onService("caller", "resent at once", func(tr *trial, c *call) {
		tr.later(func() { tr.book(tr.near, "again") })
		c.run()
		c.write(200, c.booked())
	}),
	{"owner", "killed before begin", func(tr *trial) {
		tr.begins = append(tr.begins, func(func() recorder.Begun) (recorder.Begun, error) { tr.kill(); return recorder.Begun{}, errLost })
	}},
	{"owner", "killed after begin", func(tr *trial) {
		tr.begins = append(tr.begins, func(do func() recorder.Begun) (recorder.Begun, error) {
			do()
			tr.kill()
			return recorder.Begun{}, errLost
		})
	}},
	onService("owner", "killed before run", func(tr *trial, _ *call) { tr.kill() }),
	onService("owner", "killed after run", func(tr *trial, c *call) { c.run(); tr.kill() }),
	onService("owner", "killed, late run", func(tr *trial, c *call) { tr.kill(); tr.later(c.run) }),
	{"owner", "killed before end", func(tr *trial) {
		tr.ends = append(tr.ends, func(func()) error { tr.kill(); return errLost })
	}},
	{"owner", "killed after end", func(tr *trial) {
		tr.ends = append(tr.ends, func(do func()) error { do(); tr.kill(); return errLost })
	}},
	onService("owner", "moved", func(tr *trial, c *call) {
		tr.world.assign(tr.orders.server(), "far", tr.far.Peers())
		tr.later(func() { tr.book(tr.far, "moved") })
		c.run()
		c.write(200, c.booked())
	}),
	onService("owner", "closed", func(tr *trial, c *call) {
		tr.leaving.Store(true)
		tr.late.Add(1)
		go func() {
			defer tr.late.Done()
			ctx, cancel := context.WithTimeout(context.Background(), hang)
			defer cancel()
			qt.Check(tr.t, tr.near.Close(ctx), qt.IsNil)
		}()
		c.run()
		c.write(200, c.booked())
	}),
}

func newTrial(t testing.TB) *trial {
	tr := &trial{t: t, world: newWorld(t), key: "key-1", release: make(chan struct{})}
	tr.orders = startBackend(t, "o1", configurer.KindPlain)
	tr.near = tr.world.startEntryUnder(t, "near", mortal{tr.world, &tr.dead}, tr.quick(&tr.dead)...)
	tr.far = tr.world.startEntry(t, "far", tr.quick(new(atomic.Bool))...)
	hop, err := cutter.New(context.Background(), "127.0.0.1:0", tr.near.Peers())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = hop.Close() })
	tr.hop = hop
	tr.world.assign(tr.orders.server(), "near", hop.Addr())
	adopted(t, tr.far, "/services/orders/stock/1")
	tr.orders.fault = func(n int, c *call) bool {
		if n >= len(tr.service) {
			return false
		}
		tr.service[n](c)
		return true
	}
	tr.world.begin = func(do func() recorder.Begun) (recorder.Begun, error) {
		if n := int(tr.begun.Add(1)) - 1; n < len(tr.begins) {
			return tr.begins[n](do)
		}
		return do(), nil
	}
	tr.world.end = func(do func()) error {
		if n := int(tr.ended.Add(1)) - 1; n < len(tr.ends) {
			return tr.ends[n](do)
		}
		do()
		return nil
	}
	return tr
}

func (tr *trial) quick(dead *atomic.Bool) []Option {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if dead.Load() {
			return nil, errLost
		}
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		if dead == &tr.dead {
			tr.mu.Lock()
			tr.conns = append(tr.conns, c)
			tr.mu.Unlock()
		}
		return &faultyConn{Conn: c, trial: tr}, nil
	}
	return append(quick(), WithSender(sender.New(sender.WithDial(dial), sender.WithMaxAnswer(1<<16))))
}

// faultyConn injects faults into the writes of bookings.
type faultyConn struct {
	net.Conn
	trial *trial
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("POST /bookings")) {
		if n := int(c.trial.sent.Add(1)) - 1; n < len(c.trial.sends) {
			return c.trial.sends[n](c.Conn, p)
		}
	}
	return c.Conn.Write(p)
}

// die restarts the service's process at the same address.
func (tr *trial) die() {
	tr.orders.restart()
	tr.world.mu.Lock()
	o := tr.world.owners["o1"]
	tr.world.mu.Unlock()
	tr.world.assign(tr.orders.server(), o.Entry, o.Addr)
}

// later runs f once the first caller has its answer, or after 20 ms.
func (tr *trial) later(f func()) {
	tr.late.Add(1)
	go func() {
		defer tr.late.Done()
		select {
		case <-tr.release:
		case <-time.After(20 * time.Millisecond):
		}
		f()
	}()
}

func (tr *trial) book(d *Dispatcher, request string) result {
	r := result{request: request, answer: post(tr.t, d, "/services/orders/bookings", "crate", marker.Key, tr.key, marker.Request, request)}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.results = append(tr.results, r)
	return r
}

// run books, books again through the other entry, once more after all faults, and returns the violations.
func (tr *trial) run() []string {
	tr.book(tr.far, "first")
	close(tr.release)
	entries := []*Dispatcher{tr.near, tr.far}
	if tr.leaving.Load() || tr.dead.Load() {
		entries = []*Dispatcher{tr.far, tr.far}
	}
	tr.book(entries[0], "second")
	tr.late.Wait()
	tr.hop.Heal()
	last := tr.book(entries[1], "last")
	found := tr.check()
	if last.outcome == "not-run" {
		found = append(found, "the last try didn't run although no fault was left: "+last.body)
	}
	return found
}

// check compares the callers' answers with the service's ledger.
func (tr *trial) check() []string {
	var found []string
	runs := tr.orders.ran(func(e entry) bool { return e.key == tr.key })
	if runs > 1 {
		found = append(found, fmt.Sprintf("the key ran %d times", runs))
	}
	first := ""
	for _, r := range tr.results {
		ran := tr.orders.ran(func(e entry) bool { return e.request == r.request })
		switch r.outcome {
		case "done":
			var b struct{ Booked, By string }
			if err := json.Unmarshal([]byte(r.body), &b); err != nil || b.Booked != "crate" || r.status != http.StatusOK {
				found = append(found, "done with an incomplete or another booking's answer: "+r.body)
			}
			if runs != 1 {
				found = append(found, fmt.Sprintf("%s was reported as done, the key ran %d times", r.request, runs))
			}
			if first == "" {
				first = r.body
			}
			if r.body != first {
				found = append(found, "two answers to one booking: "+first+" and "+r.body)
			}
		case "not-run":
			if ran > 0 {
				found = append(found, r.request+" was reported as not run, but ran")
			}
		case "unknown":
			if r.status < http.StatusInternalServerError {
				found = append(found, fmt.Sprintf("unknown with status %d", r.status))
			}
		default:
			found = append(found, "no outcome: "+r.body)
		}
	}
	return found
}

// bookingRows lists each fault alone, and pairs of service faults and of other faults.
func bookingRows() []bookingFault {
	rows := append([]bookingFault{}, serviceFaults...)
	rows = append(rows, otherFaults...)
	for _, a := range serviceFaults {
		for _, b := range serviceFaults {
			rows = append(rows, bookingFault{a.step, a.name + " then " + b.step + " " + b.name, func(tr *trial) { a.arm(tr); b.arm(tr) }})
		}
	}
	for _, a := range otherFaults {
		for _, b := range otherFaults[:11] {
			rows = append(rows, bookingFault{a.step, a.name + " then " + b.step + " " + b.name, func(tr *trial) { a.arm(tr); b.arm(tr) }})
		}
	}
	return rows
}

// TestCheckerNoticesBookings disables safeguards one by one; the check must find violations.
func TestCheckerNoticesBookings(t *testing.T) {
	tests := []struct {
		fault, off string
		part       func(d *Dispatcher) any
		want       string
	}{
		{"lost", "unrecorded", func(d *Dispatcher) any { return d.booker }, "the key ran [23] times"},
		{"killed after", "careless", func(d *Dispatcher) any { return d.booker }, "first was reported as not run, but ran|the key ran 2 times"},
		{"crossed", "unchecked", func(d *Dispatcher) any { return d.sender }, "done with an incomplete or another booking's answer.*"},
	}
	for _, tt := range tests {
		t.Run(tt.off, func(t *testing.T) {
			tr := newTrial(t)
			for _, f := range serviceFaults {
				if f.name == tt.fault {
					f.arm(tr)
				}
			}
			switchOff(tt.part(tr.near), tt.off)
			switchOff(tt.part(tr.far), tt.off)
			found := tr.run()
			t.Logf("%s set: %q", tt.off, found)
			qt.Assert(t, found, qt.Any(qt.Matches), tt.want)
		})
	}
}

// switchOff sets a component's unexported flag that disables a safeguard.
func switchOff(part any, field string) {
	f := reflect.ValueOf(part).Elem().FieldByName(field)
	*(*bool)(f.Addr().UnsafePointer()) = true
}
