package owner

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/coord/waiter"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
)

// ownedServer is a backend server that this entry owns.
type ownedServer struct {
	server registrar.Server
	owner  registrar.Owner
	// listed is the server as last listed in the roster, which may lag behind its own report.
	listed registrar.Server
	// announced is the last announcement reported to the scheduler.
	announced    registrar.Server
	since        time.Time
	ordersFrom   time.Time
	adopted      bool
	polling      bool
	warnedSilent bool
	nextPoll     time.Time
	reportedAt   time.Time
	dead         bool
	// pinned are the adapters that requests of the previous owner may still use.
	pinned []configurer.Target
}

// sync updates the owned servers from the roster.
func (o *Owner) sync(now time.Time) {
	o.syncedAt = now
	roster := o.Control.Roster()
	if roster == nil {
		return
	}
	o.updateStandings()
	if c := o.Control.Catalog(); c != nil {
		o.Meter.SetRevisions(c.Revision(), roster.Revision())
	}
	inRoster := make(map[string]bool)
	for _, s := range roster.Owned(o.id.Entry) {
		owner, _ := roster.Owner(s.Name)
		inRoster[s.Name] = true
		o.updateServer(s, owner, now)
	}
	for name, srv := range o.owned {
		if !inRoster[name] {
			o.release(srv)
		}
	}
}

// updateStandings reports standings to the scheduler that changed while requests were queued or running.
func (o *Owner) updateStandings() {
	o.syncSuspects()
	for _, j := range o.jobs {
		if standing := o.Control.Standing(j.req.Digest); standing != j.standing {
			j.standing = standing
			o.handleEvent(scheduler.StandingChanged{Digest: j.req.Digest, Standing: standing})
		}
	}
}

// syncSuspects reports digests to the scheduler that are no longer suspect, so that it clears its own suspicions.
func (o *Owner) syncSuspects() {
	for d, wasSuspect := range o.reportedSuspects {
		switch standing := o.Control.Standing(d); {
		case standing == quarantiner.Suspect:
			o.reportedSuspects[d] = true
		case standing == quarantiner.Quarantined:
			delete(o.reportedSuspects, d)
		case wasSuspect:
			delete(o.reportedSuspects, d)
			o.handleEvent(scheduler.StandingChanged{Digest: d, Standing: quarantiner.Clear})
		}
	}
}

// updateServer adds a server or updates its announcement; the scheduler gets it after the server's next report.
func (o *Owner) updateServer(s registrar.Server, owner registrar.Owner, now time.Time) {
	if o.draining || !waiter.IsBefore(now, o.Control.LeaseEnd()) {
		return
	}
	srv := o.owned[s.Name]
	if srv != nil && srv.owner.Epoch > owner.Epoch {
		return
	}
	if srv == nil || srv.owner.Epoch != owner.Epoch {
		srv = &ownedServer{server: s, listed: s, owner: owner, since: now, ordersFrom: now, reportedAt: now}
		if !owner.Clean {
			srv.ordersFrom = now.Add(owner.OrderAfter)
		}
		o.owned[s.Name] = srv
		o.poll(srv)
		return
	}
	if srv.listed == s {
		return
	}
	if s.Incarnation == srv.listed.Incarnation {
		// The server may have reported a restart that the roster doesn't list yet; don't count it twice.
		s.Incarnation = srv.server.Incarnation
		srv.listed = s
	}
	srv.listed = s
	if s.Incarnation != srv.server.Incarnation && srv.adopted {
		o.markEnded(srv, true)
	}
	leaving := srv.server.Leaving || s.Leaving
	srv.server = s
	srv.server.Leaving = leaving && s.Incarnation == srv.announced.Incarnation || s.Leaving
	o.poll(srv)
}

// readopt reports the servers owned before the lease ended to the scheduler again, so that it resumes orders.
func (o *Owner) readopt(now time.Time) {
	o.sync(now)
	for _, srv := range o.owned {
		srv.announced = registrar.Server{}
		o.poll(srv)
	}
}

func (o *Owner) release(srv *ownedServer) {
	delete(o.owned, srv.server.Name)
	o.handleEvent(scheduler.Released{Server: srv.server.Name})
	o.Log.Info("released backend server", srv.server.Name)
}

// handover releases a server and pins the adapters that its open requests still use.
func (o *Owner) handover(srv *ownedServer) {
	var pinned []configurer.Target
	for _, j := range o.jobs {
		if j.server.Name == srv.server.Name && j.sent && !slices.Contains(pinned, j.req.Target) {
			pinned = append(pinned, j.req.Target)
		}
	}
	o.release(srv)
	o.handovers[srv.server.Name] = &pendingHandover{pinned: pinned, since: time.Now()}
}

// pendingHandover is a server that this entry has released, but whose release isn't yet known to the control leader.
type pendingHandover struct {
	pinned   []configurer.Target
	since    time.Time
	reported bool
}

// finishHandovers reports servers without unload orders in flight to the control leader; a new owner could otherwise
// serve on an adapter that the old order then evicts. After handoverTimeout the server changes owner when the lease ends.
func (o *Owner) finishHandovers(now time.Time) {
	for name, h := range o.handovers {
		switch {
		case h.reported:
		case o.Decider.HasNoUnloadsInFlight(name):
			h.reported = true
			o.reportRelease(name, h.pinned)
		case now.Sub(h.since) > handoverTimeout:
			delete(o.handovers, name)
			o.Log.Warn("hand-over timed out, the server changes owner when the lease ends", name)
		}
	}
}

func (o *Owner) reportRelease(name string, pinned []configurer.Target) {
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, reportTimeout)
		defer cancel()
		if err := o.Control.ReleaseServer(ctx, name, pinned); err != nil {
			o.Log.Error("handing over "+name+" failed", err)
		}
		o.post(func() {
			delete(o.handovers, name)
			o.checkDrained()
		})
	})
}

// poll requests the server's report in the background.
func (o *Owner) poll(srv *ownedServer) {
	polledAt := time.Now()
	srv.nextPoll = polledAt.Add(pollInterval)
	if srv.polling {
		return
	}
	srv.polling = true
	name, addr := srv.server.Name, srv.server.Addr
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, pollTimeout)
		defer cancel()
		report, err := o.Sender.Poll(ctx, addr, o.newAttempt().String())
		o.post(func() {
			srv.polling = false
			if o.owned[name] == srv {
				o.handleReport(srv, report, err, polledAt)
			}
		})
	})
}

// handleReport handles the result of a poll that began at polledAt.
func (o *Owner) handleReport(srv *ownedServer, report sender.Report, err error, polledAt time.Time) {
	now := time.Now()
	if err != nil {
		o.handleNoAnswer(srv, err, now)
		return
	}
	srv.reportedAt, srv.dead, srv.warnedSilent = now, false, false
	if report.Incarnation != srv.server.Incarnation {
		if srv.adopted {
			o.markEnded(srv, true)
		}
		srv.server.Incarnation = report.Incarnation
	}
	srv.server.Leaving = srv.server.Leaving || report.Leaving
	if !srv.adopted || srv.announced != srv.server {
		o.adopt(srv, report, polledAt)
	}
	o.unpin(srv, report, now)
	o.handleEvent(scheduler.Reported{
		Server: srv.server.Name, RequestedAt: polledAt, Running: report.Running, Waiting: report.Waiting,
		Residents: parseTargets(report.Resident, srv.server.Service),
	})
	o.Meter.SetBatchFill(srv.server.Name, report.Running, srv.server.Batch)
}

// handleNoAnswer distinguishes a process that has ended from one that is only unresponsive.
func (o *Owner) handleNoAnswer(srv *ownedServer, err error, now time.Time) {
	var notListening *sender.NotListeningError
	switch {
	case errors.As(err, &notListening) && !srv.dead:
		srv.dead = true
		o.markEnded(srv, true)
	case now.Sub(srv.reportedAt) > silenceTimeout && srv.adopted:
		o.markEnded(srv, false)
	case now.Sub(srv.reportedAt) > scheduler.DefaultMaxReportAge && !srv.warnedSilent:
		srv.warnedSilent = true
		o.Log.Warn("backend server answers no polls and gets nothing new", srv.server.Name)
	}
}

// markEnded ends the requests that run on an owned server that ended, restarted or went silent.
func (o *Owner) markEnded(srv *ownedServer, crashed bool) {
	srv.adopted, srv.pinned = false, nil
	o.reportServerEnd(srv.server, crashed)
}

// reportServerEnd reports to the scheduler that a server's process ended or went silent.
func (o *Owner) reportServerEnd(s registrar.Server, crashed bool) {
	o.Sender.CloseIdle(s.Addr)
	o.Log.Warn("backend server ended, restarted or went silent", s.Name)
	o.reportingServerEnd = true
	o.handleEvent(scheduler.ServerEnded{Server: s.Name, Crashed: crashed, NotWritten: o.unwritten(s.Name)})
	o.reportingServerEnd = false
}

// unwritten lists the attempts that the scheduler sent to a server, but that still wait for a claim or a record.
func (o *Owner) unwritten(server string) []retrier.Attempt {
	var list []retrier.Attempt
	for a, j := range o.jobs {
		if j.server.Name == server && j.sent && !j.written.Load() {
			list = append(list, a)
		}
	}
	return list
}

// adopt reports a server to the scheduler, with the adapters that its report lists as resident.
func (o *Owner) adopt(srv *ownedServer, report sender.Report, polledAt time.Time) {
	first := !srv.adopted
	srv.adopted, srv.announced = true, srv.server
	residents := parseTargets(report.Resident, srv.server.Service)
	if first && srv.owner.Clean {
		srv.pinned = slices.Clone(srv.owner.Pinned)
	} else if first {
		srv.pinned = slices.Clone(residents)
	}
	// The scheduler ends the jobs that ran in an earlier incarnation.
	o.reportingServerEnd = true
	o.handleEvent(scheduler.Owned{
		Server: srv.server, Epoch: srv.owner.Epoch, RequestedAt: polledAt, Residents: residents, Pinned: slices.Clone(srv.pinned), OrdersFrom: srv.ordersFrom,
	})
	o.reportingServerEnd = false
	o.Log.Info("owns backend server", srv.server.Name)
}

// unpin releases inherited adapters once the server reports them idle and no previous owner can still send.
func (o *Owner) unpin(srv *ownedServer, report sender.Report, now time.Time) {
	if len(srv.pinned) == 0 || !srv.owner.Clean && now.Before(srv.ordersFrom.Add(o.isolationLimit)) {
		return
	}
	serving := parseTargets(report.Serving, srv.server.Service)
	inUse := srv.pinned[:0]
	for _, t := range srv.pinned {
		if slices.Contains(serving, t) {
			inUse = append(inUse, t)
			continue
		}
		o.handleEvent(scheduler.InheritedPinEnded{Server: srv.server.Name, Target: t})
	}
	srv.pinned = inUse
}

func parseTargets(names []string, service string) []configurer.Target {
	targets := make([]configurer.Target, 0, len(names))
	for _, name := range names {
		adapter, version, ok := strings.Cut(name, "@")
		n, err := strconv.Atoi(version)
		if !ok || err != nil {
			continue
		}
		targets = append(targets, configurer.Target{Service: service, Adapter: adapter, Version: n})
	}
	return targets
}
