package responder

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestDeparture(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		leave    bool
		arrivals []time.Duration // arrivals of new work, after the start of the leave
		overdue  int
		late     int
		lastMS   int64
	}{
		{name: "not leaving", arrivals: []time.Duration{time.Hour}},
		{name: "no work after leave", leave: true},
		{name: "at the bound", leave: true, arrivals: []time.Duration{time.Second, OverdueAfter}, lastMS: 3000},
		{name: "overdue", leave: true, arrivals: []time.Duration{0, OverdueAfter + time.Millisecond, lateAfter}, overdue: 2, lastMS: 5000},
		{name: "late", leave: true, arrivals: []time.Duration{lateAfter + time.Millisecond}, overdue: 1, late: 1, lastMS: 5001},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := quicktest.New(t)
			var d Departure
			d.RecordWork(start)
			if tt.leave {
				d.StartLeaving(start)
				d.StartLeaving(start.Add(time.Hour))
			}
			for _, at := range tt.arrivals {
				d.RecordWork(start.Add(at))
			}
			c.Assert(d.IsLeaving(), quicktest.Equals, tt.leave)
			c.Assert(d.OverdueCount(), quicktest.Equals, tt.overdue)
			c.Assert(d.LateCount(), quicktest.Equals, tt.late)
			r := d.report(start.Add(time.Minute))
			c.Assert(r.LastMS, quicktest.Equals, tt.lastMS)
			c.Assert(r.Before+r.After, quicktest.Equals, 1+len(tt.arrivals))
		})
	}
}
