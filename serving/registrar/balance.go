package registrar

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// score ranks entries for a server: each pair has its own, so that one entry's coming or going moves few servers.
func score(server, entry string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(entry)
	return d.Sum64()
}

// candidate is an entry that may take servers.
type candidate struct {
	holder string
	entry  Entry
	load   int
}

// group is the candidates of one data centre, or all of them.
type group []*candidate

// groups returns the candidates by data centre; the empty name stands for all.
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
		c := &candidate{holder: h, entry: m.entry, load: r.granter.Keys(h)}
		out[m.entry.Zone] = append(out[m.entry.Zone], c)
		if m.entry.Zone != "" {
			out[""] = append(out[""], c)
		}
	}
	return out
}

// pick returns the candidate with the best score among those that are not above their share.
func (g group) pick(server string) *candidate {
	total := 1
	for _, c := range g {
		total += c.load
	}
	share := (total + len(g) - 1) / max(len(g), 1)
	var best *candidate
	var most uint64
	for _, c := range g {
		if s := score(server, c.entry.Name); c.load < share && (best == nil || s > most) {
			best, most = c, s
		}
	}
	return best
}

// assign gives every free server an owner, in its own data centre if an entry lives there.
func (r *Registry) assign(now time.Time) {
	var free []string
	for name := range r.servers {
		if _, owned := r.granter.Holder(name); !owned {
			free = append(free, name)
		}
	}
	if len(free) == 0 {
		return
	}
	slices.Sort(free)
	groups := r.groups()
	for _, name := range free {
		c := pickIn(groups, r.servers[name].server)
		if c == nil {
			continue
		}
		grant, err := r.granter.Grant(now, name, c.holder)
		if err != nil {
			// A lease that ran out a moment ago shows at the next tick.
			continue
		}
		c.load++
		o := r.owned[name]
		if o == nil {
			o = &ownership{clean: grant.Clean}
			if !grant.Clean {
				o.after = orderDelay
			}
			r.owned[name] = o
		}
		r.touch("o", name)
	}
}

func pickIn(groups map[string]group, s Server) *candidate {
	if g := groups[s.Zone]; len(g) > 0 {
		return g.pick(s.Name)
	}
	return groups[""].pick(s.Name)
}

// rebalance begins to move servers from drained entries, home to their data centre, and from the fullest entry.
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
			r.take(name, g.Holder)
		case c.entry.Zone != zone && len(groups[zone]) > 0 && len(r.moves) < maxMoves:
			r.take(name, g.Holder)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(groups)) {
		if zone != "" || len(groups) == 1 {
			r.even(zone, groups[zone])
		}
	}
}

// isReplaced reports whether a newer process of the same entry lives; the older one's lease must run out by itself.
func (r *Registry) isReplaced(holder string) bool {
	m, ok := r.members[holder]
	return !ok || !m.leaving && !r.drains["entry/"+m.entry.Name]
}

// even moves servers of a data centre from its fullest entry to its emptiest, the best fitting first.
func (r *Registry) even(zone string, g group) {
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
		server := r.bestFit(zone, hi.holder, lo.entry.Name)
		if server == "" {
			return
		}
		r.take(server, hi.holder)
		hi.load--
		lo.load++
	}
}

func (r *Registry) bestFit(zone, holder, entry string) string {
	var best string
	var most uint64
	for name, s := range r.servers {
		g, _ := r.granter.Holder(name)
		_, moving := r.moves[name]
		if g.Holder != holder || moving || zone != "" && s.server.Zone != zone {
			continue
		}
		if v := score(name, entry); best == "" || v > most {
			best, most = name, v
		}
	}
	return best
}
