package soaker

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/standin/generator"
)

// emptyLoadReport returns the report of a load that sent nothing.
func emptyLoadReport(c *qt.C) *generator.Report {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rep, err := generator.Run(ctx, generator.Config{Entries: []string{"127.0.0.1:1"}, Rate: 1, Duration: 1})
	c.Assert(err, qt.IsNil)
	return rep
}

func TestFindViolations(t *testing.T) {
	tests := []struct {
		name      string
		departure Departure
		want      string
	}{
		{"none after", Departure{Before: 1, SinceMS: 6000}, ""},
		{"some within the bound", Departure{Before: 1, After: 9, LastMS: 3000, SinceMS: 6000}, ""},
		{"overdue", Departure{Before: 1, After: 9, Overdue: 2, LastMS: 3001, SinceMS: 6000}, "e1: 2 requests more than 3s after its leave, the last after 3001 ms"},
		{"no work at all", Departure{SinceMS: 6000}, "e1: had no work before its leave.*"},
		{"watched too short", Departure{Before: 1, SinceMS: 5999}, "e1: was not watched for long enough"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tt.departure.Server = "e1"
			r := &LeaveReport{Departures: []Departure{tt.departure}, Load: emptyLoadReport(c)}
			r.findViolations()
			if tt.want == "" {
				c.Assert(r.Violations, qt.HasLen, 0)
				return
			}
			c.Assert(r.Violations, qt.HasLen, 1)
			c.Assert(r.Violations[0], qt.Matches, tt.want)
		})
	}
}
