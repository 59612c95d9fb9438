package governor

import (
	"context"
	"fmt"
	"slices"
	"time"

	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
)

const (
	// StreamHorizon is the longest time between the first event of a stream and its end, over all attempts of its caller.
	StreamHorizon = 30 * time.Second
	// maxStreamStarts bounds the starts of streams that a replica keeps for one horizon.
	maxStreamStarts = 1 << 16
	// questionTimeout is how long a relay keeps a question that the leader hasn't answered; entries wait less.
	questionTimeout = time.Second
	// startsCompleteAfter is how long after a change of leader relays may take to report the starts that they know.
	startsCompleteAfter = time.Second
	// maxSoftwares bounds the software versions in the log, since any writer of heartbeats may name new ones.
	maxSoftwares = 512
	// travelTime is above the time between a decision of the leader and its effect at an entry that has contact.
	travelTime = 200 * time.Millisecond
	// retireEvery is how often the leader checks which software versions have no server.
	retireEvery = time.Second
)

// relayStreams are the starts of streams that a relay's entries reported, and the entries' questions for others.
type relayStreams struct {
	index *resumer.Index
	// unsent and questions aren't sent to the leader yet.
	unsent    []StreamStart
	questions []string
	// asking are the sessions that wait for an answer, by attempt.
	asking map[string]*question
}

// question is an entry's question that the leader hasn't answered.
type question struct {
	at       time.Time
	sessions []*session
}

func newRelayStreams() relayStreams {
	return relayStreams{index: resumer.NewIndex(StreamHorizon, maxStreamStarts), asking: make(map[string]*question)}
}

// reportAll makes all starts due for a new leader, and the questions too.
func (r *relayStreams) reportAll() {
	r.unsent, r.questions = nil, nil
	for id, s := range r.index.All(time.Now()) {
		r.unsent = append(r.unsent, StreamStart{id, s.Service, s.Software})
	}
	for id := range r.asking {
		r.questions = append(r.questions, id)
	}
}

// receiveStreams applies what an entry's message says of streams.
func (r *relay) receiveStreams(now time.Time, s *session, up UpMessage) {
	for _, v := range up.Starts {
		if r.streams.index.Add(now, v.Attempt, resumer.Start{Service: v.Service, Software: v.Software}) && r.upstream != nil {
			r.streams.unsent = append(r.streams.unsent, v)
		}
	}
	var answers []StreamStart
	for _, id := range up.Questions {
		switch start, known := r.streams.index.Get(now, id); {
		case known:
			answers = append(answers, StreamStart{id, start.Service, start.Software})
		case len(r.streams.asking) < maxPendingRequests:
			r.ask(now, s, id)
		}
	}
	if len(answers) > 0 {
		r.send(s, DownMessage{Starts: answers}, "starts")
	}
}

// ask makes a question of an entry due for the leader, or for the next one.
func (r *relay) ask(now time.Time, s *session, id string) {
	q := r.streams.asking[id]
	if q == nil {
		q = &question{at: now}
		r.streams.asking[id] = q
		r.streams.questions = append(r.streams.questions, id)
	}
	q.sessions = append(q.sessions, s)
}

// answer passes the leader's answers on to the entries that asked.
func (r *relay) answer(now time.Time, list []StreamStart) {
	for _, v := range list {
		if v.Service != "" {
			r.streams.index.Add(now, v.Attempt, resumer.Start{Service: v.Service, Software: v.Software})
		}
		q := r.streams.asking[v.Attempt]
		if q == nil {
			continue
		}
		delete(r.streams.asking, v.Attempt)
		for _, s := range q.sessions {
			if r.sessions[s] {
				r.send(s, DownMessage{Starts: []StreamStart{v}}, "starts")
			}
		}
	}
}

// forgetQuestions drops the questions that were asked too long ago.
func (r *relay) forgetQuestions(now time.Time) {
	for id, q := range r.streams.asking {
		if now.Sub(q.at) > questionTimeout {
			delete(r.streams.asking, id)
		}
	}
}

// leaderStreams are the starts of streams that relays reported to a leader, and the software versions that retire.
type leaderStreams struct {
	index      *resumer.Index
	retirement *resumer.Retirement
	checkedAt  time.Time
	retiring   bool
	// recording is set while versions are recorded that some replica's state lacks.
	recording bool
	// softwareSince is when each software version came up, zero for those of before this leader.
	softwareSince map[resumer.Version]time.Time
}

// newLeaderStreams returns the streams of a leader that begins with software versions.
func newLeaderStreams(softwares []resumer.Version) *leaderStreams {
	l := &leaderStreams{
		index: resumer.NewIndex(StreamHorizon, maxStreamStarts), retirement: resumer.NewRetirement(), softwareSince: make(map[resumer.Version]time.Time),
	}
	for _, v := range softwares {
		l.softwareSince[v] = time.Time{}
	}
	return l
}

// applyStreams applies what a relay's report says of streams.
func (h *hub) applyStreams(now time.Time, s *session, up UpMessage) {
	for _, v := range up.Starts {
		h.streams.index.Add(now, v.Attempt, resumer.Start{Service: v.Service, Software: v.Software})
	}
	softwares := h.membership.state().Softwares
	h.recordLacking(slices.DeleteFunc(up.Lacking, func(v resumer.Version) bool { return !slices.Contains(softwares, v) }))
	if len(up.Questions) == 0 {
		return
	}
	answers := make([]StreamStart, 0, len(up.Questions))
	for _, id := range up.Questions {
		start, known := h.streams.index.Get(now, id)
		if known || now.Sub(h.leader.startedAt) >= startsCompleteAfter {
			answers = append(answers, StreamStart{id, start.Service, start.Software})
		}
	}
	if len(answers) == 0 {
		return
	}
	if s == h.ownSession {
		h.relay.answer(now, answers)
		return
	}
	h.send(s, DownMessage{Starts: answers})
}

// retireSoftware proposes to the log that a software version has no stream any more, once its servers have been gone for long enough.
func (h *hub) retireSoftware(now time.Time) {
	if h.streams.retiring || now.Sub(h.streams.checkedAt) < retireEvery {
		return
	}
	h.streams.checkedAt = now
	listed := make(map[resumer.Version]bool)
	for _, in := range h.leader.engines.Instances() {
		listed[resumer.Version{Service: in.Service, Software: in.Software}] = true
	}
	v, due := h.streams.retirement.Due(now, h.streamHorizon(), h.membership.state().Softwares, listed)
	if !due {
		return
	}
	streams := h.streams
	streams.retiring = true
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		_, err := h.membership.propose(ctx, command{Retired: &v})
		if err != nil {
			h.log.Error("retire a software version", err)
		}
		h.post(func(time.Time) { streams.retiring = false })
	})
}

// lackingSoftwares returns the software versions that a leader has named and this replica's state lacks. A build that doesn't know
// them drops them from the state, which stays in use when the machine is upgraded in place.
func (h *hub) lackingSoftwares() []resumer.Version {
	softwares := h.membership.state().Softwares
	return slices.DeleteFunc(slices.Clone(h.relay.view.softwares), func(v resumer.Version) bool { return slices.Contains(softwares, v) })
}

// reportLacking reports to the leader what this replica's state has lacked for two checks: the leader's message may come before the
// commit is applied here.
func (h *hub) reportLacking(now time.Time) {
	if h.relay.upstream == nil || now.Sub(h.lackingAt) < retireEvery {
		return
	}
	old := h.lacking
	h.lacking, h.lackingAt = h.lackingSoftwares(), now
	if both := slices.DeleteFunc(slices.Clone(h.lacking), func(v resumer.Version) bool { return !slices.Contains(old, v) }); len(both) > 0 {
		h.relay.upstream(UpMessage{Lacking: both})
	}
}

// recordLacking proposes software versions again that some replica's state lacks.
func (h *hub) recordLacking(list []resumer.Version) {
	if len(list) == 0 || h.streams.recording {
		return
	}
	streams := h.streams
	streams.recording = true
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, proposeTimeout)
		defer cancel()
		for _, v := range list {
			if _, err := h.membership.propose(ctx, command{Software: &v}); err != nil {
				h.log.Error("record software versions again", err)
				break
			}
			h.log.Software(v.Service, v.Software)
		}
		h.post(func(time.Time) { streams.recording = false })
	})
}

// streamHorizon returns the longest time for which a stream of any route goes on.
func (h *hub) streamHorizon() time.Duration {
	if h.table == nil {
		return StreamHorizon
	}
	return max(StreamHorizon, h.table.LongestTimeout())
}

// recordSoftware commits that servers of a software version may begin streams, before entries hear of the first one.
func (g *Governor) recordSoftware(ctx context.Context, v resumer.Version) error {
	softwares := g.membership.state().Softwares
	if _, ok := slices.BinarySearchFunc(softwares, v, resumer.Version.Compare); ok {
		return nil
	}
	if len(softwares) >= maxSoftwares {
		return &InputError{Place: "version", Reason: fmt.Sprintf("%d software versions are in use, no more are taken", len(softwares))}
	}
	if err := g.propose(ctx, command{Software: &v}); err != nil {
		return err
	}
	g.log.Software(v.Service, v.Software)
	return nil
}

// holdTime is how long the first servers of a service's further software version aren't listed: an entry that doesn't know the version
// takes itself for up to date for no longer, and must not hold the only version that it knows for that of all streams.
func (cfg Config) holdTime() time.Duration {
	apply := cfg.ApplyTime
	if apply == 0 {
		apply = DefaultApplyTime
	}
	return StaleAfter(apply) + travelTime
}

// announce records a server's announcement, and holds the server back from entries if its software version is too new.
func (h *hub) announce(now time.Time, in tracker.Instance) {
	if h.leader == nil {
		return
	}
	h.noteSoftwares(now)
	if old, ok := h.leader.engines.Instance(in.Key.ID); !ok || old.Key.StartedMS < in.Key.StartedMS {
		if h.isHeld(now, in) {
			h.leader.held[in.Key.ID] = true
		}
	}
	h.leader.announce(now, in)
}

// releaseServers lists the servers that are held no longer.
func (h *hub) releaseServers(now time.Time) {
	for id := range h.leader.held {
		if in, ok := h.leader.engines.Instance(id); ok && h.isHeld(now, in) {
			continue
		}
		delete(h.leader.held, id)
		h.leader.changedServers[id], h.leader.fullResidentsDue[id] = true, true
	}
}

// noteSoftwares records when software versions came up.
func (h *hub) noteSoftwares(now time.Time) {
	for _, v := range h.membership.state().Softwares {
		if _, ok := h.streams.softwareSince[v]; !ok {
			h.streams.softwareSince[v] = now
		}
	}
}

// isHeld reports whether a server must not be listed yet since its software version is too new. No server is held whose service has no streams
// that may be resumed, or no other server.
func (h *hub) isHeld(now time.Time, in tracker.Instance) bool {
	v := resumer.Version{Service: in.Service, Software: in.Software}
	isFurther := slices.ContainsFunc(h.membership.state().Softwares, func(o resumer.Version) bool { return o.Service == v.Service && o != v })
	if !isFurther || now.Sub(h.streams.softwareSince[v]) >= h.cfg.holdTime() || h.table == nil || !h.table.Resumes(in.Service) {
		return false
	}
	return slices.ContainsFunc(h.leader.engines.Instances(), func(o tracker.Instance) bool {
		return o.Service == in.Service && o.Key.ID != in.Key.ID && !o.Leaving && !h.leader.held[o.Key.ID]
	})
}

// newSoftwares returns the current software versions if they changed.
func newSoftwares(old, current []resumer.Version) []resumer.Version {
	if isSameList(old, current) {
		return nil
	}
	return current
}
