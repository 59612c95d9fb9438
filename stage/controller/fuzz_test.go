package controller

import (
	"testing"
	"time"

	"redwingstage.org/coord/encoder"
	"redwingstage.org/coord/spreader"
	"redwingstage.org/serving/registrar"
)

// FuzzEntryMessage feeds messages of an entry to a leader, which must not panic nor answer a heartbeat without a hello.
func FuzzEntryMessage(f *testing.F) {
	seeds := []entryMessage{
		{Hello: &helloFrame{Name: "entry-1", Incarnation: 1, Addr: "a", LeaseHeld: true}, Heartbeat: 1, Live: 1 << 40},
		{Claims: &claimsFrame{LeaderEpoch: 2, Servers: []claimFrame{{"engine-1", 1 << 24}}, Permits: []uint64{1}}},
		{Servers: []serverFrame{{Name: "engine-1", Kind: "model", Addr: "a", Service: "s", Incarnation: "i"}}},
		{Calls: []callFrame{{ID: 1, Kind: callPermit}, {ID: 2, Kind: callLockSuspect}, {ID: 3, Kind: callBeginBooking}, {ID: 4, Kind: 99}}},
	}
	for _, s := range seeds {
		data, err := encoder.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame entryMessage
		if encoder.Unmarshal(data, &frame) != nil {
			return
		}
		now := time.Unix(1_700_000_000, 0)
		l := newLeaderState(2, now, false, registrar.StoreLimits{}, spreader.New(), []entryProcess{{"entry-1", 1}})
		for range 3 {
			l.receive(now, peerKey{session: 1}, frame)
			l.tick(now)
			now = now.Add(3 * time.Second)
		}
		out, _ := l.takeOutput()
		for _, o := range out {
			if o.frame.Heartbeat > 0 && frame.Hello == nil {
				t.Fatal("a heartbeat was answered without a hello")
			}
		}
	})
}

// FuzzApplyBody feeds operators' requests to the decoder, each finding of which must have a reason.
func FuzzApplyBody(f *testing.F) {
	f.Add([]byte(`{"change":"c1","expect":1,"doc":{"classes":[{"name":"chat"}]},"delete":[{"kind":"adapter","name":"a"}]}`))
	f.Add([]byte(`{"expect":"1"}`))
	f.Add([]byte(`{"doc":{"adapters":[{"nme":"x"}]}} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body applyBody
		for _, finding := range decodeStrict(data, &body) {
			if finding.Reason == "" {
				t.Fatal("a finding without a reason")
			}
		}
	})
}

// FuzzCommand applies log entries to the machine, whose snapshot must restore.
func FuzzCommand(f *testing.F) {
	cmd := newCommand(time.Unix(1_700_000_000, 0))
	cmd.Drain = &drainCommand{Kind: "server", Name: "engine-1"}
	data, err := encoder.Marshal(cmd)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMachine()
		if _, err := m.Apply(1, data); err != nil {
			t.Fatal(err)
		}
		snap, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := newMachine().Restore(snap); err != nil {
			t.Fatal(err)
		}
	})
}
