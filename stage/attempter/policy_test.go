package attempter

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"redwingstage.org/serving/router"
	"redwingstage.org/serving/scheduler"
	"redwingstage.org/stage/streamer"
)

func TestRefusalsDontCountAsService(t *testing.T) {
	c := qt.New(t)
	for reason, want := range map[scheduler.Reason]router.Result{
		scheduler.ReasonSlots: router.Passed,
		scheduler.ReasonLoad:  router.LoadFailed,
		scheduler.ReasonLate:  router.Refused,
		scheduler.ReasonFull:  router.Refused,
	} {
		c.Check(resultOf(streamer.End{Reason: streamer.Reason(reason)}), qt.Equals, want, qt.Commentf(string(reason)))
	}
}
