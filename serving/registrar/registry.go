package registrar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"redwingstage.org/coord/leaser"
	"redwingstage.org/serving/configurer"
)

const (
	// defaultServerTTL is how long a backend server stays listed after its last announcement.
	defaultServerTTL = 5 * time.Second
	// orderDelay is the wait before a new owner's first order when the previous one may have sent some just before.
	orderDelay = time.Second
	// maxMoves limits how many backend servers change owner for balance at one time.
	maxMoves = 4
	// maxServers limits the listed backend servers.
	maxServers = 4096
	// maxFieldBytes limits each string of an announcement.
	maxFieldBytes = 128
)

// Claim is an entry's report of a server that it owns since an earlier leader.
type Claim struct {
	Server string
	Epoch  uint64
}

// Registry tracks live entries and backend servers for one control leader and assigns owners; callers pass the time.
type Registry struct {
	granter    *leaser.Granter
	members    map[string]*member
	servers    map[string]*serverState
	ownerships map[string]*ownership
	moves      map[string]*move
	drains     map[string]bool
	dirty      map[string]bool
	serverTTL  time.Duration
	// balanced means that every server has an owner and none is to be moved, as of the last change.
	balanced bool
}

// member is an entry with a lease, keyed by its holder name.
type member struct {
	entry Entry
	acked uint64
	// leaving means that the entry releases its servers and takes no more.
	leaving bool
}

// serverState is a listed server and the time of its last announcement.
type serverState struct {
	server   Server
	lastSeen time.Time
}

// ownership holds the roster's fields of an owner that are not in its grant.
type ownership struct {
	clean bool
	// prevHolder is the previous owner, under prevEpoch.
	prevHolder string
	prevEpoch  uint64
	pinned     []configurer.Target
	orderAfter time.Duration
}

// move is the revocation of a backend server from an owner that has not yet acknowledged it.
type move struct {
	from string
	// revision is the first roster revision without the owner, or 0 until it is published.
	revision uint64
}

// Option configures a Registry.
type Option func(*Registry)

// WithServerTTL sets how long a backend server stays listed after its last announcement.
func WithServerTTL(d time.Duration) Option { return func(r *Registry) { r.serverTTL = d } }

// New returns an empty registry of a leader whose leases granter keeps.
func New(granter *leaser.Granter, opts ...Option) *Registry {
	r := &Registry{
		granter:    granter,
		members:    make(map[string]*member),
		servers:    make(map[string]*serverState),
		ownerships: make(map[string]*ownership),
		moves:      make(map[string]*move),
		drains:     make(map[string]bool),
		dirty:      make(map[string]bool),
		serverTTL:  defaultServerTTL,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Holder returns the lease holder name of an entry's process.
func Holder(name string, incarnation uint64) string { return fmt.Sprintf("%s#%d", name, incarnation) }

// Join starts or renews the lease of an entry.
func (r *Registry) Join(now time.Time, e Entry) {
	h := Holder(e.Name, e.Incarnation)
	r.granter.Renew(now, h)
	m, ok := r.members[h]
	if !ok {
		m = &member{}
		r.members[h] = m
	}
	if m.entry != e {
		m.entry = e
		r.markDirty("e", e.Name)
	}
}

// Renew renews the lease of an entry that joined; false means that it must join again.
func (r *Registry) Renew(now time.Time, holder string) bool {
	if !r.granter.Live(now, holder) {
		return false
	}
	r.granter.Renew(now, holder)
	return true
}

// Live reports whether the entry's lease is valid.
func (r *Registry) Live(now time.Time, holder string) bool { return r.granter.Live(now, holder) }

// Acknowledge records the roster revision that an entry has applied.
func (r *Registry) Acknowledge(holder string, revision uint64) {
	if m, ok := r.members[holder]; ok {
		m.acked = max(m.acked, revision)
	}
}

// Claim restores the ownerships that an entry has since an earlier leader; it returns the refused servers.
func (r *Registry) Claim(now time.Time, holder string, claims []Claim) []string {
	var refused []string
	for _, c := range claims {
		if g, ok := r.granter.Holder(c.Server); ok && g.Holder == holder && g.Epoch == c.Epoch {
			continue
		}
		if err := r.granter.Claim(now, c.Server, holder, c.Epoch); err != nil {
			refused = append(refused, c.Server)
			continue
		}
		r.ownerships[c.Server] = &ownership{}
		r.markDirty("o", c.Server)
	}
	return refused
}

// InvalidAnnouncementError reports which field of an announcement is invalid.
type InvalidAnnouncementError struct{ Field, Reason string }

// Error implements error.
func (e *InvalidAnnouncementError) Error() string { return "announcement: " + e.Field + " " + e.Reason }

// Check returns a *InvalidAnnouncementError for an invalid announcement.
func (s Server) Check() error {
	fields := []struct{ field, value string }{
		{"name", s.Name}, {"addr", s.Addr}, {"service", s.Service}, {"incarnation", s.Incarnation},
	}
	for _, f := range fields {
		if f.value == "" || len(f.value) > maxFieldBytes {
			return &InvalidAnnouncementError{f.field, fmt.Sprintf("must have 1 to %d bytes", maxFieldBytes)}
		}
	}
	if reason := configurer.CheckName(s.Name); reason != "" {
		return &InvalidAnnouncementError{"name", reason}
	}
	if s.Kind != configurer.KindModel && s.Kind != configurer.KindPlain {
		return &InvalidAnnouncementError{"kind", "is neither model nor plain"}
	}
	if len(s.Zone) > maxFieldBytes || s.Slots < 0 || s.Batch < 0 {
		return &InvalidAnnouncementError{"zone, slots or batch", "is out of range"}
	}
	return nil
}

// Announce records a backend server's announcement.
func (r *Registry) Announce(now time.Time, s Server) error {
	if err := s.Check(); err != nil {
		return err
	}
	old, ok := r.servers[s.Name]
	if !ok {
		if len(r.servers) >= maxServers {
			return &InvalidAnnouncementError{"name", fmt.Sprintf("is one more than %d", maxServers)}
		}
		r.granter.MarkNew(s.Name)
		old = &serverState{}
		r.servers[s.Name] = old
	}
	if old.server != s {
		old.server = s
		r.markDirty("s", s.Name)
	}
	old.lastSeen = now
	return nil
}

// Refresh records that a server announced itself again unchanged; false means that the full announcement is needed.
func (r *Registry) Refresh(now time.Time, name, incarnation string) bool {
	s, ok := r.servers[name]
	if !ok || s.server.Incarnation != incarnation {
		return false
	}
	s.lastSeen = now
	return true
}

// SetDrains replaces the set of drained entries and servers, keyed by "server/name" or "entry/name".
func (r *Registry) SetDrains(drains map[string]bool) {
	if maps.Equal(r.drains, drains) {
		return
	}
	r.balanced = false
	for key := range r.drains {
		r.markDrainDirty(key)
	}
	r.drains = maps.Clone(drains)
	for key := range drains {
		r.markDrainDirty(key)
	}
}

func (r *Registry) markDrainDirty(key string) {
	if name, ok := strings.CutPrefix(key, "server/"); ok {
		r.markDirty("s", name)
	}
}

// NotOwnerError reports the release of a server that the entry neither owns nor owned last.
type NotOwnerError struct{ Server, Holder string }

// Error implements error.
func (e *NotOwnerError) Error() string { return e.Holder + " does not own " + e.Server }

// Release ends a server's ownership, with the adapters that still serve; the previous owner may update these.
//
// The epoch is that of the released ownership, since a release may arrive after the same entry owns the server anew.
func (r *Registry) Release(holder, server string, epoch uint64, pinned []configurer.Target) error {
	move, moving := r.moves[server]
	switch g, owned := r.granter.Holder(server); {
	case owned && g.Holder == holder && g.Epoch == epoch:
		if moving && move.from == holder {
			delete(r.moves, server)
		} else if m, ok := r.members[holder]; ok {
			m.leaving = true
		}
		r.granter.Release(server, holder)
		r.ownerships[server] = &ownership{prevHolder: holder, prevEpoch: epoch, clean: true, pinned: pinned}
	case r.ownerships[server] != nil && r.ownerships[server].prevHolder == holder && r.ownerships[server].prevEpoch == epoch:
		r.ownerships[server].pinned = pinned
		r.ownerships[server].clean = true
	default:
		return &NotOwnerError{Server: server, Holder: holder}
	}
	r.markDirty("o", server)
	return nil
}

// ExpiredEntry is an entry whose lease expired.
type ExpiredEntry struct {
	Name        string
	Incarnation uint64
}

// Tick expires leases and servers without announcements, assigns unowned servers and balances load; it returns the expired entries.
func (r *Registry) Tick(now time.Time) []ExpiredEntry {
	var out []ExpiredEntry
	for _, lost := range r.granter.ExpireLeases(now) {
		m, ok := r.members[lost.Holder]
		if !ok {
			continue
		}
		delete(r.members, lost.Holder)
		r.markDirty("e", m.entry.Name)
		for _, server := range lost.Keys {
			r.recordUnowned(server, lost.Holder, 0)
			delete(r.moves, server)
		}
		out = append(out, ExpiredEntry{Name: m.entry.Name, Incarnation: m.entry.Incarnation})
	}
	r.expireServers(now)
	r.finishMoves(now)
	if !r.balanced && r.granter.Settled(now) {
		r.balanced = true
		r.assign(now)
		r.rebalance()
		r.balanced = r.balanced && len(r.moves) == 0
	}
	return out
}

// recordUnowned records a server as unowned; pins of the previous owner are unknown.
func (r *Registry) recordUnowned(server, prev string, epoch uint64) {
	r.ownerships[server] = &ownership{prevHolder: prev, prevEpoch: epoch, orderAfter: orderDelay}
	r.markDirty("o", server)
}

func (r *Registry) expireServers(now time.Time) {
	var expired []string
	for name, s := range r.servers {
		if now.Sub(s.lastSeen) > r.serverTTL {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		delete(r.servers, name)
		r.markDirty("s", name)
		if g, ok := r.granter.Holder(name); ok {
			r.startMove(name, g.Holder)
		}
	}
}

// startMove starts to revoke a server from its owner, which keeps its grant until it has acknowledged.
func (r *Registry) startMove(server, from string) {
	if _, ok := r.moves[server]; !ok {
		r.moves[server] = &move{from: from}
		r.markDirty("o", server)
	}
}

// finishMoves revokes the grants of owners that acknowledged the move or whose leases expired.
func (r *Registry) finishMoves(now time.Time) {
	for _, server := range slices.Sorted(maps.Keys(r.moves)) {
		m := r.moves[server]
		owner, ok := r.members[m.from]
		confirmed := ok && m.revision > 0 && owner.acked >= m.revision
		if confirmed || !r.granter.Live(now, m.from) {
			g, _ := r.granter.Holder(server)
			r.granter.Revoke(server)
			r.recordUnowned(server, m.from, g.Epoch)
			delete(r.moves, server)
		}
	}
	for server := range r.ownerships {
		_, listed := r.servers[server]
		if _, held := r.granter.Holder(server); !listed && !held {
			delete(r.ownerships, server)
		}
	}
}

// Published records that all changes so far are part of the roster revision.
func (r *Registry) Published(revision uint64) {
	for _, m := range r.moves {
		if m.revision == 0 {
			m.revision = revision
		}
	}
}

// markDirty marks a roster item as changed, so that it is spread and the balance is checked again.
func (r *Registry) markDirty(kind, name string) {
	r.dirty[kind+"/"+name] = true
	r.balanced = false
}
