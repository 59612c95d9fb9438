package governor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/serving/matcher"
)

// takeMessages returns the messages that are queued for a session.
func takeMessages(c *qt.C, s *session) []*DownMessage {
	var out []*DownMessage
	for len(s.queue) > 0 {
		data := <-s.queue
		s.queuedBytes.Add(-int64(len(data)))
		var d DownMessage
		c.Assert(encoder.Unmarshal(data, &d), qt.IsNil)
		m, err := decompress(&d)
		c.Assert(err, qt.IsNil)
		out = append(out, m)
	}
	return out
}

// newQueuedSession returns an open session whose messages wait to be taken.
func newQueuedSession(now time.Time) *session {
	return &session{queue: make(chan encoder.Raw, maxQueuedMessages), lastReceived: now}
}

// checkDocumentBeforeConfirmation checks that a session gets a version of the document before any response to its heartbeats.
func checkDocumentBeforeConfirmation(c *qt.C, s *session, version uint64) {
	confirmed, inForce := false, false
	for _, d := range takeMessages(c, s) {
		inForce = inForce || d.Doc != nil && d.Doc.Version >= version
		if d.Heartbeat > 0 {
			confirmed = true
			c.Check(inForce, qt.IsTrue, qt.Commentf("heartbeat %d is responded to before version %d of the document", d.Heartbeat, version))
		}
	}
	c.Check(confirmed, qt.IsTrue)
	c.Check(inForce, qt.IsTrue)
}

// A relay that had found a leader again told its entries that their document was the newest before it sent the newer one, by
// which they refused its routes as unknown.
func TestRelaySendsDocumentBeforeConfirmation(t *testing.T) {
	old := &Doc{Version: 1}
	for name, bring := range map[string]func(h *hub, now time.Time){
		"with a leader's first message": func(h *hub, now time.Time) {
			h.applyLeaderMessage(now, now, make(chan UpMessage, 8), &DownMessage{Welcome: &Welcome{}, Doc: &Doc{Version: 2}})
		},
		"with an update beside a heartbeat": func(h *hub, now time.Time) {
			h.applyLeaderMessage(now, now, make(chan UpMessage, 8), &DownMessage{Doc: &Doc{Version: 2}})
			for s := range h.relay.sessions {
				h.receive(now, s, UpMessage{Heartbeat: 8})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newLeadingHub(c, &stubEngines{}, 8)
			h.stepDown()
			now := time.Now()
			h.applyLeaderMessage(now, now, make(chan UpMessage, 8), &DownMessage{Welcome: &Welcome{}, Doc: old})
			s := newQueuedSession(now)
			h.receive(now, s, UpMessage{Hello: &Hello{Node: "entry"}})
			h.receive(now, s, UpMessage{Heartbeat: 7})
			h.flush(now)
			takeMessages(c, s)
			bring(h, now.Add(time.Second))
			h.flush(now.Add(time.Second))
			checkDocumentBeforeConfirmation(c, s, 2)
		})
	}
}

// A leader confirmed the documents of relays and entries while one that it had committed waited to be sent.
func TestLeaderSendsCommittedDocumentBeforeConfirmation(t *testing.T) {
	for name, hello := range map[string]Hello{"relay": {Node: "relay", Replica: 2}, "entry": {Node: "entry"}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := newLeadingHub(c, &stubEngines{}, 8)
			h.deps.Decode = func(d Doc) (*matcher.Table, error) { return matcher.New(d.Version, nil, nil, matcher.Limits{}) }
			now := time.Now()
			h.startLeading(now, 1, 2)
			commit := func(version uint64) {
				applyCommand(c, h.membership.machine, command{Doc: &Doc{Version: version}})
			}
			commit(2)
			s := newQueuedSession(now)
			h.receive(now, s, UpMessage{Hello: &hello})
			first := takeMessages(c, s)
			c.Assert(first, qt.HasLen, 1)
			c.Check(first[0].Doc.Version, qt.Equals, uint64(2), qt.Commentf("the first message confirms, too"))
			h.flush(now)
			takeMessages(c, s)
			commit(3)
			h.receive(now, s, UpMessage{Heartbeat: 1})
			h.flush(now)
			checkDocumentBeforeConfirmation(c, s, 3)
		})
	}
}
