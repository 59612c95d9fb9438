package scheduler

import (
	"time"

	"redwingstage.org/coord/detector"
	"redwingstage.org/serving/placer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/retrier"
)

// job is a queued or sent attempt.
type job struct {
	Job
	seq            uint64
	runsLong       bool
	isolated       bool
	sent           bool
	failed         bool
	cancelled      bool
	sentAt         time.Time
	firstTokenAt   time.Time
	lastProgressAt time.Time
	cancelSentAt   time.Time
	tokens         int
}

func (s *Scheduler) addJob(now time.Time, jb Job) {
	if s.jobs[jb.Attempt] != nil || s.ended.has(jb.Attempt) {
		return
	}
	s.seq++
	j := &job{Job: jb, seq: s.seq, runsLong: jb.Long || s.isLongClass(jb.Class)}
	if j.Arrived.IsZero() {
		j.Arrived = now
	}
	s.jobs[j.Attempt] = j
	sv := s.servers[j.Server]
	if sv != nil && j.Target.Adapter != "" {
		sv.slots.Use(now, j.Target)
	}
	if reason, wait, ok := s.admits(now, sv, j); !ok {
		s.refuse(now, j, reason, wait)
		return
	}
	item := queuedJob{Value: j, Urgent: j.Urgent, Arrived: j.Arrived, FirstTokenBy: j.FirstTokenBy, Deadline: j.Deadline}
	if !sv.queue.Push(item) {
		s.refuse(now, j, ReasonFull, sv.drainTime())
		return
	}
	s.dispatch(now, sv)
}

// admits reports whether a job may be queued, or else the reason of its refusal and the wait before a retry.
func (s *Scheduler) admits(now time.Time, sv *server, j *job) (Reason, time.Duration, bool) {
	switch {
	case sv == nil || !sv.acceptsJobs && !sv.announcement.Leaving:
		return ReasonNotOwner, 0, false
	case !sv.acceptsJobs:
		return ReasonLeaving, 0, false
	case s.standing(now, j) == quarantiner.Quarantined:
		return ReasonQuarantine, 0, false
	case isPast(now, j.FirstTokenBy) || isPast(now, j.Deadline):
		return ReasonLate, 0, false
	}
	if reason, wait, ok := s.admitsLoad(now, sv, j); !ok {
		return reason, wait, false
	}
	if !s.cfg.enabled(PartRefuseLate) || j.FirstTokenBy.IsZero() {
		return "", 0, true
	}
	budget, wait := j.FirstTokenBy.Sub(now), sv.estimateWait(j)
	if j.IsLastCandidate {
		// The estimate may be wrong; without another candidate, work is refused only beyond twice its budget.
		budget *= 2
	}
	if wait > budget {
		return ReasonLate, wait - budget, false
	}
	return "", 0, true
}

// admitsLoad reports whether a job may wait for a load here; without another candidate it may.
func (s *Scheduler) admitsLoad(now time.Time, sv *server, j *job) (Reason, time.Duration, bool) {
	switch {
	case j.IsLastCandidate:
		return "", 0, true
	case sv.cooldownUntil[j.Target].After(now):
		return ReasonLoad, sv.cooldownUntil[j.Target].Sub(now), false
	case s.needsLoad(sv, j) && s.cfg.enabled(PartStragglers) && s.stragglers.IsStraggler(now, j.Server):
		return ReasonLate, 0, false
	case s.needsLoad(sv, j) && s.cfg.enabled(PartRefuseRareLoads) && !sv.slots.IsWorthLoading(now, j.Target):
		return ReasonSlots, 0, false
	}
	return "", 0, true
}

// needsLoad reports whether a job's adapter is neither loaded, loading nor pending.
func (s *Scheduler) needsLoad(sv *server, j *job) bool {
	return sv.isModel() && !sv.canServe(j.Target) && sv.slots.State(j.Target) != placer.Loading && sv.pendingLoad(j.Target) == nil
}

// estimateWait estimates the time to the first token of a job: the queue's length over the service rate, as Spandana's
// SLO director does (Dehigama et al., section 5.2), plus the average time to the first token.
func (sv *server) estimateWait(j *job) time.Duration {
	ahead := sv.queue.Ahead(j.Urgent, j.FirstTokenBy)
	free := sv.batchSize() - len(sv.inFlight)
	first := sv.firstTokenTime.duration()
	if ahead < free {
		return first
	}
	shortBatch := max(sv.batchSize()-sv.longInFlight, 1)
	return first + time.Duration(float64(ahead-free+1)/float64(shortBatch)*float64(sv.serviceTime.duration()))
}

// drainTime estimates how long the queue takes to empty.
func (sv *server) drainTime() time.Duration {
	return time.Duration(float64(sv.queue.Len()) / float64(sv.batchSize()) * float64(sv.serviceTime.duration()))
}

// dispatch sends the jobs that are ready, then arranges the loads that queued ones wait for.
func (s *Scheduler) dispatch(now time.Time, sv *server) {
	if s.servers[sv.announcement.Name] != sv {
		return
	}
	for sv.acceptsJobs && s.isReportFresh(now, sv) && len(sv.inFlight) < sv.batchSize() {
		it, ok := sv.queue.Next(func(j *job) bool { return s.isReady(now, sv, j) })
		if !ok {
			break
		}
		s.send(now, sv, it.Value)
	}
	s.arrangeLoads(now, sv)
}

func (s *Scheduler) isReady(now time.Time, sv *server, j *job) bool {
	if !sv.canServe(j.Target) && !s.disabled.residency {
		return false
	}
	if j.runsLong && s.cfg.enabled(PartLongShare) && sv.longInFlight >= s.maxLong(sv) {
		return false
	}
	if s.disabled.suspectIsolation || j.Digest == (quarantiner.Digest{}) {
		return true
	}
	if s.standing(now, j) == quarantiner.Suspect {
		return sv.suspectsInFlight == 0 && s.copies.inFlight[j.Digest] == 0
	}
	return s.copies.maySend(j)
}

func (s *Scheduler) maxLong(sv *server) int {
	return max(int(s.cfg.LongShare*float64(sv.batchSize())), 1)
}

func (s *Scheduler) send(now time.Time, sv *server, j *job) {
	j.sent, j.sentAt, j.lastProgressAt = true, now, now
	sv.inFlight[j.Attempt] = j
	sv.slots.Pin(j.Target)
	if j.runsLong {
		sv.longInFlight++
	}
	if j.isolated = s.standing(now, j) == quarantiner.Suspect; j.isolated {
		sv.suspectsInFlight++
	}
	s.copies.add(j.Server, j.Digest)
	s.emit(Send{Job: j.Job, Epoch: sv.epoch, KnownSafe: !j.isolated && s.copies.isKnownSafe(j.Digest)})
}

// removeSent removes a sent job from its server.
func (s *Scheduler) removeSent(sv *server, j *job) {
	delete(sv.inFlight, j.Attempt)
	delete(s.jobs, j.Attempt)
	s.ended.add(j.Attempt)
	sv.slots.Unpin(j.Target)
	if j.runsLong {
		sv.longInFlight--
	}
	if j.isolated {
		sv.suspectsInFlight--
	}
	s.copies.remove(j.Server, j.Digest)
}

// refuse ends a job that was never sent.
func (s *Scheduler) refuse(_ time.Time, j *job, reason Reason, wait time.Duration) {
	delete(s.jobs, j.Attempt)
	s.ended.add(j.Attempt)
	s.emit(Refuse{Attempt: j.Attempt, Reason: reason, RetryAfter: wait})
}

func (s *Scheduler) cancelAttempt(now time.Time, a retrier.Attempt) {
	j := s.jobs[a]
	if j == nil || j.cancelled {
		return
	}
	sv := s.servers[j.Server]
	j.cancelled = true
	if !j.sent {
		sv.queue.Remove(j)
		s.refuse(now, j, ReasonCancelled, 0)
		s.dispatch(now, sv)
		return
	}
	s.cancel(now, j)
}

func (s *Scheduler) cancel(now time.Time, j *job) {
	j.cancelSentAt = now
	s.emit(Cancel{Attempt: j.Attempt, Server: j.Server})
}

func (s *Scheduler) recordProgress(now time.Time, ev Progress) {
	j := s.jobs[ev.Attempt]
	if j == nil || !j.sent || ev.Tokens <= j.tokens {
		return
	}
	sv := s.servers[j.Server]
	if j.firstTokenAt.IsZero() {
		j.firstTokenAt = now
		took := now.Sub(j.sentAt)
		sv.firstTokenTime.add(took.Seconds())
		s.stragglers.Observe(now, j.Server, detector.TimeToFirst, took)
	} else {
		gap := now.Sub(j.lastProgressAt) / time.Duration(ev.Tokens-j.tokens)
		sv.tokenGap.add(gap.Seconds())
		s.stragglers.Observe(now, j.Server, detector.TokenGap, gap)
	}
	j.tokens, j.lastProgressAt = ev.Tokens, now
	if !j.runsLong && j.tokens >= s.cfg.LongTokens {
		j.runsLong = true
		sv.longInFlight++
	}
}

func (s *Scheduler) attemptEnded(now time.Time, ev Ended) {
	j := s.jobs[ev.Attempt]
	if j == nil || !j.sent {
		return
	}
	sv := s.servers[j.Server]
	if ev.OK {
		s.observeRunTime(now, sv, j, max(ev.Tokens, j.tokens))
		s.copies.markSafe(j.Digest)
	}
	s.removeSent(sv, j)
	if ev.AdapterMissing {
		sv.slots.MarkMissing(j.Target)
	}
	if j.isolated && ev.OK {
		s.quarantine.Clear(j.Digest)
		s.emit(ReportCompletion{Attempt: j.Attempt})
	}
	s.dispatch(now, sv)
	s.dropIfIdle(j.Server, sv)
}

func (s *Scheduler) observeRunTime(now time.Time, sv *server, j *job, tokens int) {
	took := now.Sub(j.sentAt)
	if !j.runsLong {
		sv.serviceTime.add(took.Seconds())
	}
	if j.firstTokenAt.IsZero() {
		s.stragglers.Observe(now, j.Server, detector.TimeToFirst, took)
	}
	c := s.class(j.Class)
	c.n++
	weight := max(averageWeight, 1/float64(c.n))
	c.tokens += weight * (float64(tokens) - c.tokens)
	c.seconds += weight * (took.Seconds() - c.seconds)
}

// isLongClass reports whether a class's jobs were observed to be long.
func (s *Scheduler) isLongClass(name string) bool {
	c := s.classes[name]
	return c != nil && c.n > 0 && c.tokens >= float64(s.cfg.LongTokens)
}

// expectedRunTime estimates how long a job runs once it is sent.
func (s *Scheduler) expectedRunTime(sv *server, j *job) time.Duration {
	if c := s.classes[j.Class]; c != nil && c.n > 0 {
		return time.Duration(c.seconds * float64(time.Second))
	}
	return sv.firstTokenTime.duration() + time.Duration(j.MaxTokens)*sv.tokenGap.duration()
}

func (s *Scheduler) standing(now time.Time, j *job) quarantiner.Standing {
	if s.disabled.suspectIsolation {
		return quarantiner.Clear
	}
	return max(j.Standing, s.quarantine.Standing(now, j.Digest))
}

// checkQueued refuses queued jobs that are late or quarantined, promotes waiting ones that must start now and reports deadlines at risk.
func (s *Scheduler) checkQueued(now time.Time, sv *server) {
	for _, j := range sv.queue.Drop(func(it queuedJob) bool {
		return isPast(now, it.Value.FirstTokenBy) || isPast(now, it.Value.Deadline)
	}) {
		s.refuse(now, j, ReasonLate, sv.drainTime())
	}
	for _, j := range sv.queue.Drop(func(it queuedJob) bool { return s.standing(now, it.Value) == quarantiner.Quarantined }) {
		s.refuse(now, j, ReasonQuarantine, 0)
	}
	need := func(j *job) time.Duration { return s.expectedRunTime(sv, j) + startMargin }
	if s.cfg.enabled(PartClasses) {
		sv.queue.Promote(now, need)
	}
	for _, j := range sv.queue.AtRisk(now, func(j *job) time.Duration {
		return need(j) + min(s.cfg.DeadlineAlarmLead, j.Deadline.Sub(j.Arrived)/alarmLeadDivisor)
	}) {
		if !j.Urgent {
			s.emit(DeadlineAtRisk{Attempt: j.Attempt, Class: j.Class, Deadline: j.Deadline})
		}
	}
}

// startMargin is how long before its latest start a waiting job becomes urgent.
const startMargin = 3 * time.Second

// alarmLeadDivisor bounds the alarm's lead to 1/alarmLeadDivisor of the time from arrival to deadline.
const alarmLeadDivisor = 4

// checkInFlight fails attempts without progress, reports slow ones to the detector and repeats unconfirmed cancels.
func (s *Scheduler) checkInFlight(now time.Time, sv *server) {
	for _, a := range sortedAttempts(sv.inFlight) {
		j := sv.inFlight[a]
		switch {
		case j.failed || j.cancelled:
			if now.Sub(j.cancelSentAt) >= s.cfg.CancelRetryInterval {
				s.cancel(now, j)
			}
		case detector.Stalled(now, j.lastProgressAt, s.progressTimeout(sv, j)):
			j.failed = true
			s.emit(Fail{Attempt: a})
			s.cancel(now, j)
		case j.firstTokenAt.IsZero():
			s.stragglers.ObservePending(now, j.Server, detector.TimeToFirst, now.Sub(j.sentAt))
		default:
			s.stragglers.ObservePending(now, j.Server, detector.TokenGap, now.Sub(j.lastProgressAt)/maxTokensPerProgress)
		}
	}
}

// maxTokensPerProgress is the largest number of tokens in one progress report.
const maxTokensPerProgress = 8

func (s *Scheduler) progressTimeout(sv *server, j *job) time.Duration {
	switch {
	case !sv.isModel():
		return s.cfg.PlainServiceTimeout
	case j.firstTokenAt.IsZero():
		return s.cfg.FirstTokenTimeout
	}
	return s.cfg.TokenGapTimeout
}

func isPast(now, t time.Time) bool { return !t.IsZero() && !now.Before(t) }
