package governor

import (
	"cmp"
	"maps"
	"slices"

	"redwingstage.org/serving/profiler"
	"redwingstage.org/serving/quarantiner"
	"redwingstage.org/serving/resumer"
	"redwingstage.org/serving/tracker"
)

// view is the leader's state for entries, with the changes not yet sent to them. Changes to the same key are sent once,
// so that an update is never larger than the state. The control goroutine calls it.
type view struct {
	welcome  Welcome
	doc      Doc
	versions map[tracker.Adapter]int
	leaving  map[tracker.Key]bool
	engines  map[string]tracker.Instance
	// startedMS is the start of each server's latest known incarnation; a late announcement of an earlier one is ignored.
	startedMS map[string]int64
	held      map[string]map[tracker.Adapter]int
	loads     map[string]Load
	entries   int
	replicas  []Peer
	standings map[quarantiner.Digest]DigestStanding
	// quotas is the leader's latest announcement, without additions.
	quotas QuotaUpdate
	speeds map[string]Speed
	// softwares are the software versions of which a server may have begun a stream that goes on.
	softwares []resumer.Version
	// tunnels are entries that carry connections for others.
	tunnels []Peer
	changes changes
}

// changes are the parts of a view that entries don't have yet.
type changes struct {
	doc, entries, replicas, quotas, softwares, tunnels bool
	versions                                           map[tracker.Adapter]bool
	leaving                                            map[tracker.Key]bool
	engines                                            map[string]bool
	held                                               map[AdapterPlacement]bool
	loads                                              map[string]bool
	standings                                          map[quarantiner.Digest]bool
	speeds                                             map[string]bool
	cached                                             []CachedPrefix
}

func newView() *view {
	v := &view{
		versions: make(map[tracker.Adapter]int), leaving: make(map[tracker.Key]bool), engines: make(map[string]tracker.Instance),
		startedMS: make(map[string]int64), held: make(map[string]map[tracker.Adapter]int), loads: make(map[string]Load),
		standings: make(map[quarantiner.Digest]DigestStanding), speeds: make(map[string]Speed),
	}
	v.clearChanges()
	return v
}

// clearChanges marks all changes as sent, and drops the standings that have ended.
func (v *view) clearChanges() {
	for digest := range v.changes.standings {
		if v.standings[digest].Standing == quarantiner.Clear {
			delete(v.standings, digest)
		}
	}
	v.changes = changes{
		versions: make(map[tracker.Adapter]bool), leaving: make(map[tracker.Key]bool), engines: make(map[string]bool),
		held: make(map[AdapterPlacement]bool), loads: make(map[string]bool), standings: make(map[quarantiner.Digest]bool),
		speeds: make(map[string]bool),
	}
}

// isUrgent reports whether a change is pending that breaks a guarantee if it reaches entries late.
func (c *changes) isUrgent() bool {
	return c.doc || c.replicas || c.softwares || len(c.versions)+len(c.leaving)+len(c.engines)+len(c.standings) > 0
}

func (c *changes) isEmpty() bool {
	return !c.isUrgent() && !c.entries && !c.quotas && !c.tunnels && len(c.held)+len(c.loads)+len(c.speeds)+len(c.cached) == 0
}

// apply applies a message of the leader. Documents, versions and leaving servers never go back, even with a new leader.
func (v *view) apply(d *DownMessage) {
	if d.Welcome != nil {
		v.welcome = *d.Welcome
		v.applyWelcome(d)
		v.clearStandings()
		v.clearSpeeds()
	}
	if d.Doc != nil && d.Doc.Version > v.doc.Version {
		v.doc, v.changes.doc = *d.Doc, true
	}
	if len(d.Softwares) > 0 && !slices.Equal(d.Softwares, v.softwares) {
		v.softwares, v.changes.softwares = d.Softwares, true
	}
	for _, r := range d.Versions {
		if r.Version > v.versions[r.Adapter] {
			v.versions[r.Adapter] = r.Version
			v.changes.versions[r.Adapter] = true
		}
	}
	for _, k := range d.Leaving {
		if !v.leaving[k] {
			v.leaving[k], v.changes.leaving[k] = true, true
		}
	}
	for _, s := range d.Standings {
		v.setStanding(s)
	}
	v.setServers(d.Engines, d.Welcome != nil)
	v.setServers(d.FullResidents, true)
	for _, id := range d.RemovedServers {
		v.removeServer(id)
	}
	for _, m := range d.ResidentChanges {
		if m.Removed {
			v.removeHeld(AdapterPlacement{m.Engine, m.Adapter})
		} else {
			v.setHeld(AdapterPlacement{m.Engine, m.Adapter}, m.Version)
		}
	}
	for _, l := range d.Loads {
		v.loads[l.Server] = l
		v.changes.loads[l.Server] = true
	}
	v.setSpeeds(d.Speeds)
	v.changes.cached = appendPrefixes(v.changes.cached, d.Cached)
	if d.Entries > 0 && d.Entries != v.entries {
		v.entries, v.changes.entries = d.Entries, true
	}
	v.applyQuotas(d.Quotas)
	v.applyTunnels(d.Tunnels)
	if list := v.withZones(d.Replicas); len(list) > 0 && !slices.Equal(list, v.replicas) {
		v.replicas, v.changes.replicas = list, true
	}
}

// applyQuotas keeps an announcement; additions are for single entries.
func (v *view) applyQuotas(u *QuotaUpdate) {
	if u != nil && u.Entries > 0 {
		v.quotas, v.changes.quotas = *u, true
		v.quotas.Additions = nil
	}
}

// applyTunnels keeps the entries that carry connections; t is nil if they didn't change.
func (v *view) applyTunnels(t *Tunnels) {
	if t != nil && !slices.Equal(t.Entries, v.tunnels) {
		v.tunnels, v.changes.tunnels = t.Entries, true
	}
}

// clearStandings drops the standings of an earlier leader, which the next one has from the log or finds again.
func (v *view) clearStandings() {
	for d := range v.standings {
		v.setStanding(DigestStanding{Digest: d})
	}
}

func (v *view) setStanding(s DigestStanding) {
	v.standings[s.Digest] = s
	v.changes.standings[s.Digest] = true
}

// clearSpeeds sets the usual speed of all servers; a leader's first message lists the others.
func (v *view) clearSpeeds() {
	for id := range v.speeds {
		v.removeSpeed(id)
	}
}

// removeSpeed sets a server's usual speed; the server may return before the removal is sent.
func (v *view) removeSpeed(id string) {
	if _, ok := v.speeds[id]; ok {
		delete(v.speeds, id)
		v.changes.speeds[id] = true
	}
}

func (v *view) setSpeeds(list []Speed) {
	for _, s := range list {
		if _, ok := v.engines[s.Server]; !ok {
			continue
		}
		v.changes.speeds[s.Server] = true
		if v.speeds[s.Server] = s; s.Step == profiler.Usual && s.Prefill == profiler.Usual {
			delete(v.speeds, s.Server)
		}
	}
}

// speed returns the speed of a server that entries are told.
func (v *view) speed(id string) Speed {
	if s, ok := v.speeds[id]; ok {
		return s
	}
	return Speed{Server: id, Step: profiler.Usual, Prefill: profiler.Usual}
}

// withZones fills in data centres from the earlier list, since a new leader gets them only as replicas connect.
func (v *view) withZones(list []Peer) []Peer {
	out := slices.Clone(list)
	for i, p := range out {
		for _, old := range v.replicas {
			if p.Zone == "" && old.Addr == p.Addr {
				out[i].Zone = old.Zone
			}
		}
	}
	return out
}

// applyWelcome applies a leader's first message: if the leader has settled, servers that it doesn't list are removed.
func (v *view) applyWelcome(d *DownMessage) {
	if !d.Welcome.Settled {
		return
	}
	listed := make(map[string]bool, len(d.Engines))
	for _, in := range d.Engines {
		listed[in.Key.ID] = true
	}
	for id := range v.engines {
		if !listed[id] {
			v.removeServer(id)
		}
	}
}

func (v *view) setServers(list []tracker.Instance, complete bool) {
	for _, in := range list {
		v.setServer(in, complete)
	}
}

// setServer adds or updates a server. Its residents count if complete is set and any are listed: engines hold at least a
// base model.
func (v *view) setServer(in tracker.Instance, complete bool) {
	id := in.Key.ID
	old, ok := v.engines[id]
	if in.Key.StartedMS < v.startedMS[id] {
		return
	}
	v.startedMS[id] = in.Key.StartedMS
	residents := in.Residents
	in.Residents = nil
	if ok && old.Key != in.Key {
		v.clearHeld(id)
		v.removeSpeed(id)
	}
	if !ok || !isSameServer(old, in) {
		v.changes.engines[id] = true
	}
	v.engines[id] = in
	if !complete || len(residents) == 0 {
		return
	}
	listed := make(map[tracker.Adapter]bool, len(residents))
	for _, r := range residents {
		listed[r.Adapter] = true
		v.setHeld(AdapterPlacement{id, r.Adapter}, r.Version)
	}
	for ad := range v.held[id] {
		if !listed[ad] {
			v.removeHeld(AdapterPlacement{id, ad})
		}
	}
}

// isSameServer reports whether two announcements differ at most in Sequence and Residents.
func isSameServer(a, b tracker.Instance) bool {
	return a.Key == b.Key && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Leaving == b.Leaving &&
		a.Software == b.Software
}

func (v *view) removeServer(id string) {
	if _, ok := v.engines[id]; ok {
		delete(v.engines, id)
		v.clearHeld(id)
		delete(v.loads, id)
		v.removeSpeed(id)
		v.changes.engines[id] = true
	}
}

// clearHeld removes a server's residents; the server may return before the removal is sent.
func (v *view) clearHeld(id string) {
	for ad := range v.held[id] {
		v.changes.held[AdapterPlacement{id, ad}] = true
	}
	delete(v.held, id)
}

func (v *view) setHeld(at AdapterPlacement, version int) {
	if _, ok := v.engines[at.Engine]; !ok {
		return
	}
	m := v.held[at.Engine]
	if m == nil {
		m = make(map[tracker.Adapter]int)
		v.held[at.Engine] = m
	}
	if old, ok := m[at.Adapter]; !ok || old != version {
		m[at.Adapter] = version
		v.changes.held[at] = true
	}
}

func (v *view) removeHeld(at AdapterPlacement) {
	if _, ok := v.held[at.Engine][at.Adapter]; ok {
		delete(v.held[at.Engine], at.Adapter)
		v.changes.held[at] = true
	}
}

// takeUpdate returns the changes since the last call; loads, moves and entries only if all is set.
func (v *view) takeUpdate(all bool) DownMessage {
	c := v.changes
	var d DownMessage
	for digest := range c.standings {
		d.Standings = append(d.Standings, v.standings[digest])
	}
	v.clearChanges()
	if c.doc {
		doc := v.doc
		d.Doc = &doc
	}
	if c.softwares {
		d.Softwares = v.softwares
	}
	for ad := range c.versions {
		d.Versions = append(d.Versions, tracker.Resident{Adapter: ad, Version: v.versions[ad]})
	}
	d.Leaving = sortedKeys(c.leaving)
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		if in, ok := v.engines[id]; ok {
			d.Engines = append(d.Engines, in)
		} else {
			d.RemovedServers = append(d.RemovedServers, id)
		}
	}
	if c.replicas {
		d.Replicas = v.replicas
	}
	if !all {
		v.changes.held, v.changes.loads, v.changes.entries, v.changes.quotas, v.changes.speeds = c.held, c.loads, c.entries, c.quotas, c.speeds
		v.changes.cached, v.changes.tunnels = c.cached, c.tunnels
		return d
	}
	d.Cached = c.cached
	if c.entries {
		d.Entries = v.entries
	}
	if c.quotas {
		quotas := v.quotas
		d.Quotas = &quotas
	}
	if c.tunnels {
		d.Tunnels = &Tunnels{Entries: v.tunnels}
	}
	for at := range c.held {
		version, ok := v.held[at.Engine][at.Adapter]
		if _, listed := v.engines[at.Engine]; listed {
			d.ResidentChanges = append(d.ResidentChanges, ResidentChange{Engine: at.Engine, Adapter: at.Adapter, Version: version, Removed: !ok})
		}
	}
	slices.SortFunc(d.ResidentChanges, func(x, y ResidentChange) int {
		return cmp.Or(cmp.Compare(x.Engine, y.Engine), cmp.Compare(x.Adapter.Name, y.Adapter.Name))
	})
	for _, id := range slices.Sorted(maps.Keys(c.loads)) {
		d.Loads = append(d.Loads, v.loads[id])
	}
	for _, id := range slices.Sorted(maps.Keys(c.speeds)) {
		if _, ok := v.engines[id]; ok {
			d.Speeds = append(d.Speeds, v.speed(id))
		}
	}
	return d
}

// fullState returns the full state for an entry.
func (v *view) fullState() DownMessage {
	welcome, doc := v.welcome, v.doc
	d := DownMessage{Welcome: &welcome, Doc: &doc, Leaving: sortedKeys(v.leaving), Entries: v.entries, Replicas: v.replicas, Softwares: v.softwares}
	if v.quotas.Entries > 0 {
		quotas := v.quotas
		d.Quotas = &quotas
	}
	if len(v.tunnels) > 0 {
		d.Tunnels = &Tunnels{Entries: v.tunnels}
	}
	for ad, n := range v.versions {
		d.Versions = append(d.Versions, tracker.Resident{Adapter: ad, Version: n})
	}
	for _, s := range v.standings {
		if s.Standing != quarantiner.Clear {
			d.Standings = append(d.Standings, s)
		}
	}
	for _, in := range v.servers() {
		for ad, n := range v.held[in.Key.ID] {
			in.Residents = append(in.Residents, tracker.Resident{Adapter: ad, Version: n})
		}
		d.Engines = append(d.Engines, in)
	}
	for _, id := range slices.Sorted(maps.Keys(v.loads)) {
		d.Loads = append(d.Loads, v.loads[id])
	}
	d.Speeds = v.sortedSpeeds()
	return d
}

// sortedSpeeds returns the speeds that differ from the usual one.
func (v *view) sortedSpeeds() []Speed {
	var out []Speed
	for _, id := range slices.Sorted(maps.Keys(v.speeds)) {
		out = append(out, v.speeds[id])
	}
	return out
}

// servers returns all servers, sorted by ID, without residents.
func (v *view) servers() []tracker.Instance {
	out := make([]tracker.Instance, 0, len(v.engines))
	for _, id := range slices.Sorted(maps.Keys(v.engines)) {
		out = append(out, v.engines[id])
	}
	return out
}

func sortedKeys(set map[tracker.Key]bool) []tracker.Key {
	if len(set) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(set), func(x, y tracker.Key) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.StartedMS, y.StartedMS))
	})
}
