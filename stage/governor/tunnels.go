package governor

import (
	"cmp"
	"slices"
)

// maxTunnels is the number of entries of one relay that all others know as carrying connections: enough to carry those of a whole
// data centre, few enough that the list is small and seldom changes.
const maxTunnels = 16

// selectTunnels chooses the entries of this relay that carry connections for others; those chosen before stay.
func (r *relay) selectTunnels() {
	var old, added []Peer
	for s := range r.sessions {
		p := Peer{Addr: s.hello.Tunnel, Zone: s.hello.Zone}
		switch {
		case p.Addr == "":
		case slices.Contains(r.tunnels, p):
			old = append(old, p)
		default:
			added = append(added, p)
		}
	}
	slices.SortFunc(added, comparePeers)
	list := append(old, added[:min(len(added), maxTunnels-len(old))]...)
	slices.SortFunc(list, comparePeers)
	if !slices.Equal(list, r.tunnels) {
		r.tunnels, r.tunnelsSent = list, false
	}
}

// broadcastTunnels sends all relays the entries that carry connections, if they changed.
func (h *hub) broadcastTunnels() {
	if h.leader == nil {
		return
	}
	var list []Peer
	for s := range h.relaySessions {
		list = append(list, s.tunnels...)
	}
	slices.SortFunc(list, comparePeers)
	list = slices.Compact(list)
	if !slices.Equal(list, h.relay.view.tunnels) {
		h.broadcast(DownMessage{Tunnels: &Tunnels{Entries: list}})
	}
}

func comparePeers(x, y Peer) int {
	return cmp.Or(cmp.Compare(x.Addr, y.Addr), cmp.Compare(x.Zone, y.Zone))
}
