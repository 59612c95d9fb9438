package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/runner"
	"redwingstage.org/serving/auditor"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

func simMember(i int) runner.Member {
	return runner.Member{ID: uint64(i + 1), Addr: fmt.Sprint(i)}
}

// workload generates operators' changes, announcements and entries' calls.
type workload struct {
	w            *simWorld
	rng          *rand.Rand
	operators    []*simOperator
	lockPending  map[string]int
	nextCall     time.Time
	nextAnnounce time.Time
	bookings     int
	// changesStopped is set once no more changes are made.
	changesStopped bool
}

// simOperator makes one change after the other and repeats each until it is answered.
type simOperator struct {
	name         string
	lastChange   int
	expect       uint64
	change       *configurer.Change
	next         time.Time
	inForce      chan bool
	waitRevision uint64
}

func newWorkload(w *simWorld, seed uint64) *workload {
	l := &workload{w: w, rng: rand.New(rand.NewPCG(seed, 3)), lockPending: make(map[string]int)}
	l.operators = []*simOperator{{name: "aisyah"}, {name: "bento"}}
	return l
}

func (l *workload) step() {
	now := l.w.now
	if !now.Before(l.nextAnnounce) {
		l.nextAnnounce = now.Add(time.Second)
		for i := range simServers {
			e := l.w.entries[l.rng.IntN(simEntries)]
			if e.alive() {
				e.agent.announce(now, registrar.Server{
					Name: fmt.Sprintf("engine-%d", i), Kind: configurer.KindModel, Addr: "10.1.0.1:1", Zone: "kl-1", Service: "base", Incarnation: "i",
				})
			}
		}
	}
	for _, o := range l.operators {
		l.operate(o)
	}
	if !now.Before(l.nextCall) {
		l.nextCall = now.Add(time.Duration(l.rng.Int64N(int64(120 * time.Millisecond))))
		if e := l.w.entries[l.rng.IntN(simEntries)]; e.alive() {
			l.call(e)
		}
	}
}

// operate runs an operator's next step: propose, repeat after a lost result, then wait for the change to be in force.
func (l *workload) operate(o *simOperator) {
	w := l.w
	if o.inForce != nil {
		select {
		case ok := <-o.inForce:
			if ok {
				w.checker.markInForce(o.waitRevision)
			}
			o.inForce = nil
		default:
		}
	}
	if l.changesStopped || w.now.Before(o.next) || w.quorum.leader < 0 || !w.replicas[w.quorum.leader].alive() {
		return
	}
	o.next = w.now.Add(time.Duration(l.rng.Int64N(int64(time.Second))))
	if o.change == nil {
		o.lastChange++
		ch := configurer.Change{ID: fmt.Sprintf("%s-%d", o.name, o.lastChange), ExpectedRevision: o.expect, Put: sampleDoc()}
		ch.Put.Adapters[0].Versions[0].Digest = "d1"
		ch.Put.Adapters = append(ch.Put.Adapters, configurer.AdapterSpec{
			Name: "by-" + o.name, Service: "base", Current: o.lastChange, Versions: []configurer.VersionSpec{{Number: o.lastChange, Source: "s", Digest: ch.ID}},
		})
		if l.rng.IntN(4) == 0 && o.lastChange > 1 {
			ch.Put.Adapters[1].Versions[0].Number, ch.Put.Adapters[1].Current = o.lastChange-1, o.lastChange-1
		}
		o.change = &ch
	}
	leader := w.replicas[w.quorum.leader]
	cmd := newCommand(w.now)
	cmd.Change = &changeCommand{Origin: origin{Operator: o.name, Change: o.change.ID}, Action: auditor.ActionApply, Change: *o.change}
	data, err := encoder.Marshal(cmd)
	if err != nil {
		w.checker.fail("encode: %v", err)
		return
	}
	out, err := leader.log.Propose(context.Background(), data)
	if err != nil {
		return
	}
	var res result
	if err := encoder.Unmarshal(out.Data, &res); err != nil || res.Reply == nil {
		w.checker.fail("result: %v %+v", err, res)
		return
	}
	w.checker.checkReply(*o.change, res)
	o.expect = res.Reply.Revision
	if res.Reply.Repeated {
		o.expect = leader.hub.machine.catalogRevision()
	}
	if res.Reply.Outcome == configurer.OutcomeAccepted && o.inForce == nil {
		o.inForce, o.waitRevision = make(chan bool, 1), res.Reply.Revision
		leader.hub.awaitInForce(w.now, o.waitRevision, o.inForce)
	}
	o.change = nil
}

// call makes a random call of an entry.
func (l *workload) call(e *simEntry) {
	now, a := l.w.now, e.agent
	switch l.rng.IntN(6) {
	case 0, 1:
		f := callFrame{Kind: callPermit, Server: "engine-0", Urgent: l.rng.IntN(2) == 0, Rate: l.rng.Float64()}
		a.call(now, f, func(ans answerFrame) {
			unused := l.rng.IntN(2) == 0
			l.w.checker.checkGranted(ans.Permit)
			l.runLater(e, a, func() {
				delete(a.permits, ans.Permit)
				l.w.checker.recordReturn(ans.Permit, unused)
				a.call(l.w.now, callFrame{Kind: callReturnPermit, Grant: ans.Permit, Unused: unused}, nil)
			})
		})
	case 2:
		d := quarantiner.Digest{byte(l.rng.IntN(250))}
		a.call(now, callFrame{Kind: callReportCrash, Digests: []quarantiner.Digest{d}}, func(answerFrame) { l.w.checker.addSuspect(d) })
	case 3:
		d := quarantiner.Digest{255, byte(l.rng.IntN(2))}
		key := e.name() + string(d[:2])
		if l.lockPending[key] > 0 {
			return
		}
		l.lockPending[key]++
		a.call(now, callFrame{Kind: callLockSuspect, Digests: []quarantiner.Digest{d}}, func(ans answerFrame) {
			l.runLater(e, a, func() {
				l.lockPending[key] = 0
				a.unlock(l.w.now, d, ans.ID)
			})
		})
	case 4:
		l.book(e)
	case 5:
		if l.rng.IntN(8) > 0 {
			return
		}
		// As in a graceful shutdown, the entry releases all its servers.
		a.roster.Owners(func(server string, o registrar.Owner) {
			if o.Entry == e.name() {
				l.w.checker.recordRelease(e, server)
				a.call(now, callFrame{Kind: callReleaseServer, Server: server}, nil)
			}
		})
	}
}

func (l *workload) book(e *simEntry) {
	l.bookings++
	key := recorder.Key{Caller: "gym", Service: "orders", Key: fmt.Sprint(l.rng.IntN(1 + l.bookings/2))}
	attempt := fmt.Sprintf("%s-%d-%d", e.name(), e.incarnation, l.bookings)
	e.agent.call(l.w.now, callFrame{Kind: callBeginBooking, Begin: &recorder.Begin{Key: key, Attempt: attempt}}, func(ans answerFrame) {
		if ans.Begun != nil && ans.Begun.Decision == recorder.DecisionRun {
			l.w.checker.checkBooking(key, attempt)
		}
	})
}

// runLater runs f 250 ms later, or in a third of cases within 4 s, unless the process was replaced or stopped.
func (l *workload) runLater(e *simEntry, a *agent, f func()) {
	d := 250 * time.Millisecond
	if l.rng.IntN(3) == 0 {
		d = time.Duration(l.rng.Int64N(int64(4 * time.Second)))
	}
	l.w.checker.scheduled = append(l.w.checker.scheduled, timed[func()]{l.w.now.Add(d), func() {
		if e.agent == a && !e.dead {
			f()
		}
	}})
}
