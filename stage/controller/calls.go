package controller

import (
	"slices"
	"time"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
)

const (
	maxDigests = 1024
	// maxWaited bounds the wait that a permit request reports, in milliseconds.
	maxWaited = 3_600_000
)

// memory returns the open and answered calls of an entry.
func (d *desk) memory(holder string) *answered {
	a, ok := d.answered[holder]
	if !ok {
		a = &answered{byID: make(map[uint64]answerFrame), open: make(map[uint64]bool)}
		d.answered[holder] = a
	}
	return a
}

// call executes a call; a repeated one gets its first answer again.
func (d *desk) call(now time.Time, p *peer, c callFrame) {
	ref := callRef{holder: p.holder, id: c.ID}
	memory := d.memory(p.holder)
	if a, ok := memory.byID[c.ID]; ok {
		d.out = append(d.out, outFrame{to: p.key, frame: down{Answers: []answerFrame{a}}})
		return
	}
	if memory.open[c.ID] {
		return
	}
	memory.open[c.ID] = true
	if !d.registry.Live(now, p.holder) && c.Kind != callEnd && c.Kind != callReturn {
		d.retry(ref)
		return
	}
	switch c.Kind {
	case callPermit:
		if err := d.permits.Ask(now, c.ask(p.holder)); err != nil {
			d.refuse(ref, err.Error())
		}
		d.grant(now)
	case callReturn:
		d.permits.Return(now, p.holder, c.Grant, !c.Unused && !d.allUnused)
		d.answer(ref, answerFrame{})
		d.grant(now)
	case callAccuse:
		d.accuse(now, ref, c)
	case callAbsolve:
		d.absolve(now, ref, c)
	case callLock:
		if len(c.Digests) != 1 || !d.suspects.Lock(quarantiner.Ticket{Digest: c.Digests[0], Holder: p.holder, ID: c.ID}) {
			d.refuse(ref, "too many requests for the lock wait")
		}
		d.grant(now)
	case callUnlock:
		for _, digest := range c.Digests {
			d.suspects.Unlock(quarantiner.Ticket{Digest: digest, Holder: p.holder, ID: c.Grant})
		}
		d.answer(ref, answerFrame{})
		d.grant(now)
	case callBegin, callEnd:
		d.book(ref, p, c)
	case callRelease:
		d.release(now, ref, p, c)
	default:
		d.refuse(ref, "unknown call")
	}
}

// ask returns the permit request; the wait is clamped, since a longer one could overflow.
func (c callFrame) ask(holder string) registrar.Ask {
	waited := time.Duration(max(-1, min(c.Waited, maxWaited))) * time.Millisecond
	return registrar.Ask{ID: c.ID, Holder: holder, Urgent: c.Urgent, Rate: c.Rate, Waited: waited}
}

func (d *desk) accuse(now time.Time, ref callRef, c callFrame) {
	if len(c.Digests) > maxDigests {
		d.refuse(ref, "too many digests")
		return
	}
	d.suspects.Accuse(now, quarantiner.Crash{Reporter: ref.holder, Number: c.ID}, c.Digests)
	d.publish(now)
	d.waits = append(d.waits, wait{live: d.live.Revision(), ref: ref})
	d.finishWaits(now)
}

func (d *desk) absolve(now time.Time, ref callRef, c callFrame) {
	for _, digest := range c.Digests {
		d.suspects.Absolve(now, digest, c.Seen)
	}
	d.publish(now)
	d.answer(ref, answerFrame{})
}

func (d *desk) book(ref callRef, p *peer, c callFrame) {
	b := pendingBooking{ref: ref}
	switch {
	case c.Kind == callBegin && c.Begin != nil:
		begin := *c.Begin
		begin.Entry, begin.Incarnation = p.hello.Name, p.hello.Incarnation
		b.cmd.Begin = &begin
	case c.Kind == callEnd && c.End != nil:
		b.cmd.End = c.End
	default:
		d.refuse(ref, "empty booking")
		return
	}
	d.bookings = append(d.bookings, b)
}

// propose batches queued bookings into commands, of which at most maxProposals are in flight.
func (d *desk) propose(now time.Time) {
	for len(d.bookings) > 0 && d.flying < maxProposals {
		n := min(len(d.bookings), maxBatch)
		cmd := newCommand(now)
		refs := make([]callRef, 0, n)
		for _, b := range d.bookings[:n] {
			cmd.Bookings = append(cmd.Bookings, b.cmd)
			refs = append(refs, b.ref)
		}
		d.bookings = slices.Clone(d.bookings[n:])
		d.flying++
		d.proposed = append(d.proposed, proposal{cmd: cmd, refs: refs})
	}
}

// committed handles the result of a proposal; after an error entries retry bookings, and lost processes are proposed again.
func (d *desk) committed(now time.Time, p proposal, data []byte, err error) {
	if p.cmd.Bookings == nil {
		d.recorded(now, p.cmd, err)
		return
	}
	d.flying--
	var res result
	if err == nil {
		err = encoder.Unmarshal(data, &res)
	}
	for i, ref := range p.refs {
		switch {
		case err != nil || i >= len(res.Begun):
			d.retry(ref)
		case p.cmd.Bookings[i].Begin != nil:
			d.answer(ref, answerFrame{Begun: &res.Begun[i]})
		default:
			d.answer(ref, answerFrame{})
		}
	}
}

func (d *desk) release(now time.Time, ref callRef, p *peer, c callFrame) {
	pinned := make([]configurer.Target, 0, len(c.Pinned))
	for _, t := range c.Pinned {
		pinned = append(pinned, configurer.Target(t))
	}
	if err := d.registry.Release(p.holder, c.Server, c.Epoch, pinned); err != nil {
		d.refuse(ref, err.Error())
		return
	}
	d.answer(ref, answerFrame{})
	d.tick(now)
}

// grant answers the permit and lock requests that can be granted now.
func (d *desk) grant(now time.Time) {
	for _, g := range d.permits.Grant(now) {
		d.answerDated(now, callRef{g.Ask.Holder, g.Ask.ID}, answerFrame{Permit: g.ID})
	}
	for _, t := range d.suspects.Grant(now) {
		d.answerDated(now, callRef{t.Holder, t.ID}, answerFrame{})
	}
}

// answerDated adds the time of the grant, relative to the entry's last heartbeat.
func (d *desk) answerDated(now time.Time, ref callRef, a answerFrame) {
	if p, ok := d.holders[ref.holder]; ok && p.beat > 0 {
		a.Beat, a.After = p.beat, now.Sub(p.beatAt).Milliseconds()
	}
	d.answer(ref, a)
}

func (d *desk) refuse(ref callRef, text string) {
	d.answer(ref, answerFrame{Code: answerRefused, Text: text})
}

// retry asks the entry to send the call again and forgets it.
func (d *desk) retry(ref callRef) {
	delete(d.memory(ref.holder).open, ref.id)
	d.send(ref.holder, answerFrame{ID: ref.id, Code: answerRetry})
}

func (d *desk) answer(ref callRef, a answerFrame) {
	a.ID = ref.id
	memory := d.memory(ref.holder)
	delete(memory.open, ref.id)
	memory.byID[ref.id] = a
	memory.order = append(memory.order, ref.id)
	if len(memory.order) > keepAnswered {
		delete(memory.byID, memory.order[0])
		memory.order = slices.Delete(memory.order, 0, 1)
	}
	d.send(ref.holder, a)
}

func (d *desk) send(holder string, a answerFrame) {
	if p, ok := d.holders[holder]; ok {
		d.out = append(d.out, outFrame{to: p.key, frame: down{Answers: []answerFrame{a}}})
	}
}
