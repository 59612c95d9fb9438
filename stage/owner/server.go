package owner

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/registrar"
	"redwingstage.org/serving/retrier"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/sender"
)

// held is a backend server that this entry owns.
type held struct {
	server registrar.Server
	owner  registrar.Owner
	// listed is the server as last listed in the roster, which may lag behind its own report.
	listed registrar.Server
	// announced is the last announcement reported to the scheduler.
	announced registrar.Server
	since     time.Time
	orderAt   time.Time
	adopted   bool
	polling   bool
	warned    bool
	nextPoll  time.Time
	answered  time.Time
	dead      bool
	// pinned are the adapters that requests of the previous owner may still use.
	pinned []configurer.Target
}

// sync updates the owned servers from the roster.
func (o *Owner) sync(now time.Time) {
	o.synced = now
	roster := o.Control.Roster()
	if roster == nil {
		return
	}
	o.rejudge()
	if c := o.Control.Catalog(); c != nil {
		o.Meter.Revision(c.Revision(), roster.Revision())
	}
	owned := make(map[string]bool)
	for _, s := range roster.Owned(o.id.Entry) {
		owner, _ := roster.Owner(s.Name)
		owned[s.Name] = true
		o.claim(s, owner, now)
	}
	for name, h := range o.held {
		if !owned[name] {
			o.release(h)
		}
	}
}

// rejudge reports standings to the scheduler that changed while requests were queued or running.
func (o *Owner) rejudge() {
	o.follow()
	for _, j := range o.jobs {
		if now := o.Control.Standing(j.req.Digest); now != j.standing {
			j.standing = now
			o.handle(scheduler.Judged{Digest: j.req.Digest, Standing: now})
		}
	}
}

// follow reports digests to the scheduler that are no longer suspect, so that it clears its own suspicions.
func (o *Owner) follow() {
	for d, known := range o.accused {
		switch now := o.Control.Standing(d); {
		case now == quarantiner.Suspect:
			o.accused[d] = true
		case now == quarantiner.Convicted:
			delete(o.accused, d)
		case known:
			delete(o.accused, d)
			o.handle(scheduler.Judged{Digest: d, Standing: quarantiner.Clear})
		}
	}
}

// claim adds a server or updates its announcement; the scheduler gets it after the server's next report.
func (o *Owner) claim(s registrar.Server, owner registrar.Owner, now time.Time) {
	if o.closing || !now.Before(o.Control.LeaseEnd()) {
		return
	}
	h := o.held[s.Name]
	if h != nil && h.owner.Epoch > owner.Epoch {
		return
	}
	if h == nil || h.owner.Epoch != owner.Epoch {
		h = &held{server: s, listed: s, owner: owner, since: now, orderAt: now, answered: now}
		if !owner.Clean {
			h.orderAt = now.Add(owner.OrderAfter)
		}
		o.held[s.Name] = h
		o.poll(h)
		return
	}
	if h.listed == s {
		return
	}
	if s.Incarnation == h.listed.Incarnation {
		// The server may have reported a restart that the roster doesn't list yet; don't count it twice.
		s.Incarnation = h.server.Incarnation
		h.listed = s
	}
	h.listed = s
	if s.Incarnation != h.server.Incarnation && h.adopted {
		o.gone(h, true)
	}
	leaving := h.server.Leaving || s.Leaving
	h.server = s
	h.server.Leaving = leaving && s.Incarnation == h.announced.Incarnation || s.Leaving
	o.poll(h)
}

// readopt reports the servers owned before the lease ended to the scheduler again, so that it resumes orders.
func (o *Owner) readopt(now time.Time) {
	o.sync(now)
	for _, h := range o.held {
		h.announced = registrar.Server{}
		o.poll(h)
	}
}

func (o *Owner) release(h *held) {
	delete(o.held, h.server.Name)
	o.handle(scheduler.Released{Server: h.server.Name})
	o.Log.Info("released backend server", h.server.Name)
}

// handover releases a server and pins the adapters that its open requests still use.
func (o *Owner) handover(h *held) {
	var pinned []configurer.Target
	for _, j := range o.jobs {
		if j.server.Name == h.server.Name && j.sent && !slices.Contains(pinned, j.req.Target) {
			pinned = append(pinned, j.req.Target)
		}
	}
	o.release(h)
	o.handing[h.server.Name] = &handing{pinned: pinned, since: time.Now()}
}

// handing is a server that this entry has released, but whose release isn't yet known to the control leader.
type handing struct {
	pinned []configurer.Target
	since  time.Time
	told   bool
}

// finishHandovers reports servers without unload orders in flight to the control leader; a new owner could otherwise
// serve on an adapter that the old order then evicts. After handoverLimit the server changes owner when the lease ends.
func (o *Owner) finishHandovers(now time.Time) {
	for name, h := range o.handing {
		switch {
		case h.told:
		case o.Decider.IsSettled(name):
			h.told = true
			o.tellRelease(name, h.pinned)
		case now.Sub(h.since) > handoverLimit:
			delete(o.handing, name)
			o.Log.Warn("hand-over timed out, the server changes owner when the lease ends", name)
		}
	}
}

func (o *Owner) tellRelease(name string, pinned []configurer.Target) {
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, accuseTimeout)
		defer cancel()
		if err := o.Control.Release(ctx, name, pinned); err != nil {
			o.Log.Error("handing over "+name+" failed", err)
		}
		o.post(func() {
			delete(o.handing, name)
			o.checkDrained()
		})
	})
}

// poll requests the server's report in the background.
func (o *Owner) poll(h *held) {
	asked := time.Now()
	h.nextPoll = asked.Add(pollInterval)
	if h.polling {
		return
	}
	h.polling = true
	name, addr := h.server.Name, h.server.Addr
	o.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, pollTimeout)
		defer cancel()
		report, err := o.Sender.Poll(ctx, addr, o.attempt().String())
		o.post(func() {
			h.polling = false
			if o.held[name] == h {
				o.polled(h, report, err, asked)
			}
		})
	})
}

// polled handles the result of a poll that began at asked.
func (o *Owner) polled(h *held, report sender.Report, err error, asked time.Time) {
	now := time.Now()
	if err != nil {
		o.unanswered(h, err, now)
		return
	}
	h.answered, h.dead, h.warned = now, false, false
	if report.Incarnation != h.server.Incarnation {
		if h.adopted {
			o.gone(h, true)
		}
		h.server.Incarnation = report.Incarnation
	}
	h.server.Leaving = h.server.Leaving || report.Leaving
	if !h.adopted || h.announced != h.server {
		o.adopt(h, report, asked)
	}
	o.unpin(h, report, now)
	o.handle(scheduler.Reported{
		Server: h.server.Name, Asked: asked, Running: report.Running, Waiting: report.Waiting,
		Residents: parseTargets(report.Resident, h.server.Service),
	})
	o.Meter.Fill(h.server.Name, report.Running, h.server.Batch)
}

// unanswered distinguishes a process that has ended from one that is only unresponsive.
func (o *Owner) unanswered(h *held, err error, now time.Time) {
	var dead *sender.DeadError
	switch {
	case errors.As(err, &dead) && !h.dead:
		h.dead = true
		o.gone(h, true)
	case now.Sub(h.answered) > silentLimit && h.adopted:
		o.gone(h, false)
	case now.Sub(h.answered) > scheduler.DefaultMaxReportAge && !h.warned:
		h.warned = true
		o.Log.Warn("backend server does not answer polls, no new requests are sent to it", h.server.Name)
	}
}

// gone ends the requests that run on an owned server that restarted or died.
func (o *Owner) gone(h *held, crashed bool) {
	h.adopted, h.pinned = false, nil
	o.end(h.server, crashed)
}

// end reports to the scheduler that a server's process ended.
func (o *Owner) end(s registrar.Server, crashed bool) {
	o.Sender.Drop(s.Addr)
	o.Log.Warn("backend server is gone or restarted", s.Name)
	o.going = true
	o.handle(scheduler.Gone{Server: s.Name, Crashed: crashed, Unwritten: o.unwritten(s.Name)})
	o.going = false
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
func (o *Owner) adopt(h *held, report sender.Report, asked time.Time) {
	first := !h.adopted
	h.adopted, h.announced = true, h.server
	residents := parseTargets(report.Resident, h.server.Service)
	if first && h.owner.Clean {
		h.pinned = slices.Clone(h.owner.Pinned)
	} else if first {
		h.pinned = slices.Clone(residents)
	}
	// The scheduler ends the jobs that ran in an earlier incarnation.
	o.going = true
	o.handle(scheduler.Owned{
		Server: h.server, Epoch: h.owner.Epoch, Asked: asked, Residents: residents, Pinned: slices.Clone(h.pinned), OrderAt: h.orderAt,
	})
	o.going = false
	o.Log.Info("owns backend server", h.server.Name)
}

// unpin releases inherited adapters once the server reports them idle and no previous owner can still send.
func (o *Owner) unpin(h *held, report sender.Report, now time.Time) {
	if len(h.pinned) == 0 || !h.owner.Clean && now.Before(h.orderAt.Add(o.isolation)) {
		return
	}
	serving := parseTargets(report.Serving, h.server.Service)
	kept := h.pinned[:0]
	for _, t := range h.pinned {
		if slices.Contains(serving, t) {
			kept = append(kept, t)
			continue
		}
		o.handle(scheduler.Unpinned{Server: h.server.Name, Target: t})
	}
	h.pinned = kept
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
