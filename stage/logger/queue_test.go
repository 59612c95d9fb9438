package logger

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// output is a writer that blocks until it is opened.
type output struct {
	open chan struct{}
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	<-o.open
	return o.text.Write(p)
}

// An output that nobody read blocked every goroutine that logged: entries went on by an old configuration.
func TestUnreadOutputBlocksNobody(t *testing.T) {
	c := qt.New(t)
	defer goleak.VerifyNone(t)
	const lines = 1000
	out := &output{open: make(chan struct{})}
	q := NewQueue(out, 4<<10)
	l := New(q, "info").Component("test")
	for range lines {
		l.Info("line", "x")
	}
	close(out.open)
	q.Close(time.Minute)
	written, dropped := 0, 0
	for line := range strings.Lines(out.text.String()) {
		var v struct {
			Message string `json:"message"`
			Dropped int    `json:"left_out"`
		}
		c.Assert(json.Unmarshal([]byte(line), &v), qt.IsNil)
		if v.Dropped > 0 {
			dropped += v.Dropped
		} else {
			written++
		}
	}
	c.Check(dropped > 0, qt.IsTrue)
	c.Check(written+dropped, qt.Equals, lines)
}

// A process that ends doesn't wait for the reader of its output.
func TestQueueCloseIsBounded(t *testing.T) {
	out := &output{open: make(chan struct{})}
	q := NewQueue(out, 0)
	_, err := q.Write([]byte("line\n"))
	qt.Assert(t, err, qt.IsNil)
	q.Close(time.Millisecond)
	close(out.open)
	q.Close(time.Minute)
	qt.Check(t, out.text.String(), qt.Equals, "line\n")
}

// All lines are written in order before Close returns.
func TestQueueKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out, 0)
	var want strings.Builder
	for i := range 100 {
		line := strings.Repeat("x", i) + "\n"
		want.WriteString(line)
		_, _ = q.Write([]byte(line))
	}
	q.Close(time.Minute)
	qt.Check(t, out.String(), qt.Equals, want.String())
}
