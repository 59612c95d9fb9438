package controller

import (
	"time"

	"redwingstage.org/serving/auditor"
	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/recorder"
)

// command is one entry of the control log; exactly one field besides NowMillis is set.
type command struct {
	// NowMillis is the leader's wall clock in milliseconds since 1970.
	NowMillis      int64            `cbor:"1,keyasint"`
	NewLeaderEpoch bool             `cbor:"2,keyasint,omitempty"`
	Change         *changeCommand   `cbor:"3,keyasint,omitempty"`
	Bookings       []bookingCommand `cbor:"4,keyasint,omitempty"`
	Lost           []entryProcess   `cbor:"5,keyasint,omitempty"`
	Drain          *drainCommand    `cbor:"6,keyasint,omitempty"`
	Replica        *replicaCommand  `cbor:"7,keyasint,omitempty"`
	// Joined are entry processes that are about to get their first lease.
	Joined []entryProcess `cbor:"8,keyasint,omitempty"`
}

// origin identifies who requested a command.
type origin struct {
	Operator string `cbor:"1,keyasint"`
	From     string `cbor:"2,keyasint"`
	Change   string `cbor:"3,keyasint"`
}

type changeCommand struct {
	Origin origin            `cbor:"1,keyasint"`
	Action auditor.Action    `cbor:"2,keyasint"`
	Change configurer.Change `cbor:"3,keyasint"`
}

type bookingCommand struct {
	Begin *recorder.Begin `cbor:"1,keyasint,omitempty"`
	End   *recorder.End   `cbor:"2,keyasint,omitempty"`
}

// entryProcess identifies one run of an entry.
type entryProcess struct {
	Entry       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

type drainCommand struct {
	Origin  origin `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Name    string `cbor:"3,keyasint"`
	Undrain bool   `cbor:"4,keyasint,omitempty"`
}

// replicaCommand adds an audit record for a replica that is added or removed.
type replicaCommand struct {
	Origin origin         `cbor:"1,keyasint"`
	Action auditor.Action `cbor:"2,keyasint"`
	ID     uint64         `cbor:"3,keyasint"`
	Addr   string         `cbor:"4,keyasint"`
}

// result is the outcome of a command.
type result struct {
	Err         string                `cbor:"1,keyasint,omitempty"`
	LeaderEpoch uint64                `cbor:"2,keyasint,omitempty"`
	Reply       *configurer.Reply     `cbor:"3,keyasint,omitempty"`
	Winner      *auditor.Record       `cbor:"4,keyasint,omitempty"`
	Begun       []recorder.BeginReply `cbor:"5,keyasint,omitempty"`
}

func newCommand(now time.Time) command { return command{NowMillis: now.UnixMilli()} }
