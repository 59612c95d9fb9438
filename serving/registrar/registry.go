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
	// serverTTL is how long a backend server stays listed after its last announcement.
	serverTTL = 5 * time.Second
	// orderDelay is the wait before a new owner's first order when the last one may have sent some just before.
	orderDelay = time.Second
	// maxMoves bounds the backend servers that change owner at one time for balance.
	maxMoves = 4
	// maxServers bounds the backend servers that may be listed.
	maxServers = 4096
	// maxText bounds each text of an announcement, in bytes.
	maxText = 128
)

// Claim is what an entry says to own since an earlier leader.
type Claim struct {
	Server string
	Epoch  uint64
}

// Registry decides for one control leader which entries and backend servers live and who owns which; it has no clock.
type Registry struct {
	granter *leaser.Granter
	members map[string]*member
	servers map[string]*seen
	owned   map[string]*ownership
	moves   map[string]*move
	drains  map[string]bool
	dirty   map[string]bool
	serving time.Duration
	// level says that every server has an owner and no load is to be moved, as of the last change.
	level bool
}

// member is an entry with a lease, known by its holder name.
type member struct {
	entry Entry
	acked uint64
	// leaving says that it hands over what it has and takes no more.
	leaving bool
}

type seen struct {
	server Server
	at     time.Time
}

// ownership is what the roster says of an owner beside its grant.
type ownership struct {
	clean bool
	// last is the owner before, under lastEpoch.
	last      string
	lastEpoch uint64
	pinned    []configurer.Target
	after     time.Duration
}

// move is a backend server that was taken from an entry which has not yet confirmed it.
type move struct {
	from string
	// revision is the roster revision without the owner, or 0 until it is published.
	revision uint64
}

// Option changes a Registry.
type Option func(*Registry)

// WithServerTTL sets how long a backend server stays listed after its last announcement.
func WithServerTTL(d time.Duration) Option { return func(r *Registry) { r.serving = d } }

// New returns the registry of a leader that grants by granter.
func New(granter *leaser.Granter, opts ...Option) *Registry {
	r := &Registry{
		granter: granter,
		members: make(map[string]*member),
		servers: make(map[string]*seen),
		owned:   make(map[string]*ownership),
		moves:   make(map[string]*move),
		drains:  make(map[string]bool),
		dirty:   make(map[string]bool),
		serving: serverTTL,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Holder returns the name under which an entry's process holds leases.
func Holder(name string, incarnation uint64) string { return fmt.Sprintf("%s#%d", name, incarnation) }

// Join begins or renews the lease of an entry.
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
		r.touch("e", e.Name)
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

// Live reports whether the entry's lease runs.
func (r *Registry) Live(now time.Time, holder string) bool { return r.granter.Live(now, holder) }

// Acknowledge takes note of the roster revision that an entry has in force.
func (r *Registry) Acknowledge(holder string, revision uint64) {
	if m, ok := r.members[holder]; ok {
		m.acked = max(m.acked, revision)
	}
}

// Claim takes up what an entry owns since an earlier leader; it returns the servers that were refused.
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
		r.owned[c.Server] = &ownership{}
		r.touch("o", c.Server)
	}
	return refused
}

// BadServerError says which part of an announcement is wrong.
type BadServerError struct{ Field, Reason string }

// Error implements error.
func (e *BadServerError) Error() string { return "announcement: " + e.Field + " " + e.Reason }

// Check returns what is wrong with an announcement.
func (s Server) Check() error {
	texts := []struct{ field, value string }{
		{"name", s.Name}, {"addr", s.Addr}, {"service", s.Service}, {"incarnation", s.Incarnation},
	}
	for _, t := range texts {
		if t.value == "" || len(t.value) > maxText {
			return &BadServerError{t.field, fmt.Sprintf("must have 1 to %d bytes", maxText)}
		}
	}
	if reason := configurer.CheckName(s.Name); reason != "" {
		return &BadServerError{"name", reason}
	}
	if s.Kind != configurer.KindModel && s.Kind != configurer.KindPlain {
		return &BadServerError{"kind", "is neither model nor plain"}
	}
	if len(s.Zone) > maxText || s.Slots < 0 || s.Batch < 0 {
		return &BadServerError{"zone, slots or batch", "is out of range"}
	}
	return nil
}

// Announce takes note of what a backend server says of itself.
func (r *Registry) Announce(now time.Time, s Server) error {
	if err := s.Check(); err != nil {
		return err
	}
	old, ok := r.servers[s.Name]
	if !ok {
		if len(r.servers) >= maxServers {
			return &BadServerError{"name", fmt.Sprintf("is one more than %d", maxServers)}
		}
		r.granter.New(s.Name)
		old = &seen{}
		r.servers[s.Name] = old
	}
	if old.server != s {
		old.server = s
		r.touch("s", s.Name)
	}
	old.at = now
	return nil
}

// Seen takes note that a server announced itself again unchanged; false means that the whole announcement is needed.
func (r *Registry) Seen(now time.Time, name, incarnation string) bool {
	s, ok := r.servers[name]
	if !ok || s.server.Incarnation != incarnation {
		return false
	}
	s.at = now
	return true
}

// Drain sets the drained machines, by "server/name" or "entry/name".
func (r *Registry) Drain(drains map[string]bool) {
	if maps.Equal(r.drains, drains) {
		return
	}
	r.level = false
	for key := range r.drains {
		r.touchDrain(key)
	}
	r.drains = maps.Clone(drains)
	for key := range drains {
		r.touchDrain(key)
	}
}

func (r *Registry) touchDrain(key string) {
	if name, ok := strings.CutPrefix(key, "server/"); ok {
		r.touch("s", name)
	}
}

// NotOwnerError says that an entry gave up a server that it neither owns nor owned last.
type NotOwnerError struct{ Server, Holder string }

// Error implements error.
func (e *NotOwnerError) Error() string { return e.Holder + " does not own " + e.Server }

// Release takes a server back from its owner, with the adapters that still serve; the last owner may update these.
//
// The epoch is that of the ownership given up, since a release may come late, after the same entry owns the server anew.
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
		r.owned[server] = &ownership{last: holder, lastEpoch: epoch, clean: true, pinned: pinned}
	case r.owned[server] != nil && r.owned[server].last == holder && r.owned[server].lastEpoch == epoch:
		r.owned[server].pinned = pinned
		r.owned[server].clean = true
	default:
		return &NotOwnerError{Server: server, Holder: holder}
	}
	r.touch("o", server)
	return nil
}

// LostEntry is an entry whose lease ran out.
type LostEntry struct {
	Name        string
	Incarnation uint64
}

// Tick lets time pass: leases lapse, silent servers go, free servers get owners, loads are balanced.
func (r *Registry) Tick(now time.Time) []LostEntry {
	var out []LostEntry
	for _, lost := range r.granter.Lapse(now) {
		m, ok := r.members[lost.Holder]
		if !ok {
			continue
		}
		delete(r.members, lost.Holder)
		r.touch("e", m.entry.Name)
		for _, server := range lost.Keys {
			r.unown(server, lost.Holder, 0)
			delete(r.moves, server)
		}
		out = append(out, LostEntry{Name: m.entry.Name, Incarnation: m.entry.Incarnation})
	}
	r.expireServers(now)
	r.finishMoves(now)
	if !r.level && r.granter.Settled(now) {
		r.level = true
		r.assign(now)
		r.rebalance()
		r.level = r.level && len(r.moves) == 0
	}
	return out
}

// unown lists a server without an owner; pins of the last one are unknown.
func (r *Registry) unown(server, last string, epoch uint64) {
	r.owned[server] = &ownership{last: last, lastEpoch: epoch, after: orderDelay}
	r.touch("o", server)
}

func (r *Registry) expireServers(now time.Time) {
	var silent []string
	for name, s := range r.servers {
		if now.Sub(s.at) > r.serving {
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	for _, name := range silent {
		delete(r.servers, name)
		r.touch("s", name)
		if g, ok := r.granter.Holder(name); ok {
			r.take(name, g.Holder)
		}
	}
}

// take begins to take a server from its owner, which keeps its grant until it has confirmed.
func (r *Registry) take(server, from string) {
	if _, ok := r.moves[server]; !ok {
		r.moves[server] = &move{from: from}
		r.touch("o", server)
	}
}

// finishMoves frees the servers whose owners have confirmed that they are no longer theirs.
func (r *Registry) finishMoves(now time.Time) {
	for _, server := range slices.Sorted(maps.Keys(r.moves)) {
		m := r.moves[server]
		owner, ok := r.members[m.from]
		confirmed := ok && m.revision > 0 && owner.acked >= m.revision
		if confirmed || !r.granter.Live(now, m.from) {
			g, _ := r.granter.Holder(server)
			r.granter.Revoke(server)
			r.unown(server, m.from, g.Epoch)
			delete(r.moves, server)
		}
	}
	for server := range r.owned {
		_, listed := r.servers[server]
		if _, held := r.granter.Holder(server); !listed && !held {
			delete(r.owned, server)
		}
	}
}

// Published takes note that all changes so far are part of the roster revision.
func (r *Registry) Published(revision uint64) {
	for _, m := range r.moves {
		if m.revision == 0 {
			m.revision = revision
		}
	}
}

// touch marks an item of the roster as changed, so that it is spread and the balance is looked at again.
func (r *Registry) touch(kind, name string) {
	r.dirty[kind+"/"+name] = true
	r.level = false
}
