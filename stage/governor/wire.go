package governor

import (
	"time"

	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
)

// UpMessage is a message of an entry to a relay, or of a relay to the leader.
type UpMessage struct {
	Hello     *Hello             `cbor:"1,keyasint,omitempty"`
	Heartbeat uint64             `cbor:"2,keyasint,omitempty"`
	Wants     []Want             `cbor:"3,keyasint,omitempty"`
	Uses      []Use              `cbor:"4,keyasint,omitempty"`
	Missing   []AdapterPlacement `cbor:"5,keyasint,omitempty"`
	// Version is the version of the document in force at the sender.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// Loads are the sender's loads at servers, where they changed.
	Loads []Load `cbor:"7,keyasint,omitempty"`
	// Known are servers that the sender knows from an earlier leader and that the leader's first message didn't list.
	Known []tracker.Instance `cbor:"8,keyasint,omitempty"`
	// Entries is the number of a relay's sessions with entries.
	Entries *int `cbor:"9,keyasint,omitempty"`
	// Crashes are the servers that ended under requests; Sound are suspect digests whose requests servers answered.
	Crashes []Crash              `cbor:"10,keyasint,omitempty"`
	Sound   []quarantiner.Digest `cbor:"11,keyasint,omitempty"`
	// Trials are requests for trials of quarantined digests, and their results, in their order.
	Trials []Trial `cbor:"12,keyasint,omitempty"`
	// Quotas is the sender's report on client accounts' quotas.
	Quotas *QuotaReport `cbor:"13,keyasint,omitempty"`
	// Speeds sum what the sender saw of servers' streams since its last message.
	Speeds []SpeedSample `cbor:"14,keyasint,omitempty"`
	// Cached are beginnings of prompts that engines have read for the sender.
	Cached []CachedPrefix `cbor:"15,keyasint,omitempty"`
	// Starts are where streams began that may be taken up, while their service has several software versions; Questions are the
	// attempts of streams for which that is asked.
	Starts    []StreamStart `cbor:"16,keyasint,omitempty"`
	Questions []string      `cbor:"17,keyasint,omitempty"`
	// Tunnels are the addresses of a relay's entries that carry connections for others, where they changed.
	Tunnels *Tunnels `cbor:"18,keyasint,omitempty"`
	// Lacking are software versions that the leader has named and that are missing from a replica's own state.
	Lacking []resumer.Version `cbor:"19,keyasint,omitempty"`
	// Dropped names the fields of elements that couldn't be encoded or decoded.
	Dropped []string `cbor:"-"`
}

// SetDropped implements encoder.Partial.
func (m *UpMessage) SetDropped(fields []string) { m.Dropped = fields }

// Crash is the end of a backend server's incarnation under requests that it had not begun to answer.
type Crash struct {
	Server tracker.Key `cbor:"1,keyasint"`
	// Digests are those of the whole requests and of the parts that they share with others.
	Digests []quarantiner.Digest `cbor:"2,keyasint,omitempty"`
	// Tried are those of a request that was on trial there.
	Tried []quarantiner.Digest `cbor:"3,keyasint,omitempty"`
}

// TrialStep is a step of a trial.
type TrialStep int

// The steps of a trial.
const (
	// TrialRequested requests a trial.
	TrialRequested TrialStep = iota
	// TrialCancelled ends a trial that reached no server.
	TrialCancelled
	// TrialAnswered ends a trial that a server answered.
	TrialAnswered
	// TrialUndecided ends a trial that reached a server and had no result.
	TrialUndecided
)

// Trial is a step of the trial of a request with quarantined digests.
type Trial struct {
	// Digests are all those of the request, the ones that it shares with others first; TrialCancelled may have the last only.
	Digests []quarantiner.Digest `cbor:"1,keyasint"`
	Step    TrialStep            `cbor:"2,keyasint,omitempty"`
	// Entry is the entry's node, set by the relay.
	Entry string `cbor:"3,keyasint,omitempty"`
	// Service is that of the request.
	Service string `cbor:"4,keyasint,omitempty"`
}

// DigestStanding is the standing of a part or of a request; the other fields are those of quarantiner.State.
type DigestStanding struct {
	Digest     quarantiner.Digest   `cbor:"1,keyasint"`
	Standing   quarantiner.Standing `cbor:"2,keyasint,omitempty"`
	IsTrialDue bool                 `cbor:"3,keyasint,omitempty"`
	Holder     string               `cbor:"4,keyasint,omitempty"`
	IsAnswered bool                 `cbor:"5,keyasint,omitempty"`
	Own        quarantiner.Digest   `cbor:"6,keyasint,omitempty"`
}

func newDigestStanding(d quarantiner.Digest, s quarantiner.State) DigestStanding {
	return DigestStanding{Digest: d, Standing: s.Standing, IsTrialDue: s.IsTrialDue, Holder: s.Holder, IsAnswered: s.IsAnswered, Own: s.Own}
}

// State returns the state of the digest.
func (s DigestStanding) State() quarantiner.State {
	return quarantiner.State{Standing: s.Standing, IsTrialDue: s.IsTrialDue, Holder: s.Holder, IsAnswered: s.IsAnswered, Own: s.Own}
}

// Hello opens a session.
type Hello struct {
	Node string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Replica is the ID of a log replica, which is a relay to its entries; 0 for entries.
	Replica uint64 `cbor:"4,keyasint,omitempty"`
	// Process identifies the sender's process, and Session grows with each of its sessions; Dial sets both. They are 0 from
	// earlier versions.
	Process uint64 `cbor:"5,keyasint,omitempty"`
	Session uint64 `cbor:"6,keyasint,omitempty"`
	// Tunnel is the address at which an entry carries connections to backend servers for others, "" if it doesn't.
	Tunnel string `cbor:"7,keyasint,omitempty"`
	// Level is the highest level of commands that a replica knows; earlier builds tell none.
	Level uint64 `cbor:"8,keyasint,omitempty"`
}

// Tunnels are entries that carry connections for others.
type Tunnels struct {
	Entries []Peer `cbor:"1,keyasint,omitempty"`
}

// isBefore reports whether the same process has sent other later.
func (h *Hello) isBefore(other *Hello) bool {
	return h.Process != 0 && h.Process == other.Process && h.Session < other.Session
}

// StreamStart is where a stream began; without a service that isn't known.
type StreamStart struct {
	// Attempt is the ID of the attempt that brought the first event.
	Attempt  string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint,omitempty"`
	Software string `cbor:"3,keyasint,omitempty"`
}

// Want requests an adapter that no usable engine holds, or one more copy.
type Want struct {
	Service string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	Copy    bool            `cbor:"3,keyasint,omitempty"`
	// Remaining is the time until the deadline of the waiting request; it may be negative.
	Remaining time.Duration `cbor:"4,keyasint,omitempty"`
	// FailedServers are the IDs of servers that failed the request; their copies of the adapter don't count.
	FailedServers []string `cbor:"5,keyasint,omitempty"`
	// Zone is the data centre of the entry, set by the relay.
	Zone string `cbor:"6,keyasint,omitempty"`
	// Software is the only software version of engines that the request can use, "" for any.
	Software string `cbor:"7,keyasint,omitempty"`
}

// Use counts requests for an adapter at an engine: started since the last report, and running.
type Use struct {
	Engine  string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	Starts  int             `cbor:"3,keyasint,omitempty"`
	Running int             `cbor:"4,keyasint,omitempty"`
}

// AdapterPlacement identifies an adapter at an engine.
type AdapterPlacement struct {
	Engine  string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
}

// ResidentChange means that an engine now holds an adapter or, if Removed, no longer does.
type ResidentChange struct {
	Engine  string          `cbor:"1,keyasint"`
	Adapter tracker.Adapter `cbor:"2,keyasint"`
	Version int             `cbor:"3,keyasint,omitempty"`
	Removed bool            `cbor:"4,keyasint,omitempty"`
}

// DownMessage is a message to an entry or a relay.
type DownMessage struct {
	// Welcome begins a session; the message that has it carries the full state.
	Welcome *Welcome `cbor:"1,keyasint,omitempty"`
	// Redirect is the leader's address, if another replica is known to lead.
	Redirect        string             `cbor:"2,keyasint,omitempty"`
	Doc             *Doc               `cbor:"3,keyasint,omitempty"`
	Versions        []tracker.Resident `cbor:"4,keyasint,omitempty"`
	Engines         []tracker.Instance `cbor:"5,keyasint,omitempty"`
	RemovedServers  []string           `cbor:"6,keyasint,omitempty"`
	ResidentChanges []ResidentChange   `cbor:"7,keyasint,omitempty"`
	Heartbeat       uint64             `cbor:"8,keyasint,omitempty"`
	// Entries is the number of entries with a session at any relay.
	Entries int `cbor:"9,keyasint,omitempty"`
	// Replicas are all replicas.
	Replicas []Peer `cbor:"10,keyasint,omitempty"`
	// Leaving are the incarnations of backend servers that get no new requests.
	Leaving []tracker.Key `cbor:"11,keyasint,omitempty"`
	// FullResidents are engines with their complete lists of residents.
	FullResidents []tracker.Instance `cbor:"12,keyasint,omitempty"`
	// Loads are the sums of all entries' loads at servers, where they changed.
	Loads []Load `cbor:"13,keyasint,omitempty"`
	// Compressed is another DownMessage, compressed.
	Compressed []byte `cbor:"14,keyasint,omitempty"`
	// LeaderAge, beside Welcome and Heartbeat, is how long ago the leader is known to have served the sender.
	LeaderAge time.Duration `cbor:"15,keyasint,omitempty"`
	// Standings are the changed standings of parts and requests; Clear ends one.
	Standings []DigestStanding `cbor:"16,keyasint,omitempty"`
	// Quotas is what the leader gives out of client accounts' quotas.
	Quotas *QuotaUpdate `cbor:"17,keyasint,omitempty"`
	// Speeds are the servers' speeds where they changed; beside Welcome, all that differ from the usual one.
	Speeds []Speed `cbor:"18,keyasint,omitempty"`
	// Cached are beginnings of prompts that engines have read for any entry.
	Cached []CachedPrefix `cbor:"19,keyasint,omitempty"`
	// Softwares are, where they changed, all software versions of which a server may have begun a stream that goes on.
	Softwares []resumer.Version `cbor:"21,keyasint,omitempty"`
	// Starts answer Questions.
	Starts []StreamStart `cbor:"22,keyasint,omitempty"`
	// Tunnels are entries of all data centres that carry connections for others, where they changed.
	Tunnels *Tunnels `cbor:"23,keyasint,omitempty"`
	// Dropped names the fields of elements that couldn't be encoded or decoded.
	Dropped []string `cbor:"-"`
}

// SetDropped implements encoder.Partial.
func (m *DownMessage) SetDropped(fields []string) { m.Dropped = fields }

// Peer is a process's address and, if known, data centre.
type Peer struct {
	Addr string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint,omitempty"`
}

// Load is the work in flight at a server; the fields are those of balancer.Load.
type Load struct {
	Server string `cbor:"1,keyasint"`
	// Running is the number of requests; PrefillTokens is the number of tokens of prompts in prefill.
	Running       int `cbor:"2,keyasint,omitempty"`
	PrefillTokens int `cbor:"3,keyasint,omitempty"`
	// Memory is the tokens of the requests' prompts and expected answers, and of the room that waiting requests claim.
	Memory int `cbor:"4,keyasint,omitempty"`
	// Refusals is the number of requests that the server refused lately.
	Refusals int `cbor:"5,keyasint,omitempty"`
}

// SpeedSample sums what processes saw of a server's streams; the fields are those of profiler.Sample.
type SpeedSample struct {
	Server  string `cbor:"1,keyasint"`
	Events  int    `cbor:"2,keyasint,omitempty"`
	Load    int    `cbor:"3,keyasint,omitempty"`
	Pause   int    `cbor:"4,keyasint,omitempty"`
	Prompts int    `cbor:"5,keyasint,omitempty"`
	Held    int    `cbor:"6,keyasint,omitempty"`
	First   int    `cbor:"7,keyasint,omitempty"`
}

// Speed is a server's speed in relation to its service's median; the fields are those of profiler.Speed.
type Speed struct {
	Server  string `cbor:"1,keyasint"`
	Step    int    `cbor:"2,keyasint,omitempty"`
	Prefill int    `cbor:"3,keyasint,omitempty"`
}

// Welcome opens the leader's side of a session.
type Welcome struct {
	LeaderEpoch uint64 `cbor:"1,keyasint"`
	// Settled means that all live servers had time to announce themselves, so that unlisted ones are removed.
	Settled bool `cbor:"2,keyasint,omitempty"`
}

// joinRequest requests membership in the group.
type joinRequest struct {
	Addr string `cbor:"1,keyasint"`
	// ID is the ID that the replica got before, or 0.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Level is that of Hello.
	Level uint64 `cbor:"3,keyasint,omitempty"`
}

// joinReply carries the replica's ID, or the leader's address.
type joinReply struct {
	ID       uint64 `cbor:"1,keyasint,omitempty"`
	Redirect string `cbor:"2,keyasint,omitempty"`
}
