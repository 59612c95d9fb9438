package governor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blockedTime is some twenty times what a change of leader takes.
const blockedTime = 15 * time.Second

// block keeps a replica's control goroutine busy until the returned function is called.
func (g *Governor) block() (release func()) {
	blocked, done := make(chan struct{}), make(chan struct{})
	g.hub.post(func(time.Time) {
		close(blocked)
		<-done
	})
	<-blocked
	return func() { close(done) }
}

// otherLeads waits until a replica other than i leads, at most blockedTime.
func (g *group) otherLeads(i int) bool {
	for end := time.Now().Add(blockedTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for k, other := range g.running {
			if k != i && other.Leads() {
				return true
			}
		}
	}
	return false
}

// A replica whose control goroutine was blocked didn't stop when it was told to, and led on.
func TestCloseEndsBesideBlockedControlGoroutine(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	i, gov := g.leader()
	release := gov.block()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Check(gov.Close(), qt.IsNil)
	}()
	c.Check(g.otherLeads(i), qt.IsTrue, qt.Commentf("the lead of a replica that is told to stop"))
	release()
	<-done
	delete(g.running, i)
}

// A leader whose control goroutine was blocked kept the lead: no relay had a session, and no order was given.
func TestLeaderWithBlockedControlGoroutineLosesLead(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c, 3)
	g.awaitVoters(3)
	i, gov := g.leader()
	release := gov.block()
	defer release()
	c.Check(g.otherLeads(i), qt.IsTrue)
}
