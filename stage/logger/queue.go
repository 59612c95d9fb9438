package logger

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// defaultQueueBytes bounds the lines that wait for a reader of the output.
const defaultQueueBytes = 1 << 20

// Queue is a writer of lines that never blocks: one goroutine writes them to the output, and lines that find no room are
// dropped and counted in a line of their own.
type Queue struct {
	out   io.Writer
	limit int
	wg    conc.WaitGroup

	mu      sync.Mutex
	ready   *sync.Cond
	lines   [][]byte
	bytes   int
	dropped int
	closed  bool
}

// NewQueue returns a queue of at most limit bytes before out; 0 means 1 MB.
func NewQueue(out io.Writer, limit int) *Queue {
	if limit == 0 {
		limit = defaultQueueBytes
	}
	q := &Queue{out: out, limit: limit}
	q.ready = sync.NewCond(&q.mu)
	q.wg.Go(func() {
		for line := q.next(); line != nil; line = q.next() {
			// Nobody could be told of an output that fails.
			_, _ = out.Write(line)
		}
	})
	return q
}

// Write implements io.Writer; it always accepts the whole line.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.bytes+len(line) > q.limit {
		q.dropped++
		return len(line), nil
	}
	q.push(append([]byte(nil), line...))
	return len(line), nil
}

func (q *Queue) push(line []byte) {
	q.lines = append(q.lines, line)
	q.bytes += len(line)
	q.ready.Signal()
}

// next waits for the next line; nil means that the queue is closed and empty.
func (q *Queue) next() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.lines) == 0 && q.dropped == 0 && !q.closed {
		q.ready.Wait()
	}
	if len(q.lines) == 0 && q.dropped > 0 {
		n := q.dropped
		q.dropped = 0
		return fmt.Appendf(nil, `{"time":%q,"level":"warn","left_out":%d,"message":"log: the output is read too slowly, lines were dropped"}`+"\n",
			time.Now().Format(timeFormat), n)
	}
	if len(q.lines) == 0 {
		return nil
	}
	line := q.lines[0]
	q.lines = q.lines[1:]
	q.bytes -= len(line)
	return line
}

// Close waits until the queued lines are written, at most for timeout: an output that nobody reads must not keep a process.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.ready.Signal()
	q.mu.Unlock()
	done := make(chan struct{})
	go func() {
		q.wg.Wait()
		close(done)
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}
