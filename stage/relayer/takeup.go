package relayer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"redwingstage.org/serving/resumer"
	"redwingstage.org/stage/governor"
)

const (
	// maxStreamStarts bounds the starts of streams that an entry remembers for one horizon.
	maxStreamStarts = 1 << 14
	// questionTimeout bounds the wait for the control replica's word of where a stream began.
	questionTimeout = 500 * time.Millisecond
	// maxQuestions bounds the questions that wait at once.
	maxQuestions = 1024
)

// takeUpSource is how the software version was known that began a stream, or why the stream was refused.
type takeUpSource string

const (
	takeUpRemembered takeUpSource = "remembered"
	takeUpOnly       takeUpSource = "only_version"
	takeUpTold       takeUpSource = "told"
	// takeUpElsewhere is a stream of another service than the route has now.
	takeUpElsewhere  takeUpSource = "other_service"
	takeUpUnknown    takeUpSource = "unknown"
	takeUpUnanswered takeUpSource = "unanswered"
	takeUpGone       takeUpSource = "version_gone"
)

// streamStarts knows where streams began: those of this entry, and others from answers of the control replica.
type streamStarts struct {
	mu    sync.Mutex
	index *resumer.Index
	// recorded are the software versions, by service, of which a server may have begun a stream that goes on.
	recorded map[string]map[string]bool
	// questions wait for an answer, by attempt.
	questions map[string]*startQuestion
}

// startQuestion is a question that waits; done is closed once it is answered, and start then has a service if the answer is known.
type startQuestion struct {
	done    chan struct{}
	start   resumer.Start
	waiting int
}

func newStreamStarts() *streamStarts {
	return &streamStarts{
		index: resumer.NewIndex(governor.StreamHorizon, maxStreamStarts), recorded: make(map[string]map[string]bool),
		questions: make(map[string]*startQuestion),
	}
}

func (s *streamStarts) add(now time.Time, attempt string, start resumer.Start) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Add(now, attempt, start)
}

func (s *streamStarts) get(now time.Time, attempt string) (resumer.Start, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Get(now, attempt)
}

// setRecorded sets the complete list of the versions that the log has.
func (s *streamStarts) setRecorded(list []resumer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.recorded)
	for _, v := range list {
		if s.recorded[v.Service] == nil {
			s.recorded[v.Service] = make(map[string]bool)
		}
		s.recorded[v.Service][v.Software] = true
	}
}

// withRecorded adds the versions of a service that the log has to a set.
func (s *streamStarts) withRecorded(service string, set map[string]bool) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for v := range s.recorded[service] {
		if !set[v] {
			set[v] = false
		}
	}
	return set
}

// all returns the starts of the services that have several versions.
func (s *streamStarts) all(now time.Time, hasSeveral func(service string) bool) []governor.StreamStart {
	s.mu.Lock()
	list := s.index.All(now)
	s.mu.Unlock()
	several := make(map[string]bool)
	var out []governor.StreamStart
	for attempt, start := range list {
		v, ok := several[start.Service]
		if !ok {
			v = hasSeveral(start.Service)
			several[start.Service] = v
		}
		if v {
			out = append(out, governor.StreamStart{Attempt: attempt, Service: start.Service, Software: start.Software})
		}
	}
	return out
}

// ask registers a question; isNew is set if it must be sent, ok if there is room for it.
func (s *streamStarts) ask(attempt string) (q *startQuestion, isNew, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q = s.questions[attempt]
	if q == nil {
		if len(s.questions) >= maxQuestions || len(attempt) > resumer.MaxIDBytes {
			return nil, false, false
		}
		q, isNew = &startQuestion{done: make(chan struct{})}, true
		s.questions[attempt] = q
	}
	q.waiting++
	return q, isNew, true
}

// unanswered returns the attempts of the questions that wait.
func (s *streamStarts) unanswered() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.questions))
}

// stopAsking ends the wait of one that asked.
func (s *streamStarts) stopAsking(attempt string, q *startQuestion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.waiting--; q.waiting == 0 && s.questions[attempt] == q {
		delete(s.questions, attempt)
	}
}

// answer applies answers of the control replica.
func (s *streamStarts) answer(now time.Time, list []governor.StreamStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range list {
		start := resumer.Start{Service: v.Service, Software: v.Software}
		if start.Service != "" {
			s.index.Add(now, v.Attempt, start)
		}
		if q := s.questions[v.Attempt]; q != nil {
			q.start = start
			close(q.done)
			delete(s.questions, v.Attempt)
		}
	}
}

// softwares returns the software versions that may have begun a stream of a service, and whether a server of each accepts requests.
func (e *Relayer) softwares(service string) map[string]bool {
	return e.starts.withRecorded(service, e.balancer.Softwares(service))
}

func (e *Relayer) hasSeveralSoftwares(service string) bool { return len(e.softwares(service)) > 1 }

// recordStart remembers where a stream begins that its caller may take up; while its service has several software versions, the
// control replica is told before the caller gets the first event.
func (e *Relayer) recordStart(a *attempt) {
	c := a.call
	if !c.route.Resumable {
		return
	}
	attempt := c.id
	if v := c.req.get(e.headers.Resumes); v != "" {
		attempt = v
	}
	start := resumer.Start{Service: c.service, Software: a.choice.Software}
	if e.starts.add(time.Now(), attempt, start) && e.hasSeveralSoftwares(c.service) {
		e.control.enqueue(governor.UpMessage{Starts: []governor.StreamStart{{Attempt: attempt, Service: start.Service, Software: start.Software}}})
	}
}

// takeUpRefusal is why a stream that a caller takes up isn't run.
type takeUpRefusal struct {
	reason     string
	retryAfter time.Duration
}

// placeTakeUp restricts a request that takes a stream up to the software version that began it.
func (e *Relayer) placeTakeUp(ctx context.Context, c *call) *takeUpRefusal {
	resumes := c.req.get(e.headers.Resumes)
	if !c.route.Resumable || resumes == "" && c.req.get(e.headers.Resume) == "" {
		return nil
	}
	start, source := e.findStart(ctx, c, resumes)
	c.takeUp = source
	defer func() { e.metrics.takeUps.WithLabelValues(string(c.takeUp)).Inc() }()
	switch {
	case source == takeUpUnanswered:
		return &takeUpRefusal{"it isn't known now which software version began the stream", retryAfterNoServer}
	case source == takeUpUnknown:
		return &takeUpRefusal{"nobody knows which software version began the stream", time.Until(c.deadline)}
	case start.Service != c.service && !c.route.Serves(start.Service):
		c.takeUp = takeUpElsewhere
		return nil
	}
	c.service = start.Service
	c.software, c.softwareFixed = start.Software, true
	if softwares := e.balancer.Softwares(c.service); len(softwares) > 0 && !softwares[c.software] {
		c.takeUp = takeUpGone
		return &takeUpRefusal{fmt.Sprintf("no server of %s has the software version %q that began the stream", c.service, c.software), time.Until(c.deadline)}
	}
	return nil
}

// findStart returns where the stream began that an attempt brought the first event of; resumes is empty if the caller doesn't name it.
func (e *Relayer) findStart(ctx context.Context, c *call, resumes string) (resumer.Start, takeUpSource) {
	if start, ok := e.starts.get(time.Now(), resumes); ok {
		return start, takeUpRemembered
	}
	// Read before the versions: one that comes in between would be missing from versions that count as complete.
	stale, _ := e.control.freshness(time.Now())
	softwares := e.softwares(c.service)
	switch {
	case stale == 0 && len(softwares) == 1:
		for v := range softwares {
			return resumer.Start{Service: c.service, Software: v}, takeUpOnly
		}
	case len(softwares) == 0:
		return resumer.Start{}, takeUpUnanswered
	case resumes == "" && stale == 0:
		return resumer.Start{}, takeUpUnknown
	case resumes == "":
		return resumer.Start{}, takeUpUnanswered
	}
	q, isNew, ok := e.starts.ask(resumes)
	if !ok {
		return resumer.Start{}, takeUpUnanswered
	}
	defer e.starts.stopAsking(resumes, q)
	if isNew {
		e.control.enqueue(governor.UpMessage{Questions: []string{resumes}})
	}
	t := time.NewTimer(questionTimeout)
	defer t.Stop()
	select {
	case <-q.done:
		if q.start.Service == "" {
			return q.start, takeUpUnknown
		}
		return q.start, takeUpTold
	case <-t.C:
	case <-ctx.Done():
	}
	return resumer.Start{}, takeUpUnanswered
}

// applyStarts applies what a message says of streams and software versions. Starts are reported when their service gets its second
// version; a new replica gets them, and the questions, again.
func (c *controlClient) applyStarts(now time.Time, d *governor.DownMessage) {
	e := c.entry
	e.starts.answer(now, d.Starts)
	if len(d.Softwares) > 0 {
		e.starts.setRecorded(d.Softwares)
	}
	if len(d.Softwares) == 0 && d.Welcome == nil {
		return
	}
	for part := range slices.Chunk(e.starts.all(now, e.hasSeveralSoftwares), maxQueuedMessages) {
		c.enqueue(governor.UpMessage{Starts: part})
	}
	if list := e.starts.unanswered(); d.Welcome != nil && len(list) > 0 {
		c.enqueue(governor.UpMessage{Questions: list})
	}
}
