package controller

import (
	"time"

	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/recorder"
	"redwingstage.org/serving/registrar"
)

// entryMessage is a message from an entry to the control leader; unset fields aren't encoded.
type entryMessage struct {
	Hello     *helloFrame    `cbor:"1,keyasint,omitempty"`
	Heartbeat uint64         `cbor:"2,keyasint,omitempty"`
	Catalog   uint64         `cbor:"3,keyasint,omitempty"`
	Live      uint64         `cbor:"4,keyasint,omitempty"`
	Servers   []serverFrame  `cbor:"5,keyasint,omitempty"`
	Refreshed []refreshFrame `cbor:"6,keyasint,omitempty"`
	Claims    *claimsFrame   `cbor:"7,keyasint,omitempty"`
	Calls     []callFrame    `cbor:"8,keyasint,omitempty"`
	// Cancelled are the IDs of cancelled calls.
	Cancelled []uint64 `cbor:"9,keyasint,omitempty"`
}

type helloFrame struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Addr        string `cbor:"3,keyasint"`
	Zone        string `cbor:"4,keyasint,omitempty"`
	Catalog     uint64 `cbor:"5,keyasint,omitempty"`
	Live        uint64 `cbor:"6,keyasint,omitempty"`
	// LeaseHeld is set if the entry's lease is still valid, so that it has the live state of the earlier leader.
	LeaseHeld bool `cbor:"7,keyasint,omitempty"`
}

type serverFrame struct {
	Name        string          `cbor:"1,keyasint"`
	Kind        configurer.Kind `cbor:"2,keyasint"`
	Addr        string          `cbor:"3,keyasint"`
	Zone        string          `cbor:"4,keyasint,omitempty"`
	Service     string          `cbor:"5,keyasint"`
	Incarnation string          `cbor:"6,keyasint"`
	Slots       int             `cbor:"7,keyasint,omitempty"`
	Batch       int             `cbor:"8,keyasint,omitempty"`
	Fenced      bool            `cbor:"9,keyasint,omitempty"`
	Leaving     bool            `cbor:"10,keyasint,omitempty"`
}

type refreshFrame struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// claimsFrame lists the earlier leaders' grants that an entry holds, for the leader of LeaderEpoch.
type claimsFrame struct {
	LeaderEpoch uint64          `cbor:"1,keyasint"`
	Servers     []claimFrame    `cbor:"2,keyasint,omitempty"`
	Permits     []uint64        `cbor:"3,keyasint,omitempty"`
	Locks       []lockFrame     `cbor:"4,keyasint,omitempty"`
	Standings   []standingFrame `cbor:"5,keyasint,omitempty"`
}

type claimFrame struct {
	Server string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// lockFrame is a held lock with the ID of the call that it was granted to.
type lockFrame struct {
	Digest quarantiner.Digest `cbor:"1,keyasint"`
	ID     uint64             `cbor:"2,keyasint"`
}

type standingFrame struct {
	Digest   quarantiner.Digest   `cbor:"1,keyasint"`
	Standing quarantiner.Standing `cbor:"2,keyasint"`
}

// callKind is the operation of a call.
type callKind int

const (
	callPermit callKind = iota + 1
	callReturnPermit
	callReportCrash
	callLockSuspect
	callUnlockSuspect
	callBeginBooking
	callEndBooking
	callReleaseServer
	callReportCompletion
)

type callFrame struct {
	ID     uint64   `cbor:"1,keyasint"`
	Kind   callKind `cbor:"2,keyasint"`
	Server string   `cbor:"3,keyasint,omitempty"`
	Urgent bool     `cbor:"4,keyasint,omitempty"`
	// Grant is the ID of the permit or lock that is returned.
	Grant   uint64               `cbor:"5,keyasint,omitempty"`
	Digests []quarantiner.Digest `cbor:"6,keyasint,omitempty"`
	Begin   *recorder.Begin      `cbor:"7,keyasint,omitempty"`
	End     *recorder.End        `cbor:"8,keyasint,omitempty"`
	Pinned  []targetFrame        `cbor:"9,keyasint,omitempty"`
	// LiveRevision is the live state's revision before a suspect's run began.
	LiveRevision uint64 `cbor:"11,keyasint,omitempty"`
	// Epoch is the ownership epoch of the released server.
	Epoch uint64 `cbor:"10,keyasint,omitempty"`
	// Rate, in uses a second, and WaitedMillis belong to a permit request; Unused to a returned permit.
	Rate         float64 `cbor:"20,keyasint,omitempty"`
	WaitedMillis int64   `cbor:"21,keyasint,omitempty"`
	Unused       bool    `cbor:"22,keyasint,omitempty"`
}

type targetFrame struct {
	Service string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Version int    `cbor:"3,keyasint,omitempty"`
}

// leaderMessage is a message from the control leader to an entry.
type leaderMessage struct {
	Welcome   *welcomeFrame   `cbor:"1,keyasint,omitempty"`
	Heartbeat uint64          `cbor:"2,keyasint,omitempty"`
	Catalog   *spreader.Delta `cbor:"3,keyasint,omitempty"`
	Live      *spreader.Delta `cbor:"4,keyasint,omitempty"`
	Answers   []answerFrame   `cbor:"5,keyasint,omitempty"`
	// NeedServers names servers whose whole announcement is missing.
	NeedServers []string `cbor:"6,keyasint,omitempty"`
}

// welcomeFrame answers a hello; the lease is renewed once the entry has acknowledged both revisions.
type welcomeFrame struct {
	LeaderEpoch uint64 `cbor:"1,keyasint"`
	Catalog     uint64 `cbor:"2,keyasint"`
	Live        uint64 `cbor:"3,keyasint"`
	// TTLMillis is the duration of a lease.
	TTLMillis int64 `cbor:"4,keyasint"`
}

// answerCode is the outcome of a call.
type answerCode int

const (
	answerOK answerCode = iota
	// answerRetry requests the same call again, since it may not have been executed.
	answerRetry
	// answerRefused is final; Text holds the reason.
	answerRefused
)

type answerFrame struct {
	ID     uint64               `cbor:"1,keyasint"`
	Code   answerCode           `cbor:"2,keyasint,omitempty"`
	Text   string               `cbor:"3,keyasint,omitempty"`
	Permit uint64               `cbor:"4,keyasint,omitempty"`
	Begun  *recorder.BeginReply `cbor:"5,keyasint,omitempty"`
	// Heartbeat and AfterMillis date the answer: the leader received that heartbeat AfterMillis earlier.
	Heartbeat   uint64 `cbor:"6,keyasint,omitempty"`
	AfterMillis int64  `cbor:"7,keyasint,omitempty"`

	// expires is a permit's expiry on the entry's own clock; it isn't sent.
	expires time.Time
}

func (f serverFrame) server() registrar.Server {
	return registrar.Server{
		Name: f.Name, Kind: f.Kind, Addr: f.Addr, Zone: f.Zone, Service: f.Service,
		Incarnation: f.Incarnation, Slots: f.Slots, Batch: f.Batch, Fenced: f.Fenced, Leaving: f.Leaving,
	}
}

func newServerFrame(s registrar.Server) serverFrame {
	return serverFrame{
		Name: s.Name, Kind: s.Kind, Addr: s.Addr, Zone: s.Zone, Service: s.Service,
		Incarnation: s.Incarnation, Slots: s.Slots, Batch: s.Batch, Fenced: s.Fenced, Leaving: s.Leaving,
	}
}
