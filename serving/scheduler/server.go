package scheduler

import (
	"slices"
	"strings"
	"time"

	"redwingstage.org/serving/admitter"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/placer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
)

type queuedJob = admitter.Item[*job]

// server is the state of one owned backend server.
type server struct {
	announcement registrar.Server
	epoch        uint64
	ordersFrom   time.Time
	// reportRequestedAt is when the server's last report was requested.
	reportRequestedAt time.Time
	// hasLease means that orders may be sent; acceptsJobs that new work is accepted.
	hasLease         bool
	acceptsJobs      bool
	slots            *placer.Slots
	queue            *admitter.Queue[*job]
	inFlight         map[retrier.Attempt]*job
	longInFlight     int
	suspectsInFlight int
	pendingLoads     []*pendingLoad
	loadingPermits   map[configurer.Target]registrar.Permit
	cooldownUntil    map[configurer.Target]time.Time
	serviceTime      average
	firstTokenTime   average
	tokenGap         average
}

// average is an exponentially weighted mean of seconds.
type average struct {
	value float64
	known bool
}

// averageWeight is the weight of a new value in an average.
const averageWeight = 0.1

func (a *average) add(v float64) {
	if !a.known {
		a.value, a.known = v, true
		return
	}
	a.value += averageWeight * (v - a.value)
}

func (a *average) duration() time.Duration { return time.Duration(a.value * float64(time.Second)) }

func (sv *server) batchSize() int { return max(sv.announcement.Batch, 1) }

func (sv *server) isModel() bool { return sv.announcement.Kind == configurer.KindModel }

// residents returns the number of adapters that can serve or are being unloaded.
func (sv *server) residents() int {
	return sv.slots.Count(placer.Resident) + sv.slots.Count(placer.Unloading)
}

// canServe reports whether the server can serve the target now.
func (sv *server) canServe(t configurer.Target) bool {
	return t.Adapter == "" || sv.slots.CanServe(t)
}

func (sv *server) mayOrder(now time.Time) bool {
	return sv.hasLease && !now.Before(sv.ordersFrom) && sv.isModel()
}

// isReportFresh reports whether the server's last report is recent enough to send it work, which bounds how long a server
// whose announced leave was lost gets new work.
func (s *Scheduler) isReportFresh(now time.Time, sv *server) bool {
	return now.Sub(sv.reportRequestedAt) <= s.cfg.MaxReportAge || s.disabled.reportAge
}

// recordReport records when the last report was requested; reports may arrive out of order.
func (sv *server) recordReport(requestedAt time.Time) {
	if requestedAt.After(sv.reportRequestedAt) {
		sv.reportRequestedAt = requestedAt
	}
}

// addOrUpdateServer adds a server or applies its new announcement.
func (s *Scheduler) addOrUpdateServer(now time.Time, ev Owned) {
	name := ev.Server.Name
	sv := s.servers[name]
	if sv != nil && ev.Epoch < sv.epoch {
		return
	}
	if sv != nil && sv.announcement.Incarnation != ev.Server.Incarnation && !s.disabled.incarnations {
		s.serverEnded(now, name, len(sv.inFlight) > 0, nil)
		sv = nil
	}
	isNewEpoch := sv == nil || sv.epoch != ev.Epoch
	if sv == nil {
		sv = &server{
			slots:          placer.New(ev.Server.Slots, s.cfg.victimRule()),
			queue:          admitter.New[*job](s.cfg.Queue),
			inFlight:       make(map[retrier.Attempt]*job),
			loadingPermits: make(map[configurer.Target]registrar.Permit),
			cooldownUntil:  make(map[configurer.Target]time.Time),
		}
		if s.disabled.pins {
			sv.slots.IgnorePins()
		}
		s.servers[name] = sv
	}
	sv.announcement = ev.Server
	sv.recordReport(ev.RequestedAt)
	sv.slots.Resize(ev.Server.Slots)
	if isNewEpoch {
		pinned := ev.Pinned
		if s.disabled.inheritedPins {
			pinned = nil
		}
		s.releasePermits(sv)
		sv.slots.Reset(now, ev.Residents, pinned)
		sv.epoch, sv.ordersFrom = ev.Epoch, ev.OrdersFrom
	}
	sv.hasLease, sv.acceptsJobs = true, !ev.Server.Leaving || s.disabled.leaving
	if !sv.acceptsJobs {
		s.refuseAll(now, sv, ReasonLeaving)
	}
	s.dispatch(now, sv)
}

// releaseServer stops new work on a server that is handed over; sent jobs run on.
func (s *Scheduler) releaseServer(now time.Time, name string) {
	sv := s.servers[name]
	if sv == nil {
		return
	}
	sv.acceptsJobs, sv.hasLease = false, false
	s.refuseAll(now, sv, ReasonLeaving)
	s.releasePermits(sv)
	s.dropIfIdle(name, sv)
}

func (s *Scheduler) leaseLost(now time.Time) {
	if s.disabled.lease {
		return
	}
	for _, name := range s.serverNames() {
		sv := s.servers[name]
		sv.hasLease = false
		s.releasePermits(sv)
		s.dispatch(now, sv)
	}
}

// serverEnded ends all jobs and loads of a server that crashed or restarted.
func (s *Scheduler) serverEnded(now time.Time, name string, crashed bool, unwritten []retrier.Attempt) {
	sv := s.servers[name]
	if sv == nil {
		return
	}
	attempts := sortedAttempts(sv.inFlight)
	written := slices.DeleteFunc(slices.Clone(attempts), func(a retrier.Attempt) bool { return slices.Contains(unwritten, a) })
	if crashed && len(written) > 0 {
		digests := make([]quarantiner.Digest, 0, len(written))
		for _, a := range written {
			if d := sv.inFlight[a].Digest; d != (quarantiner.Digest{}) {
				digests = append(digests, d)
				s.copies.clearSafe(d)
			}
		}
		s.quarantine.ReportCrash(now, name+"/"+sv.announcement.Incarnation, digests)
		s.emit(ReportCrash{Server: name, Attempts: written})
	}
	for _, a := range attempts {
		j := sv.inFlight[a]
		if !j.failed {
			s.emit(Fail{Attempt: a, Crashed: crashed})
		}
		s.removeSent(sv, j)
	}
	s.refuseAll(now, sv, ReasonLeaving)
	s.releasePermits(sv)
	for _, t := range sortedTargets(sv.loadingPermits) {
		s.emit(ReturnPermit{Permit: sv.loadingPermits[t], Used: true})
	}
	delete(s.servers, name)
	s.stragglers.Forget(name)
	for _, other := range s.serverNames() {
		s.checkQueued(now, s.servers[other])
		s.dispatch(now, s.servers[other])
	}
}

func (s *Scheduler) refuseAll(now time.Time, sv *server, reason Reason) {
	for _, j := range sv.queue.Drop(func(queuedJob) bool { return true }) {
		s.refuse(now, j, reason, 0)
	}
}

// dropIfIdle drops a released server without jobs or orders in flight.
func (s *Scheduler) dropIfIdle(name string, sv *server) {
	if !sv.hasLease && !sv.acceptsJobs && len(sv.inFlight) == 0 && len(sv.loadingPermits) == 0 && s.servers[name] == sv && s.HasNoUnloadsInFlight(name) {
		delete(s.servers, name)
		s.stragglers.Forget(name)
	}
}

func sortedAttempts(m map[retrier.Attempt]*job) []retrier.Attempt {
	jobs := make([]*job, 0, len(m))
	for _, j := range m {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.seq) - int(b.seq) })
	out := make([]retrier.Attempt, len(jobs))
	for i, j := range jobs {
		out[i] = j.Attempt
	}
	return out
}

func sortedTargets(m map[configurer.Target]registrar.Permit) []configurer.Target {
	out := make([]configurer.Target, 0, len(m))
	for t := range m {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b configurer.Target) int { return strings.Compare(a.String(), b.String()) })
	return out
}
