package governor

import (
	"time"

	"redwingstage.org/serving/tracker"
)

// Up is a message of an entry, or of another replica, to the leader.
type Up struct {
	Hello   *Hello      `cbor:"1,keyasint,omitempty"`
	Beat    uint64      `cbor:"2,keyasint,omitempty"`
	Wants   []Want      `cbor:"3,keyasint,omitempty"`
	Uses    []Use       `cbor:"4,keyasint,omitempty"`
	Missing []AdapterAt `cbor:"5,keyasint,omitempty"`
	// Version is that of the document in force at the sender.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// Loads are what the sender has at servers, where that changed.
	Loads []Load `cbor:"7,keyasint,omitempty"`
	// Known are servers that the leader's first message didn't list and that the sender knows since an earlier leader.
	Known []tracker.Instance `cbor:"8,keyasint,omitempty"`
	// Entries is how many entries the sender has sessions with, if it is a relay.
	Entries *int `cbor:"9,keyasint,omitempty"`
}

// Hello opens a session.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Replica is the number of a replica of the log, 0 for entries. Replicas are relays to the entries of their sessions.
	Replica uint64 `cbor:"4,keyasint,omitempty"`
}

// Want asks for an adapter that no usable engine holds, or for one more copy.
type Want struct {
	Service string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	Copy    bool            `cbor:"3,keyasint,omitempty"`
	// Left is the time in which the request that waits should be answered; it may be negative.
	Left time.Duration `cbor:"4,keyasint,omitempty"`
	// Except are servers that did not answer the request; that they hold the adapter doesn't help it.
	Except []string `cbor:"5,keyasint,omitempty"`
	// Zone is the data centre of the entry, where a relay passes its want on.
	Zone string `cbor:"6,keyasint,omitempty"`
}

// Use tells of an adapter at an engine since the last report.
type Use struct {
	Engine  string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	Starts  int             `cbor:"3,keyasint,omitempty"`
	Running int             `cbor:"4,keyasint,omitempty"`
}

// AdapterAt is an adapter at an engine.
type AdapterAt struct {
	Engine  string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
}

// Move says that an engine holds an adapter from now on, or no more.
type Move struct {
	Engine  string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	Version int             `cbor:"3,keyasint,omitempty"`
	Gone    bool            `cbor:"4,keyasint,omitempty"`
}

// Down is a message of the leader.
type Down struct {
	// Welcome begins a session: everything that follows replaces what was known.
	Welcome *Welcome `cbor:"1,keyasint,omitempty"`
	// Redirect is the leader's address, if it is another replica and known.
	Redirect string             `cbor:"2,keyasint,omitempty"`
	Doc      *Doc               `cbor:"3,keyasint,omitempty"`
	Versions []tracker.Resident `cbor:"4,keyasint,omitempty"`
	Engines  []tracker.Instance `cbor:"5,keyasint,omitempty"`
	Gone     []string           `cbor:"6,keyasint,omitempty"`
	Moves    []Move             `cbor:"7,keyasint,omitempty"`
	Beat     uint64             `cbor:"8,keyasint,omitempty"`
	// Entries is the number of entries with a session.
	Entries int `cbor:"9,keyasint,omitempty"`
	// Replicas are all replicas.
	Replicas []Peer `cbor:"10,keyasint,omitempty"`
	// Left are the starts of backend servers that must get no new work.
	Left []tracker.Key `cbor:"11,keyasint,omitempty"`
	// Exact are engines with all that they hold.
	Exact []tracker.Instance `cbor:"12,keyasint,omitempty"`
	// Loads are what all entries together have at servers, where that changed.
	Loads []Load `cbor:"13,keyasint,omitempty"`
	// Packed is another message, compressed.
	Packed []byte `cbor:"14,keyasint,omitempty"`
}

// Peer is a replica: where it is reached, and in which data centre, if that is known.
type Peer struct {
	Addr string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Load is what is under way at a server.
type Load struct {
	Server string `cbor:"1,keyasint"`
	// Running is the number of requests, Reading that of tokens of prompts that the server is still reading.
	Running int `cbor:"2,keyasint,omitempty"`
	Reading int `cbor:"3,keyasint,omitempty"`
}

// Welcome opens the leader's side of a session.
type Welcome struct {
	Era uint64 `cbor:"1,keyasint"`
	// Settled says that the leader has had the time to hear of all servers, so that others are gone.
	Settled bool `cbor:"2,keyasint,omitempty"`
}

// joinAsk asks for a place in the group.
type joinAsk struct {
	Addr string `cbor:"1,keyasint"`
	// ID is the number that the asker got before, or 0.
	ID uint64 `cbor:"2,keyasint,omitempty"`
}

// joinReply gives a number, or the leader's address.
type joinReply struct {
	ID       uint64 `cbor:"1,keyasint,omitempty"`
	Redirect string `cbor:"2,keyasint,omitempty"`
}
