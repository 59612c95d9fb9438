package receiver

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"redwingstage.org/serving/configurer"
	"redwingstage.org/serving/marker"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/stage/streamer"
)

const (
	anonymousCaller   = "anonymous"
	callerHashBytes   = 16
	maxIDBytes        = 128
	maxKeyBytes       = 256
	defaultTimeout    = 10 * time.Minute
	promptPrefixBytes = 1024
	servicePrefix     = "/services/"
)

// parseGenerationCall returns a copy of a generation request, and whether to stream its answer.
func (r *Receiver) parseGenerationCall(c fiber.Ctx, now time.Time) (*streamer.Request, bool, *problem) {
	catalog := r.awaitCatalog()
	if catalog == nil {
		return nil, false, notReady()
	}
	data := r.copyBytes(body(c))
	doc, p := parseGeneration(data)
	if p != nil {
		return nil, false, p
	}
	target, err := catalog.Resolve(doc.model)
	if err != nil {
		return nil, false, &problem{status: http.StatusNotFound, code: "model_not_found", param: "model", message: err.Error()}
	}
	req := &streamer.Request{
		Target: target, Kind: configurer.KindModel, Idempotent: true, Stream: true, MaxTokens: doc.maxTokens,
		Method: http.MethodPost, URI: r.copyString(c.Path()), Type: "application/json",
	}
	if p := r.setCommonFields(c, catalog, req, data, now); p != nil {
		return nil, false, p
	}
	req.Prefix = promptPrefixHash(doc)
	req.Body, err = doc.rewrite(target.String(), req.Urgent)
	if err != nil {
		return nil, false, badRequest("", err.Error())
	}
	return req, doc.stream, nil
}

// parseServiceCall returns a copy of a call to a plain service.
func (r *Receiver) parseServiceCall(c fiber.Ctx, now time.Time) (*streamer.Request, *problem) {
	catalog := r.awaitCatalog()
	if catalog == nil {
		return nil, notReady()
	}
	name := r.copyString(c.Params("name"))
	s, ok := catalog.Service(name)
	if !ok || s.Kind() != configurer.KindPlain {
		return nil, &problem{status: http.StatusNotFound, code: "service_not_found", message: fmt.Sprintf("no plain service named %q", name)}
	}
	uri := strings.TrimPrefix(r.copyString(c.OriginalURL()), servicePrefix+name)
	if !strings.HasPrefix(uri, "/") {
		uri = "/" + uri
	}
	path, _, _ := strings.Cut(uri, "?")
	if !isUnambiguousPath(path) {
		return nil, badRequest("", "the path has dot segments or encoded slashes, which services read differently")
	}
	method := r.copyString(c.Method())
	req := &streamer.Request{
		Target: configurer.Target{Service: name}, Kind: configurer.KindPlain, Idempotent: s.IsIdempotent(method, path),
		Method: method, URI: uri, Type: r.copyString(c.Get(fiber.HeaderContentType)),
		Accept: r.copyString(c.Get(fiber.HeaderAccept)), Body: r.copyBytes(body(c)),
	}
	if req.IsBooking() {
		key, p := r.idempotencyKey(c)
		if p != nil {
			return nil, p
		}
		req.Key = key
		c.Set(marker.IdempotencyKey, key)
	}
	if p := r.setCommonFields(c, catalog, req, req.Body, now); p != nil {
		return nil, p
	}
	return req, nil
}

// setCommonFields sets ID, caller, class, deadlines and digest.
func (r *Receiver) setCommonFields(c fiber.Ctx, catalog *configurer.Catalog, req *streamer.Request, body []byte, now time.Time) *problem {
	req.ID, req.Caller, req.Arrived = r.requestID(c), callerID(c), now
	c.Set(marker.RequestID, req.ID)
	class, err := catalog.ClassOf(req.Target, c.Get(marker.Class))
	if err != nil {
		return badRequest(marker.Class, err.Error())
	}
	req.Class, req.Urgent, req.Long = strings.Clone(class.Name()), class.IsUrgent(), class.IsLong()
	req.Deadline = now.Add(defaultTimeout)
	if class.FirstToken() > 0 {
		req.FirstTokenDeadline = now.Add(class.FirstToken())
	}
	if class.Total() > 0 {
		req.Deadline = now.Add(class.Total())
	}
	if s := c.Get(marker.Deadline); s != "" {
		deadline, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return badRequest(marker.Deadline, "the deadline is not a time of RFC 3339: "+err.Error())
		}
		if !deadline.After(now) {
			return &problem{status: http.StatusGatewayTimeout, code: "deadline", param: marker.Deadline, message: "the deadline has passed"}
		}
		req.Deadline = deadline
	}
	req.Digest = requestDigest(req, body)
	return nil
}

func (r *Receiver) requestID(c fiber.Ctx) string {
	id := c.Get(marker.RequestID)
	if id != "" && len(id) <= maxIDBytes && isVisibleASCII(id) {
		return r.copyString(id)
	}
	return fmt.Sprintf("%s.%x.%x", r.cfg.Entry, r.cfg.Incarnation, r.lastRequestID.Add(1))
}

// copyString copies s, since the HTTP library reads the connection's next request into the same buffer.
func (r *Receiver) copyString(s string) string {
	if r.keepBuffers {
		return s
	}
	return strings.Clone(s)
}

// copyBytes is copyString for a body.
func (r *Receiver) copyBytes(b []byte) []byte {
	if r.keepBuffers {
		return b
	}
	return append([]byte{}, b...)
}

// callerID identifies the caller by a hash of its token, so that no secret is kept or logged.
func callerID(c fiber.Ctx) string {
	token, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || token == "" {
		return anonymousCaller
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:callerHashBytes])
}

// idempotencyKey returns the call's key or a random one.
func (r *Receiver) idempotencyKey(c fiber.Ctx) (string, *problem) {
	key := c.Get(marker.IdempotencyKey)
	if key == "" {
		return rand.Text(), nil
	}
	if len(key) > maxKeyBytes || !isVisibleASCII(key) {
		return "", badRequest(marker.IdempotencyKey, fmt.Sprintf("the key is longer than %d bytes or not printable ASCII", maxKeyBytes))
	}
	return r.copyString(key), nil
}

func requestDigest(req *streamer.Request, body []byte) quarantiner.Digest {
	h := sha256.New()
	for _, s := range []string{req.Caller, req.Target.Service, req.Target.String(), req.Method, req.URI} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(s), s)
	}
	_, _ = h.Write(body)
	var d quarantiner.Digest
	copy(d[:], h.Sum(nil))
	return d
}

func promptPrefixHash(doc generationDoc) uint64 {
	return xxhash.Sum64(doc.prompt[:min(len(doc.prompt), promptPrefixBytes)])
}

// isUnambiguousPath reports whether all servers see the same segments, by which idempotency is declared.
func isUnambiguousPath(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		s, err := url.PathUnescape(segment)
		if err != nil || s == "." || s == ".." || strings.ContainsAny(s, `/\`) {
			return false
		}
	}
	return true
}

func isVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

func badRequest(param, message string) *problem {
	return &problem{status: http.StatusBadRequest, code: "bad_request", param: param, message: message}
}

func notReady() *problem {
	return &problem{status: http.StatusServiceUnavailable, code: "not_ready", message: "this entry has no configuration yet", retryAfter: minRetryAfter}
}
