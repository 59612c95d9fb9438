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
	maxDigestsPerCall = 1024
	// maxWaitedMillis bounds the wait that a permit request reports.
	maxWaitedMillis = 3_600_000
)

// history returns the open and answered calls of an entry.
func (l *leaderState) history(holder string) *callHistory {
	a, ok := l.histories[holder]
	if !ok {
		a = &callHistory{answers: make(map[uint64]answerFrame), openCalls: make(map[uint64]bool)}
		l.histories[holder] = a
	}
	return a
}

// executeCall executes a call; a repeated one gets its first answer again.
func (l *leaderState) executeCall(now time.Time, p *peer, c callFrame) {
	ref := callRef{holder: p.holder, id: c.ID}
	history := l.history(p.holder)
	if a, ok := history.answers[c.ID]; ok {
		l.messages = append(l.messages, outMessage{to: p.key, frame: leaderMessage{Answers: []answerFrame{a}}})
		return
	}
	if history.openCalls[c.ID] {
		return
	}
	history.openCalls[c.ID] = true
	if !l.registry.Live(now, p.holder) && c.Kind != callEndBooking && c.Kind != callReturnPermit {
		l.retry(ref)
		return
	}
	switch c.Kind {
	case callPermit:
		if err := l.permits.Request(now, c.permitRequest(p.holder)); err != nil {
			l.refuse(ref, err.Error())
		}
		l.grant(now)
	case callReturnPermit:
		l.permits.Return(now, p.holder, c.Grant, !c.Unused && !l.countPermitsAsUnused)
		l.answer(ref, answerFrame{})
		l.grant(now)
	case callReportCrash:
		l.reportCrash(now, ref, c)
	case callReportCompletion:
		l.reportCompletion(now, ref, c)
	case callLockSuspect:
		if len(c.Digests) != 1 || !l.suspects.Lock(quarantiner.Ticket{Digest: c.Digests[0], Holder: p.holder, ID: c.ID}) {
			l.refuse(ref, "too many requests for the lock wait")
		}
		l.grant(now)
	case callUnlockSuspect:
		for _, digest := range c.Digests {
			l.suspects.Unlock(quarantiner.Ticket{Digest: digest, Holder: p.holder, ID: c.Grant})
		}
		l.answer(ref, answerFrame{})
		l.grant(now)
	case callBeginBooking, callEndBooking:
		l.queueBooking(ref, p, c)
	case callReleaseServer:
		l.release(now, ref, p, c)
	default:
		l.refuse(ref, "unknown call")
	}
}

// permitRequest returns the permit request; the wait is clamped, since a longer one could overflow.
func (c callFrame) permitRequest(holder string) registrar.PermitRequest {
	waited := time.Duration(max(-1, min(c.WaitedMillis, maxWaitedMillis))) * time.Millisecond
	return registrar.PermitRequest{ID: c.ID, Holder: holder, Urgent: c.Urgent, Rate: c.Rate, Waited: waited}
}

func (l *leaderState) reportCrash(now time.Time, ref callRef, c callFrame) {
	if len(c.Digests) > maxDigestsPerCall {
		l.refuse(ref, "too many digests")
		return
	}
	l.suspects.ReportCrash(now, quarantiner.Crash{Reporter: ref.holder, Number: c.ID}, c.Digests)
	l.publish(now)
	l.revisionWaits = append(l.revisionWaits, revisionWait{live: l.live.Revision(), ref: ref})
	l.finishWaits(now)
}

func (l *leaderState) reportCompletion(now time.Time, ref callRef, c callFrame) {
	for _, digest := range c.Digests {
		l.suspects.ReportCompletion(now, digest, c.LiveRevision)
	}
	l.publish(now)
	l.answer(ref, answerFrame{})
}

func (l *leaderState) queueBooking(ref callRef, p *peer, c callFrame) {
	b := pendingBooking{ref: ref}
	switch {
	case c.Kind == callBeginBooking && c.Begin != nil:
		begin := *c.Begin
		begin.Entry, begin.Incarnation = p.hello.Name, p.hello.Incarnation
		b.cmd.Begin = &begin
	case c.Kind == callEndBooking && c.End != nil:
		b.cmd.End = c.End
	default:
		l.refuse(ref, "empty booking")
		return
	}
	l.bookings = append(l.bookings, b)
}

// proposeBookings batches queued bookings into commands, of which at most maxBookingCommands are in flight.
func (l *leaderState) proposeBookings(now time.Time) {
	for len(l.bookings) > 0 && l.bookingCommandsInFlight < maxBookingCommands {
		n := min(len(l.bookings), maxBookingsPerCommand)
		cmd := newCommand(now)
		refs := make([]callRef, 0, n)
		for _, b := range l.bookings[:n] {
			cmd.Bookings = append(cmd.Bookings, b.cmd)
			refs = append(refs, b.ref)
		}
		l.bookings = slices.Clone(l.bookings[n:])
		l.bookingCommandsInFlight++
		l.proposals = append(l.proposals, proposal{cmd: cmd, refs: refs})
	}
}

// handleProposalResult handles a proposal's result; after an error entries retry bookings, and losses are proposed again.
func (l *leaderState) handleProposalResult(now time.Time, p proposal, data []byte, err error) {
	if p.cmd.Bookings == nil {
		l.handleProcessResult(now, p.cmd, err)
		return
	}
	l.bookingCommandsInFlight--
	var res result
	if err == nil {
		err = encoder.Unmarshal(data, &res)
	}
	for i, ref := range p.refs {
		switch {
		case err != nil || i >= len(res.Begun):
			l.retry(ref)
		case p.cmd.Bookings[i].Begin != nil:
			l.answer(ref, answerFrame{Begun: &res.Begun[i]})
		default:
			l.answer(ref, answerFrame{})
		}
	}
}

func (l *leaderState) release(now time.Time, ref callRef, p *peer, c callFrame) {
	pinned := make([]configurer.Target, 0, len(c.Pinned))
	for _, t := range c.Pinned {
		pinned = append(pinned, configurer.Target(t))
	}
	if err := l.registry.Release(p.holder, c.Server, c.Epoch, pinned); err != nil {
		l.refuse(ref, err.Error())
		return
	}
	l.answer(ref, answerFrame{})
	l.tick(now)
}

// grant answers the permit and lock requests that can be granted now.
func (l *leaderState) grant(now time.Time) {
	for _, g := range l.permits.Grant(now) {
		l.answerWithTime(now, callRef{g.Request.Holder, g.Request.ID}, answerFrame{Permit: g.ID})
	}
	for _, t := range l.suspects.Grant(now) {
		l.answerWithTime(now, callRef{t.Holder, t.ID}, answerFrame{})
	}
}

// answerWithTime adds the time of the grant, relative to the entry's last heartbeat.
func (l *leaderState) answerWithTime(now time.Time, ref callRef, a answerFrame) {
	if p, ok := l.byHolder[ref.holder]; ok && p.heartbeat > 0 {
		a.Heartbeat, a.AfterMillis = p.heartbeat, now.Sub(p.heartbeatAt).Milliseconds()
	}
	l.answer(ref, a)
}

func (l *leaderState) refuse(ref callRef, text string) {
	l.answer(ref, answerFrame{Code: answerRefused, Text: text})
}

// retry requests the call again from the entry and removes it.
func (l *leaderState) retry(ref callRef) {
	delete(l.history(ref.holder).openCalls, ref.id)
	l.send(ref.holder, answerFrame{ID: ref.id, Code: answerRetry})
}

func (l *leaderState) answer(ref callRef, a answerFrame) {
	a.ID = ref.id
	history := l.history(ref.holder)
	delete(history.openCalls, ref.id)
	history.answers[ref.id] = a
	history.answerOrder = append(history.answerOrder, ref.id)
	if len(history.answerOrder) > maxKeptAnswers {
		delete(history.answers, history.answerOrder[0])
		history.answerOrder = slices.Delete(history.answerOrder, 0, 1)
	}
	l.send(ref.holder, a)
}

func (l *leaderState) send(holder string, a answerFrame) {
	if p, ok := l.byHolder[holder]; ok {
		l.messages = append(l.messages, outMessage{to: p.key, frame: leaderMessage{Answers: []answerFrame{a}}})
	}
}
