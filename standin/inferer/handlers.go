package inferer

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"redwingstage.org/serving/marker"
	"redwingstage.org/standin/modeler"
	"redwingstage.org/standin/responder"
)

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	ctx.Response.Header.Set(marker.Incarnation, s.incarnation)
	s.mu.Unlock()
	if a := ctx.Request.Header.Peek(marker.Attempt); len(a) > 0 {
		ctx.Response.Header.SetBytesV(marker.Attempt, a)
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "POST /v1/chat/completions":
		s.generate(ctx, true)
	case "POST /v1/completions":
		s.generate(ctx, false)
	case "POST /v1/cancel":
		s.cancelAttempt(ctx)
	case "POST /v1/load_lora_adapter":
		s.adapterCommand(ctx, s.load)
	case "POST /v1/unload_lora_adapter":
		s.adapterCommand(ctx, s.unload)
	case "GET /v1/models":
		s.models(ctx)
	case "GET /load":
		s.loadReport(ctx)
	case "GET /v1/cache/events":
		s.cacheEvents(ctx)
	case "GET /health":
		s.health(ctx)
	case "GET /stats":
		s.stats(ctx)
	default:
		if !responder.ServeAdmin(ctx, s) {
			responder.WriteError(ctx, fasthttp.StatusNotFound, "not_found", "no such call")
		}
	}
}

func (s *Server) cancelAttempt(ctx *fasthttp.RequestCtx) {
	var body struct {
		Attempt string `json:"attempt"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.Attempt == "" {
		responder.WriteError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "attempt: missing")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.Cancel(time.Now(), body.Attempt) {
		s.streams[body.Attempt].end(failed)
		delete(s.streams, body.Attempt)
	}
	responder.WriteJSON(ctx, struct{}{})
}

// adapterCommand checks the fence number and adapter name of a load or unload command, then runs it.
func (s *Server) adapterCommand(ctx *fasthttp.RequestCtx, run func(*fasthttp.RequestCtx, string)) {
	var body struct {
		Name string `json:"lora_name"`
		Path string `json:"lora_path"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.Name == "" {
		responder.WriteError(ctx, fasthttp.StatusBadRequest, "invalid_request_error", "lora_name: missing")
		return
	}
	if !s.checkFence(string(ctx.Request.Header.Peek(marker.FencingEpoch))) {
		responder.WriteErrorCode(ctx, fasthttp.StatusConflict, "fence", "old_fence", "the fence number is older than one seen before")
		return
	}
	run(ctx, body.Name)
}

// checkFence stores a fence number and reports whether it is current; an engine without fencing accepts any.
func (s *Server) checkFence(header string) bool {
	if !s.cfg.Fenced {
		return true
	}
	n, err := strconv.ParseUint(header, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || n < s.highestFence {
		return false
	}
	s.highestFence = n
	return true
}

func (s *Server) load(ctx *fasthttp.RequestCtx, model string) {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		r := stoppingError()
		responder.WriteError(ctx, r.status, r.errType, r.message)
		return
	}
	if err := s.engine.Load(time.Now(), model); err != nil {
		s.mu.Unlock()
		r := toHTTPError(err)
		responder.WriteError(ctx, r.status, r.errType, r.message)
		return
	}
	ch := make(chan bool, 1)
	s.loadWaiters[model] = append(s.loadWaiters[model], ch)
	s.mu.Unlock()
	s.wakeUp()
	if !<-ch {
		responder.WriteError(ctx, fasthttp.StatusInternalServerError, "load_failed", "the weights could not be loaded")
	}
}

func (s *Server) unload(ctx *fasthttp.RequestCtx, model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.engine.IsResident(model) || model == s.cfg.Service {
		return
	}
	if err := s.engine.Unload(time.Now(), model); err != nil {
		r := toHTTPError(err)
		responder.WriteError(ctx, r.status, r.errType, r.message)
	}
	s.wakeUp()
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
		Parent string `json:"parent,omitempty"`
	}
	list := []model{{ID: s.cfg.Service, Object: "model"}}
	s.mu.Lock()
	for _, name := range s.engine.Residents() {
		list = append(list, model{ID: name, Object: "model", Parent: s.cfg.Service})
	}
	s.mu.Unlock()
	responder.WriteJSON(ctx, struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.IsCold(time.Now()) {
		responder.WriteError(ctx, fasthttp.StatusServiceUnavailable, "not_run", "engine is starting")
	}
}

func (s *Server) stats(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	responder.WriteJSON(ctx, struct {
		Requests int `json:"requests"`
		Evicted  int `json:"evicted"`
		Late     int `json:"late"`
	}{s.requests, s.engine.EvictedRequests(), s.departure.LateCount()})
}

// loadSample is the load at one time.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

func (s *Server) addSample(now time.Time) {
	s.samples = append(s.samples, loadSample{at: now, running: s.engine.RunningRequests(), waiting: s.engine.WaitingRequests()})
	cutoff := now.Add(-s.cfg.LoadReportLag)
	for len(s.samples) > 1 && !s.samples[1].at.After(cutoff) {
		s.samples = s.samples[1:]
	}
}

func (s *Server) loadReport(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var shown loadSample
	for _, l := range s.samples {
		if l.at.After(now.Add(-s.cfg.LoadReportLag)) {
			break
		}
		shown = l
	}
	responder.WriteJSON(ctx, struct {
		Incarnation string   `json:"incarnation"`
		Running     int      `json:"running"`
		Waiting     int      `json:"waiting"`
		Resident    []string `json:"resident"`
		Serving     []string `json:"serving"`
		Leaving     bool     `json:"leaving"`
		AgeMS       int64    `json:"age_ms"`
	}{
		s.incarnation, shown.running, shown.waiting, s.engine.Residents(), s.servingAdapters(),
		s.departure.IsLeaving() && !s.faults.Faults().HideLeave, s.cfg.LoadReportLag.Milliseconds(),
	})
}

func (s *Server) servingAdapters() []string {
	list := make([]string, 0, s.engine.Slots())
	for _, m := range s.engine.ModelsInUse() {
		if m != s.cfg.Service {
			list = append(list, m)
		}
	}
	return list
}

// cacheEvent is a change of the prefix cache, reported from visibleAt on.
type cacheEvent struct {
	Seq       uint64 `json:"seq"`
	Prefix    string `json:"prefix"`
	Op        string `json:"op"`
	visibleAt time.Time
}

// maxCacheEvents is the number of cache events that are retained.
const maxCacheEvents = 1024

func (s *Server) addCacheEvent(ev modeler.Event, op string) {
	s.cacheSeq++
	if s.cacheSeq%uint64(s.cfg.CacheLossEvery) == 0 {
		return
	}
	s.cacheLog = append(s.cacheLog, cacheEvent{
		Seq: s.cacheSeq, Prefix: strconv.FormatUint(ev.Prefix, 16), Op: op, visibleAt: ev.At.Add(s.cfg.CacheLag),
	})
	s.cacheLog = s.cacheLog[max(0, len(s.cacheLog)-maxCacheEvents):]
}

func (s *Server) cacheEvents(ctx *fasthttp.RequestCtx) {
	after := uint64(ctx.QueryArgs().GetUintOrZero("after"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := make([]cacheEvent, 0, len(s.cacheLog))
	for _, ev := range s.cacheLog {
		if ev.Seq > after && !now.Before(ev.visibleAt) {
			list = append(list, ev)
		}
	}
	responder.WriteJSON(ctx, struct {
		Events []cacheEvent `json:"events"`
	}{list})
}
