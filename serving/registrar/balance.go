package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// score ranks entries for a server by rendezvous hashing, so that an entry that joins or leaves moves few servers.
func score(server, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(entry)
	return d.Sum64()
}

// candidate is an entry that may be assigned servers.
type candidate struct {
	holder string
	entry  Entry
	// load is the number of servers that the entry owns.
	load int
}

// group holds the candidates of one data centre, or all of them.
type group []*candidate

// groups returns the candidates by data centre; the empty name holds all.
func (r *Registry) groups() map[string]group {
	newest := make(map[string]string)
	for h, m := range r.members {
		if old, ok := newest[m.entry.Name]; !ok || r.members[old].entry.Incarnation < m.entry.Incarnation {
			newest[m.entry.Name] = h
		}
	}
	out := make(map[string]group)
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		h := newest[name]
		m := r.members[h]
		if m.leaving || r.drains["entry/"+name] {
			continue
		}
		c := &candidate{holder: h, entry: m.entry, load: r.granter.KeyCount(h)}
		out[m.entry.Zone] = append(out[m.entry.Zone], c)
		if m.entry.Zone != "" {
			out[""] = append(out[""], c)
		}
	}
	return out
}

// pick returns the candidate with the highest score among those below the average load, or else at most at it.
func (g group) pick(server string) *candidate {
	total := 1
	for _, c := range g {
		total += c.load
	}
	n := max(len(g), 1)
	if c := g.best(server, total/n); c != nil {
		return c
	}
	return g.best(server, (total+n-1)/n)
}

// best returns the candidate with the highest score among those with a load below the limit.
func (g group) best(server string, limit int) *candidate {
	var best *candidate
	var bestScore uint64
	for _, c := range g {
		if s := score(server, c.entry.Name); c.load < limit && (best == nil || s > bestScore) {
			best, bestScore = c, s
		}
	}
	return best
}

// assign gives every unowned server an owner, in its own data centre if that has a candidate.
func (r *Registry) assign(now time.Time) {
	var unowned []string
	for name := range r.servers {
		if _, owned := r.granter.Holder(name); !owned {
			unowned = append(unowned, name)
		}
	}
	if len(unowned) == 0 {
		return
	}
	slices.Sort(unowned)
	groups := r.groups()
	for _, name := range unowned {
		c := pickCandidate(groups, r.servers[name].server)
		if c == nil {
			continue
		}
		grant, err := r.granter.Grant(now, name, c.holder)
		if err != nil {
			// The holder's lease just expired; the next tick removes it.
			continue
		}
		c.load++
		o := r.ownerships[name]
		if o == nil {
			o = &ownership{clean: grant.Clean}
			if !grant.Clean {
				o.orderAfter = orderDelay
			}
			r.ownerships[name] = o
		}
		r.markDirty("o", name)
	}
}

func pickCandidate(groups map[string]group, s Server) *candidate {
	if g := groups[s.Zone]; len(g) > 0 {
		return g.pick(s.Name)
	}
	return groups[""].pick(s.Name)
}

// rebalance starts moves off drained entries, to entries in the server's own data centre, and off the most loaded entry.
func (r *Registry) rebalance() {
	groups := r.groups()
	if len(groups[""]) == 0 {
		return
	}
	usable := make(map[string]*candidate)
	for _, c := range groups[""] {
		usable[c.holder] = c
	}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		g, owned := r.granter.Holder(name)
		if !owned {
			continue
		}
		c, ok := usable[g.Holder]
		zone := r.servers[name].server.Zone
		switch {
		case !ok && r.isReplaced(g.Holder):
		case !ok:
			r.startMove(name, g.Holder)
		case c.entry.Zone != zone && len(groups[zone]) > 0 && len(r.moves) < maxMoves:
			r.startMove(name, g.Holder)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(groups)) {
		if zone != "" || len(groups) == 1 {
			r.balanceZone(zone, groups[zone])
		}
	}
}

// isReplaced reports whether a newer process of the same entry lives; the older one's lease must expire by itself.
func (r *Registry) isReplaced(holder string) bool {
	m, ok := r.members[holder]
	return !ok || !m.leaving && !r.drains["entry/"+m.entry.Name]
}

// balanceZone moves servers of a data centre from its most to its least loaded entry, highest score for the latter first.
func (r *Registry) balanceZone(zone string, g group) {
	for len(r.moves) < maxMoves {
		lo, hi := g[0], g[0]
		for _, c := range g[1:] {
			if c.load < lo.load {
				lo = c
			}
			if c.load > hi.load {
				hi = c
			}
		}
		if hi.load-lo.load < 2 {
			return
		}
		server := r.serverToMove(zone, hi.holder, lo.entry.Name)
		if server == "" {
			return
		}
		r.startMove(server, hi.holder)
		hi.load--
		lo.load++
	}
}

// serverToMove returns the holder's server with the highest score for the entry, or none.
func (r *Registry) serverToMove(zone, holder, entry string) string {
	var best string
	var bestScore uint64
	for name, s := range r.servers {
		g, _ := r.granter.Holder(name)
		_, moving := r.moves[name]
		if g.Holder != holder || moving || zone != "" && s.server.Zone != zone {
			continue
		}
		if v := score(name, entry); best == "" || v > bestScore {
			best, bestScore = name, v
		}
	}
	return best
}
