package logger

import (
	"io"
	"time"

	"github.com/phuslu/log"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes JSON lines for all components.
type Logger struct{ log *log.Logger }

// New returns a logger that writes to w from a level up, such as "info".
func New(w io.Writer, level string) *Logger {
	return &Logger{log: &log.Logger{
		Level: log.ParseLevel(level), TimeFormat: timeFormat, Writer: &log.IOWriter{Writer: w},
	}}
}

// Base returns the underlying logger, for components' own lines.
func (l *Logger) Base() *log.Logger { return l.log }

// Component returns a component's logger; its name prefixes every message.
func (l *Logger) Component(name string) *Component {
	return &Component{
		log: l.log, prefix: name + ": ",
		requests: lineQuota{perSecond: requestLinesPerSecond}, attempts: lineQuota{perSecond: attemptLinesPerSecond},
		late: lineQuota{perSecond: lateLinesPerSecond}, orders: lineQuota{perSecond: orderLinesPerSecond},
		loads: lineQuota{perSecond: orderLinesPerSecond}, refusals: lineQuota{perSecond: refusalLinesPerSecond},
		rooms: lineQuota{perSecond: roomLinesPerSecond}, calls: lineQuota{perSecond: callLinesPerSecond},
		documents: lineQuota{perSecond: callLinesPerSecond},
		writes:    lineQuota{perSecond: writeLinesPerSecond}, library: lineQuota{perSecond: libraryLinesPerSecond},
	}
}

// Component is a component's logger; lines on requests, attempts, orders and loads are rate-limited by kind.
type Component struct {
	log       *log.Logger
	prefix    string
	requests  lineQuota
	attempts  lineQuota
	late      lineQuota
	orders    lineQuota
	loads     lineQuota
	refusals  lineQuota
	rooms     lineQuota
	calls     lineQuota
	documents lineQuota
	writes    lineQuota
	library   lineQuota
}

// RequestTiming is the latency breakdown of a request.
type RequestTiming struct {
	Server string
	Model  string
	// Account is the name of the request's client account, "" if it has none.
	Account string
	Basis   Basis
	// Reason is the phase that took too long.
	Reason string
	// Wait ends when the last server is chosen, First at its response's first byte; Gap is the longest pause after it.
	Wait, First, Gap time.Duration
	// Running is this process's requests in flight at the server, Sends the servers that got the request.
	Running, Sends int
}

// withDropped adds the number of dropped lines of the same kind.
func withDropped(e *log.Entry, dropped int) *log.Entry {
	if dropped > 0 {
		e = e.Int("left_out", dropped)
	}
	return e
}

// Info logs a normal event; subject, if not empty, names the affected object.
func (c *Component) Info(msg, subject string) { c.write(c.log.Info(), msg, subject) }

// Warn logs a condition that an operator may want to check.
func (c *Component) Warn(msg, subject string) { c.write(c.log.Warn(), msg, subject) }

// Error logs a failure with its cause.
func (c *Component) Error(msg string, err error) { c.log.Error().Err(err).Msg(c.prefix + msg) }

// Request is a request that has ended.
type Request struct {
	ID string
	// Account is the name of its client account, "" if it has none.
	Account, Model  string
	Outcome, Reason string
	Status          int
	Basis           Basis
}

// Basis is what an entry decided a request by.
type Basis struct {
	// Version is that of the operator's document, 0 if there was none.
	Version uint64
	// LeaderAge is how long before that the leader was known to have served the entry, negative if never.
	LeaderAge time.Duration
}

// withBasis adds what a request was decided by, if that is known.
func withBasis(e *log.Entry, b Basis) *log.Entry {
	switch {
	case b == Basis{}:
		return e
	case b.LeaderAge < 0:
		return e.Uint64("version", b.Version).Int64("leader_ms", -1)
	}
	return e.Uint64("version", b.Version).Int64("leader_ms", b.LeaderAge.Milliseconds())
}

// Request logs the end of a request.
func (c *Component) Request(r Request) {
	dropped, ok := c.requests.allow(time.Now())
	if !ok {
		return
	}
	e := withAccount(withDropped(c.log.Info(), dropped).Str("request", r.ID), r.Account).Str("model", r.Model).Str("outcome", r.Outcome).
		Str("reason", r.Reason).Int("status", r.Status)
	withBasis(e, r.Basis).Msg(c.prefix + "request ended")
}

// withAccount adds the name of a client account if there is one.
func withAccount(e *log.Entry, account string) *log.Entry {
	if account != "" {
		e = e.Str("account", account)
	}
	return e
}

// LateRequest logs a complete response that exceeded its route's latency target.
func (c *Component) LateRequest(id string, t RequestTiming) {
	dropped, ok := c.late.allow(time.Now())
	if !ok {
		return
	}
	e := withAccount(withDropped(c.log.Info(), dropped).Str("request", id), t.Account).Str("model", t.Model).Str("server", t.Server).Str("reason", t.Reason).
		Int64("wait_ms", t.Wait.Milliseconds()).Int64("first_ms", t.First.Milliseconds()).Int64("gap_ms", t.Gap.Milliseconds()).
		Int("running", t.Running).Int("sends", t.Sends)
	withBasis(e, t.Basis).Msg(c.prefix + "request served late")
}

// Room logs a decision on a request that engines have no room for; both sizes are in tokens.
func (c *Component) Room(id, model, decision string, memory, capacity int) {
	dropped, ok := c.rooms.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Info(), dropped).Str("request", id).Str("model", model).Str("decision", decision).Int("memory", memory).
		Int("capacity", capacity).Msg(c.prefix + "engines have no room for a request")
}

func (c *Component) write(e *log.Entry, msg, subject string) {
	if subject != "" {
		e = e.Str("subject", subject)
	}
	e.Msg(c.prefix + msg)
}

// Order logs an order to an engine and its result.
func (c *Component) Order(engine, adapter string, load bool, result int, expectedOrders uint64, err error) {
	dropped, ok := c.orders.allow(time.Now())
	if !ok {
		return
	}
	e := c.log.Info()
	if err != nil {
		e = c.log.Error().Err(err)
	}
	withDropped(e, dropped).Str("engine", engine).Str("adapter", adapter).Bool("load", load).Int("verdict", result).
		Uint64("expected", expectedOrders).Msg(c.prefix + "order answered")
}

// Attempt is a finished attempt of a request at a backend server.
type Attempt struct {
	Server string
	// Outcome is one word, Reason the cause; Status is the server's HTTP status or 0.
	Outcome, Reason string
	Status          int
	// In streams, After is the last event that the caller had before; First and Last are this attempt's events.
	After, First, Last string
	// Framing is how the end of the response's body shows, "" if none was read.
	Framing string
	// Software is the software version of the server; TakeUp is how the one that began a stream was known, "" if no caller took one up.
	Software, TakeUp string
	Duration         time.Duration
	Basis            Basis
}

// Attempt logs an attempt that got no response, that resumed a stream, or whose response ended with its connection.
func (c *Component) Attempt(id string, a Attempt) {
	dropped, ok := c.attempts.allow(time.Now())
	if !ok {
		return
	}
	e := withDropped(c.log.Info(), dropped).Str("request", id).Str("server", a.Server).Str("outcome", a.Outcome).Str("reason", a.Reason).
		Int("status", a.Status)
	if a.After != "" || a.Last != "" {
		e = e.Str("after", a.After).Str("first", a.First).Str("last", a.Last)
	}
	if a.Framing != "" {
		e = e.Str("framing", a.Framing)
	}
	if a.Software != "" {
		e = e.Str("software", a.Software)
	}
	if a.TakeUp != "" {
		e = e.Str("take_up", a.TakeUp)
	}
	withBasis(e.Int64("ms", a.Duration.Milliseconds()), a.Basis).Msg(c.prefix + "attempt ended")
}

// Document logs that a version of the operator's document is in force here.
func (c *Component) Document(version uint64) {
	c.log.Info().Uint64("version", version).Msg(c.prefix + "document is in force")
}

// Software logs a software version of a service's servers that wasn't recorded before.
func (c *Component) Software(service, version string) {
	c.log.Info().Str("service", service).Str("software", version).Msg(c.prefix + "software version is recorded")
}

// DocumentUnconfirmed logs that the leader hasn't confirmed for some time which version of the operator's document is in force.
func (c *Component) DocumentUnconfirmed(version uint64, age time.Duration) {
	c.log.Warn().Uint64("version", version).Int64("leader_ms", age.Milliseconds()).Msg(c.prefix + "the document in force is unconfirmed")
}

// DocumentConfirmed logs that the leader has confirmed the version in force again.
func (c *Component) DocumentConfirmed(version uint64) {
	c.log.Info().Uint64("version", version).Msg(c.prefix + "the document in force is confirmed again")
}

// CrashCounted logs that a backend server's end counts against requests and parts that were in flight; highest is the
// greatest number of ends that any of them has now.
func (c *Component) CrashCounted(server string, digests, highest int) {
	c.log.Info().Str("server", server).Int("digests", digests).Int("highest", highest).
		Msg(c.prefix + "a backend server's end counts against what was in flight")
}

// Placement is what delays the requests that wait for adapters.
type Placement struct {
	Wants, Copies, Fetches, FetchLimit int
	// Slots are the adapters that all engines may hold; InUse, Idle and Distinct are those that they hold.
	Slots, InUse, Idle, Distinct int
	// Planning is the time spent on plans since the last of these lines.
	Planning time.Duration
}

// PendingPlacement logs why requested adapters aren't loaded yet.
func (c *Component) PendingPlacement(p Placement) {
	c.log.Info().Int("wants", p.Wants).Int("copies", p.Copies).Int("fetches", p.Fetches).Int("bound", p.FetchLimit).
		Int("places", p.Slots).Int("in_use", p.InUse).Int("idle", p.Idle).Int("distinct", p.Distinct).
		Int64("planning_ms", p.Planning.Milliseconds()).Msg(c.prefix + "adapters are waited for")
}

// LoadResult is a finished load of an adapter.
type LoadResult struct {
	Engine, Adapter, Evicted string
	// Cause is why it was ordered, Outcome its result.
	Cause, Outcome string
	// WasRecentlyLoaded reports that the adapter was loaded there lately.
	WasRecentlyLoaded bool
	// Waited is the time from first request to order, Duration from acceptance to the end.
	Waited, Duration time.Duration
}

// LoadEnded logs the end of a load.
func (c *Component) LoadEnded(l LoadResult) {
	dropped, ok := c.loads.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Info(), dropped).Str("engine", l.Engine).Str("adapter", l.Adapter).Str("victim", l.Evicted).
		Str("cause", l.Cause).Str("outcome", l.Outcome).Bool("recent", l.WasRecentlyLoaded).
		Int64("waited_ms", l.Waited.Milliseconds()).Int64("ms", l.Duration.Milliseconds()).Msg(c.prefix + "load ended")
}

// QuotaRefused logs a request that its account's quota has no room for: what it needs, what is missing here, and the time
// after which the caller was told to come back.
func (c *Component) QuotaRefused(id, account string, need, missing float64, wait time.Duration) {
	dropped, ok := c.refusals.allow(time.Now())
	if !ok {
		return
	}
	withDropped(c.log.Info(), dropped).Str("request", id).Str("account", account).Float64("need", need).Float64("missing", missing).
		Int64("wait_ms", wait.Milliseconds()).Msg(c.prefix + "request exceeds the account's quota")
}

// QuotaGranted logs what the leader gave out of an account's quota since the last line, what it has left, and the number of
// entries that ask for more.
func (c *Component) QuotaGranted(account string, granted, left float64, unmet int, scarce bool) {
	c.log.Info().Str("account", account).Float64("granted", granted).Float64("left", left).Int("unmet", unmet).Bool("scarce", scarce).
		Msg(c.prefix + "quota is short")
}
