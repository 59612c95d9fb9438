package governor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingstage.org/serving/limiter"
	"redwingstage.org/serving/matcher"
)

const (
	// quotaEvery is the shortest time between two distributions of quotas, quotaLogEvery that between two log lines on them.
	quotaEvery    = 10 * time.Millisecond
	quotaLogEvery = time.Second
	// maxQuotaLines bounds the lines that are logged every quotaLogEvery.
	maxQuotaLines = 20
	// liveTime is how long after its last message an entry counts as live; entries send heartbeats every sessionHeartbeatEvery.
	liveTime = time.Second
	// quotaScale is the number of the messages' units in a quota's unit.
	quotaScale = 1000
)

// QuotaReport is an entry's or a relay's report on client accounts' quotas.
type QuotaReport struct {
	Demands []QuotaDemand `cbor:"1,keyasint,omitempty"`
	// Entries is the number of entries that the sender takes quotas to be shared by, if a new leader may not know all of them.
	Entries int `cbor:"2,keyasint,omitempty"`
	// Live is the number of a relay's entries that it heard of lately, if that changed.
	Live *int `cbor:"3,keyasint,omitempty"`
}

// QuotaDemand is an entry's demand of an account's quota; amounts are in thousandths of the quota's unit.
type QuotaDemand struct {
	Account string `cbor:"1,keyasint"`
	Seq     uint32 `cbor:"2,keyasint"`
	Level   int64  `cbor:"3,keyasint,omitempty"`
	Want    int64  `cbor:"4,keyasint,omitempty"`
	Must    int64  `cbor:"5,keyasint,omitempty"`
	// Entry identifies the entry's session at its relay, set by the relay.
	Entry uint64 `cbor:"6,keyasint,omitempty"`
}

// NewQuotaDemand returns the message form of a demand.
func NewQuotaDemand(d limiter.Demand) QuotaDemand {
	return QuotaDemand{Account: d.Account, Seq: d.Seq, Level: scaleQuota(d.Level), Want: scaleQuota(d.Want), Must: scaleQuota(d.Must)}
}

func (d QuotaDemand) demand() limiter.Demand {
	return limiter.Demand{
		Account: d.Account, Seq: d.Seq, Level: float64(d.Level) / quotaScale, Want: float64(d.Want) / quotaScale, Must: float64(d.Must) / quotaScale,
	}
}

// QuotaUpdate is the leader's state of quotas and what it gives out.
type QuotaUpdate struct {
	// Entries is the number of entries that share quotas, 0 if the message has only additions; Epoch is the leader's.
	Entries int    `cbor:"1,keyasint,omitempty"`
	Epoch   uint64 `cbor:"2,keyasint,omitempty"`
	// Scarce are the accounts whose entries are too much in debt.
	Scarce    []string        `cbor:"3,keyasint,omitempty"`
	Additions []QuotaAddition `cbor:"4,keyasint,omitempty"`
}

// QuotaAddition is the answer to a demand; the amount is in thousandths of the quota's unit.
type QuotaAddition struct {
	Account     string `cbor:"1,keyasint"`
	Seq         uint32 `cbor:"2,keyasint"`
	Thousandths int64  `cbor:"3,keyasint"`
	// Entry identifies the entry's session at its relay; entries get it without.
	Entry uint64 `cbor:"4,keyasint,omitempty"`
}

// Amount returns the amount in the quota's unit.
func (a QuotaAddition) Amount() float64 { return float64(a.Thousandths) / quotaScale }

// scaleQuota returns an amount in thousandths, within what the message can carry.
func scaleQuota(amount float64) int64 {
	return int64(math.Round(min(max(amount*quotaScale, math.MinInt64/2), math.MaxInt64/2)))
}

// leaderQuotas is the leader's part of the quotas.
type leaderQuotas struct {
	pool       *limiter.Pool
	nextAt     time.Time
	loggedAt   time.Time
	accounts   []*matcher.Account
	configured bool
	// entries and scarce are the latest announcement.
	entries int
	scarce  []string
}

// newLeaderQuotas begins with an empty pool; entries is the number that the last leader announced, or 0.
func newLeaderQuotas(now time.Time, b limiter.Bounds, t *matcher.Table, entries int) *leaderQuotas {
	q := &leaderQuotas{pool: limiter.NewPool(b), loggedAt: now}
	q.pool.Hold(now, entries)
	q.configure(t)
	return q
}

// configure sets the accounts of a table, nil if there is none; the next distribution applies it.
func (q *leaderQuotas) configure(t *matcher.Table) {
	if t != nil {
		q.accounts, q.configured = t.Accounts(), true
	}
}

// applyQuotaReport applies a relay's report.
func (h *hub) applyQuotaReport(now time.Time, s *session, r *QuotaReport) {
	if r == nil {
		return
	}
	pool := h.leader.quotas.pool
	if r.Live != nil {
		s.live = *r.Live
	}
	pool.Hold(now, r.Entries)
	for _, d := range r.Demands {
		pool.Report(now, limiter.EntryID{Relay: s.hello.Replica, Entry: d.Entry}, d.demand())
	}
}

// distributeQuotas sends additions and announcements that are due; it returns the wait until the next ones, or 0.
func (h *hub) distributeQuotas(now time.Time) time.Duration {
	if h.leader == nil {
		return 0
	}
	q := h.leader.quotas
	if q.configured {
		q.pool.Configure(now, q.accounts)
		q.configured = false
	}
	if q.pool.IsEmpty() {
		return 0
	}
	if wait := q.nextAt.Sub(now); wait > 0 {
		return wait
	}
	q.nextAt = now.Add(quotaEvery)
	q.pool.SetEntries(now, h.entries, h.liveEntries(now))
	h.sendAdditions(q.pool.Distribute(now))
	if entries, scarce, changed := q.pool.Announcement(now); changed {
		q.entries, q.scarce = entries, scarce
		if d := h.quotaAnnouncement(); d != nil {
			h.broadcast(DownMessage{Quotas: d})
		}
	}
	return 0
}

// quotaAnnouncement returns the latest announcement, nil if there is none.
func (h *hub) quotaAnnouncement() *QuotaUpdate {
	q := h.leader.quotas
	if q.entries == 0 {
		return nil
	}
	return &QuotaUpdate{Entries: q.entries, Epoch: h.leader.leaderEpoch, Scarce: q.scarce}
}

// liveEntries returns the number of entries that relays with which the leader has contact heard of lately.
func (h *hub) liveEntries(now time.Time) int {
	n := 0
	for s := range h.relaySessions {
		if s == h.ownSession || now.Sub(s.lastReceived) <= liveTime {
			n += s.live
		}
	}
	return n
}

// sendAdditions sends each relay the additions of its entries.
func (h *hub) sendAdditions(list []limiter.Addition) {
	if len(list) == 0 {
		return
	}
	byRelay := make(map[uint64][]QuotaAddition)
	for _, a := range list {
		h.metrics.granted.WithLabelValues(a.Account).Add(a.Amount)
		byRelay[a.Entry.Relay] = append(byRelay[a.Entry.Relay], QuotaAddition{
			Account: a.Account, Seq: a.Seq, Thousandths: scaleQuota(a.Amount), Entry: a.Entry.Entry,
		})
	}
	for s := range h.relaySessions {
		d := DownMessage{Quotas: &QuotaUpdate{Additions: byRelay[s.hello.Replica]}}
		switch {
		case len(d.Quotas.Additions) == 0:
		case s == h.ownSession:
			h.relay.apply(&d)
		default:
			h.send(s, d)
		}
	}
}

// logQuotas logs the accounts whose entries ask for more than there is.
func (h *hub) logQuotas(now time.Time) {
	q := h.leader.quotas
	if now.Sub(q.loggedAt) < quotaLogEvery {
		return
	}
	q.loggedAt = now
	lines := 0
	for _, s := range q.pool.TakeStatus() {
		if (s.Scarce || s.Unmet > 0) && lines < maxQuotaLines {
			lines++
			h.log.QuotaGranted(s.Account, s.Granted, s.Level, s.Unmet, s.Scarce)
		}
	}
}

// relayQuotas is a relay's part of the quotas.
type relayQuotas struct {
	lastID   uint64
	sessions map[uint64]*session
	// demands are the latest by entry and account that the leader doesn't have yet, entries the number that it must be told.
	demands map[demandKey]QuotaDemand
	entries int
	// live is the number of entries that were heard of lately, sentLive the one that the leader has. They are counted if
	// isUsed: the leader has announced quotas.
	live, sentLive int
	isUsed         bool
}

type demandKey struct {
	entry   uint64
	account string
}

func newRelayQuotas() relayQuotas { return relayQuotas{sessions: make(map[uint64]*session)} }

func (q *relayQuotas) clearReport() {
	q.demands, q.entries = make(map[demandKey]QuotaDemand), 0
}

// restart makes the next report complete, for another leader; entries is the number of the last announcement.
func (q *relayQuotas) restart(entries int) {
	q.sentLive, q.entries = 0, max(q.entries, entries)
}

func (q *relayQuotas) add(s *session) {
	q.lastID++
	s.id = q.lastID
	q.sessions[s.id] = s
}

func (q *relayQuotas) remove(s *session) { delete(q.sessions, s.id) }

// receive adds an entry's report.
func (q *relayQuotas) receive(s *session, r *QuotaReport) {
	if r == nil {
		return
	}
	q.entries = max(q.entries, r.Entries)
	for _, d := range r.Demands {
		d.Entry = s.id
		k := demandKey{s.id, d.Account}
		if _, ok := q.demands[k]; ok || len(q.demands) < maxPendingRequests {
			q.demands[k] = d
		}
	}
}

func (q *relayQuotas) countLive(now time.Time, sessions map[*session]bool) {
	if !q.isUsed {
		return
	}
	q.live = 0
	for s := range sessions {
		if now.Sub(s.lastReceived) <= liveTime {
			q.live++
		}
	}
}

func (q *relayQuotas) isDue() bool {
	return len(q.demands) > 0 || q.entries > 0 || q.live != q.sentLive
}

// report returns the report that is due, nil if there is none.
func (q *relayQuotas) report() *QuotaReport {
	if !q.isDue() {
		return nil
	}
	r := &QuotaReport{Entries: q.entries}
	if q.live != q.sentLive {
		live := q.live
		r.Live, q.sentLive = &live, live
	}
	for _, d := range q.demands {
		r.Demands = append(r.Demands, d)
	}
	slices.SortFunc(r.Demands, func(x, y QuotaDemand) int {
		return cmp.Or(cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Account, y.Account))
	})
	return r
}

// applyQuotas passes each entry its own additions.
func (r *relay) applyQuotas(u *QuotaUpdate) {
	r.quotas.isUsed = r.quotas.isUsed || u.Entries > 0
	byEntry := make(map[uint64][]QuotaAddition)
	for _, a := range u.Additions {
		id := a.Entry
		a.Entry = 0
		byEntry[id] = append(byEntry[id], a)
	}
	for id, additions := range byEntry {
		if s := r.quotas.sessions[id]; s != nil {
			r.send(s, DownMessage{Quotas: &QuotaUpdate{Additions: additions}}, "quotas")
		}
	}
}
