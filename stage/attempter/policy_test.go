package attempter

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/streamer"
)

func TestRefusalsAreNotServed(t *testing.T) {
	c := qt.New(t)
	for reason, want := range map[scheduler.Reason]router.Result{
		scheduler.ReasonSlots: router.Declined,
		scheduler.ReasonLoad:  router.LoadFailed,
		scheduler.ReasonLate:  router.Refused,
		scheduler.ReasonFull:  router.Refused,
	} {
		c.Check(routerResult(streamer.End{Reason: streamer.Reason(reason)}), qt.Equals, want, qt.Commentf(string(reason)))
	}
}

func TestFeedback(t *testing.T) {
	c, req := router.Candidate{Server: "e1"}, &streamer.Request{}
	tests := []struct {
		name string
		give streamer.Feedback
		want router.Feedback
	}{
		{name: "no feedback", want: router.Feedback{Server: "e1", Load: -1}},
		{name: "load", give: streamer.Feedback{Known: true, Load: 0.5}, want: router.Feedback{Server: "e1", Load: 0.5}},
		{name: "straggler", give: streamer.Feedback{Known: true, Slow: true}, want: router.Feedback{Server: "e1", Result: router.Straggler}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { qt.Check(t, routerFeedback(c, req, tt.give), qt.Equals, tt.want) })
	}
}
