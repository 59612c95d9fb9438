package inferer

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/faulter"
	"redwingstage.org/standin/modeler"
	"redwingstage.org/standin/responder"
)

// generation is the request body of a chat or text completion.
type generation struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Priority            int             `json:"priority"`
	Stream              bool            `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Defaults and limits of a generation.
const (
	defaultTokens = 16
	maxTokens     = 32768
	// charsPerToken converts the length of a prompt into tokens.
	charsPerToken = 4
	// prefixChars is the length of the cached prefix of a text completion's prompt.
	prefixChars = 256
	// maxMarker bounds the last word of a prompt, which the output repeats.
	maxMarker = 64
)

func (s *Server) generate(ctx *fasthttp.RequestCtx, chat bool) {
	attempt := strings.Clone(string(ctx.Request.Header.Peek(marker.Attempt)))
	var g generation
	if err := json.Unmarshal(ctx.PostBody(), &g); err != nil {
		responder.Fail(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "body: "+err.Error())
		return
	}
	st, offset, refusal := s.open(ctx, g, attempt)
	if refusal != nil {
		responder.Fail(ctx, refusal.status, refusal.kind, refusal.text)
		return
	}
	id := st.identity
	if attempt != "" {
		id.attempt = attempt
	}
	answer, delay := s.faults.Take()
	switch answer {
	case faulter.Late:
		s.pause(delay)
	case faulter.Crossed:
		id = s.other(id)
	case faulter.Whole, faulter.Truncated, faulter.Doubled:
	}
	h := &ctx.Response.Header
	h.Set(marker.Attempt, id.attempt)
	h.Set(marker.Model, id.model)
	if resumed := ctx.Request.Header.Peek(marker.Resume); len(resumed) > 0 {
		h.SetBytesV(marker.Resume, resumed)
		h.Set(marker.Offset, strconv.Itoa(offset))
	}
	w := writer{id: id, chat: chat, answer: answer, created: time.Now().Unix()}
	if g.Stream {
		h.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(func(bw *bufio.Writer) { w.stream(bw, st, offset) })
		return
	}
	if st.waitEnd() != finished {
		responder.Fail(ctx, fasthttp.StatusInternalServerError, "engine_error", "generation failed")
		return
	}
	h.SetContentType("application/json")
	ctx.SetBody(w.whole(st))
	responder.Spoil(ctx, answer)
}

// pause waits for d or until the server is closed.
func (s *Server) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.closed:
	}
}

// refusal is an error response.
type refusal struct {
	status int
	kind   string
	text   string
}

// open submits a generation or finds the stream to resume.
func (s *Server) open(ctx *fasthttp.RequestCtx, g generation, attempt string) (*stream, int, *refusal) {
	if old := string(ctx.Request.Header.Peek(marker.Resume)); old != "" {
		return s.resume(old, string(ctx.Request.Header.Peek(marker.Offset)))
	}
	prompt, prefix := g.text()
	total := g.MaxTokens
	if total <= 0 {
		total = g.MaxCompletionTokens
	}
	if total <= 0 {
		total = defaultTokens
	}
	total = min(total, maxTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, 0, refusalOfEnd()
	}
	if attempt == "" {
		attempt = "direct." + strconv.Itoa(s.requests)
	}
	now := time.Now()
	r := modeler.Request{
		ID: attempt, Model: g.Model, Prompt: len(prompt)/charsPerToken + 1,
		Output: total, Priority: g.Priority,
	}
	if prefix != "" {
		r.Prefix, r.Shared = xxhash.Sum64String(prefix), len(prefix)/charsPerToken
	}
	if err := s.engine.Submit(now, r); err != nil {
		return nil, 0, refuse(err)
	}
	s.requests++
	s.departure.Count(now)
	st := newStream(identity{attempt: attempt, model: g.Model, marker: lastWord(prompt), total: total}, prompt)
	s.streams[attempt] = st
	s.last = st.identity
	s.wakeUp()
	return st, 0, nil
}

func (s *Server) resume(old, offset string) (*stream, int, *refusal) {
	n := 0
	if offset != "" {
		var err error
		if n, err = strconv.Atoi(offset); err != nil || n < 0 {
			return nil, 0, &refusal{fasthttp.StatusBadRequest, "invalid_request_error", marker.Offset + ": not a count"}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[old]
	if !ok {
		return nil, 0, &refusal{fasthttp.StatusNotFound, "not_found", "no stream of attempt " + old}
	}
	return st, n, nil
}

func refusalOfEnd() *refusal {
	return &refusal{fasthttp.StatusServiceUnavailable, "not_run", "engine is stopping"}
}

func refuse(err error) *refusal {
	var r *modeler.RefusedError
	if errors.As(err, &r) {
		switch r.Refusal {
		case modeler.NotResident:
			return &refusal{fasthttp.StatusNotFound, "not_found", err.Error()}
		case modeler.Full:
			return &refusal{fasthttp.StatusConflict, "full", err.Error()}
		case modeler.Busy:
			return &refusal{fasthttp.StatusConflict, "busy", err.Error()}
		case modeler.Duplicate:
			return &refusal{fasthttp.StatusConflict, "duplicate", err.Error()}
		case modeler.Cold:
		}
	}
	return &refusal{fasthttp.StatusServiceUnavailable, "not_run", err.Error()}
}

// other returns the identity for a crossed answer: that of the latest other request, or a made-up one.
func (s *Server) other(id identity) identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.attempt != id.attempt {
		return s.last
	}
	return identity{attempt: "crossed.0", model: "other@1", marker: "other", total: id.total}
}

// text returns the prompt and its cacheable prefix.
func (g generation) text() (prompt, prefix string) {
	if len(g.Messages) == 0 {
		prompt = plainText(g.Prompt)
		return prompt, prompt[:min(len(prompt), prefixChars)]
	}
	var b strings.Builder
	for i, m := range g.Messages {
		if i == len(g.Messages)-1 {
			prefix = b.String()
		}
		b.WriteString(plainText(m.Content))
		b.WriteByte('\n')
	}
	return b.String(), prefix
}

// plainText returns the text of a JSON string or of content parts, and other JSON unchanged.
func plainText(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err == nil {
		for _, p := range parts {
			text += p.Text
		}
		return text
	}
	return string(raw)
}

func lastWord(prompt string) string {
	fields := strings.Fields(prompt)
	if len(fields) == 0 {
		return "nothing"
	}
	w := fields[len(fields)-1]
	return strings.ToValidUTF8(w[:min(len(w), maxMarker)], "")
}
