package inferer

import (
	"strconv"
	"strings"
	"sync"
)

// AnswerText returns the generated text: model, marker (the prompt's last word), token numbers and a final "end".
func AnswerText(model, marker string, tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		b.WriteString(tokenText(model, marker, n, tokens))
	}
	return b.String()
}

func tokenText(model, marker string, n, total int) string {
	switch n {
	case 1:
		return model
	case 2:
		return " " + marker
	case total:
		return " end"
	}
	return " " + strconv.Itoa(n)
}

// identity determines an answer's attempt, model and text.
type identity struct {
	attempt     string
	model       string
	marker      string
	totalTokens int
}

// streamState is running, finished or failed.
type streamState int

const (
	running streamState = iota
	finished
	failed
)

// stream is the output of one request; it outlives the connection, so that it can be resumed.
type stream struct {
	identity

	prompt string
	mu     sync.Mutex
	cond   *sync.Cond
	tokens int
	state  streamState
}

func newStream(id identity, prompt string) *stream {
	st := &stream{identity: id, prompt: prompt}
	st.cond = sync.NewCond(&st.mu)
	return st
}

func (st *stream) setTokens(tokens int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.tokens = tokens
	st.cond.Broadcast()
}

func (st *stream) end(state streamState) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.state == running {
		st.state = state
	}
	st.cond.Broadcast()
}

// wait blocks until there are more than n tokens or the stream ended.
func (st *stream) wait(n int) (int, streamState) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for st.tokens <= n && st.state == running {
		st.cond.Wait()
	}
	return st.tokens, st.state
}

// waitEnd blocks until the stream ended.
func (st *stream) waitEnd() streamState {
	st.mu.Lock()
	defer st.mu.Unlock()
	for st.state == running {
		st.cond.Wait()
	}
	return st.state
}
