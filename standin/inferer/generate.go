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

// completionRequest is the request body of a chat or text completion.
type completionRequest struct {
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
	defaultOutputTokens = 16
	maxOutputTokens     = 32768
	// bytesPerToken converts the length of a prompt into tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the cached prefix of a text completion's prompt.
	prefixBytes = 256
	// maxMarkerBytes bounds the last word of a prompt, which the output repeats.
	maxMarkerBytes = 64
)

func (s *Server) generate(ctx *fasthttp.RequestCtx, chat bool) {
	attempt := strings.Clone(string(ctx.Request.Header.Peek(marker.Attempt)))
	var req completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		responder.WriteError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "body: "+err.Error())
		return
	}
	st, offset, httpErr := s.openStream(ctx, req, attempt)
	if httpErr != nil {
		responder.WriteError(ctx, httpErr.status, httpErr.errType, httpErr.message)
		return
	}
	id := st.identity
	if attempt != "" {
		id.attempt = attempt
	}
	fault, delay := s.faults.NextAnswer()
	switch fault {
	case faulter.Late:
		s.pause(delay)
	case faulter.Misrouted:
		id = s.misroutedIdentity(id)
	case faulter.Unchanged, faulter.Truncated, faulter.Doubled:
	}
	h := &ctx.Response.Header
	h.Set(marker.Attempt, id.attempt)
	h.Set(marker.Model, id.model)
	if resumed := ctx.Request.Header.Peek(marker.ResumedAttempt); len(resumed) > 0 {
		h.SetBytesV(marker.ResumedAttempt, resumed)
		h.Set(marker.ResumeOffset, strconv.Itoa(offset))
	}
	w := answerWriter{id: id, chat: chat, fault: fault, created: time.Now().Unix()}
	if req.Stream {
		h.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(func(bw *bufio.Writer) { w.stream(bw, st, offset) })
		return
	}
	if st.waitEnd() != finished {
		responder.WriteError(ctx, fasthttp.StatusInternalServerError, "engine_error", "generation failed")
		return
	}
	h.SetContentType("application/json")
	ctx.SetBody(w.nonStreamingBody(st))
	responder.InjectAnswerFault(ctx, fault)
}

// pause waits for d or until the server is closed.
func (s *Server) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.closed:
	}
}

// httpError is an error response.
type httpError struct {
	status  int
	errType string
	message string
}

// openStream submits a generation or finds the stream to resume.
func (s *Server) openStream(ctx *fasthttp.RequestCtx, req completionRequest, attempt string) (*stream, int, *httpError) {
	if resumed := string(ctx.Request.Header.Peek(marker.ResumedAttempt)); resumed != "" {
		return s.resume(resumed, string(ctx.Request.Header.Peek(marker.ResumeOffset)))
	}
	prompt, prefix := req.promptText()
	outputTokens := req.MaxTokens
	if outputTokens <= 0 {
		outputTokens = req.MaxCompletionTokens
	}
	if outputTokens <= 0 {
		outputTokens = defaultOutputTokens
	}
	outputTokens = min(outputTokens, maxOutputTokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil, 0, stoppingError()
	}
	if attempt == "" {
		attempt = "direct." + strconv.Itoa(s.requests)
	}
	now := time.Now()
	r := modeler.Request{
		ID: attempt, Model: req.Model, PromptTokens: len(prompt)/bytesPerToken + 1,
		OutputTokens: outputTokens, Priority: req.Priority,
	}
	if prefix != "" {
		r.Prefix, r.PrefixTokens = xxhash.Sum64String(prefix), len(prefix)/bytesPerToken
	}
	if err := s.engine.Submit(now, r); err != nil {
		return nil, 0, toHTTPError(err)
	}
	s.requests++
	s.departure.RecordWork(now)
	st := newStream(identity{attempt: attempt, model: req.Model, marker: lastWord(prompt), totalTokens: outputTokens}, prompt)
	s.streams[attempt] = st
	s.lastRequest = st.identity
	s.wakeUp()
	return st, 0, nil
}

func (s *Server) resume(resumed, offset string) (*stream, int, *httpError) {
	n := 0
	if offset != "" {
		var err error
		if n, err = strconv.Atoi(offset); err != nil || n < 0 {
			return nil, 0, &httpError{fasthttp.StatusBadRequest, "invalid_request_error", marker.ResumeOffset + ": not a count"}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.streams[resumed]
	if !ok {
		return nil, 0, &httpError{fasthttp.StatusNotFound, "not_found", "no stream of attempt " + resumed}
	}
	return st, n, nil
}

func stoppingError() *httpError {
	return &httpError{fasthttp.StatusServiceUnavailable, "not_run", "engine is stopping"}
}

func toHTTPError(err error) *httpError {
	var r *modeler.RefusedError
	if errors.As(err, &r) {
		switch r.Reason {
		case modeler.NotResident:
			return &httpError{fasthttp.StatusNotFound, "not_found", err.Error()}
		case modeler.NoFreeSlot:
			return &httpError{fasthttp.StatusConflict, "full", err.Error()}
		case modeler.AdapterInUse:
			return &httpError{fasthttp.StatusConflict, "busy", err.Error()}
		case modeler.DuplicateRequest:
			return &httpError{fasthttp.StatusConflict, "duplicate", err.Error()}
		case modeler.Starting:
		}
	}
	return &httpError{fasthttp.StatusServiceUnavailable, "not_run", err.Error()}
}

// misroutedIdentity returns the identity of the latest request, or a placeholder if id is that request's.
func (s *Server) misroutedIdentity(id identity) identity {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastRequest.attempt != id.attempt {
		return s.lastRequest
	}
	return identity{attempt: "crossed.0", model: "other@1", marker: "other", totalTokens: id.totalTokens}
}

// promptText returns the prompt and its cacheable prefix.
func (req completionRequest) promptText() (prompt, prefix string) {
	if len(req.Messages) == 0 {
		prompt = plainText(req.Prompt)
		return prompt, prompt[:min(len(prompt), prefixBytes)]
	}
	var b strings.Builder
	for i, m := range req.Messages {
		if i == len(req.Messages)-1 {
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
	return strings.ToValidUTF8(w[:min(len(w), maxMarkerBytes)], "")
}
