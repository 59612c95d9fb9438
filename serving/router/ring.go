package router

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"redwingstage.org/serving/configurer"
)

// pointsPerServer is the number of points that each server has on the ring.
const pointsPerServer = 64

type point struct {
	hash uint64
	node int32
}

// ring is a consistent hash ring: a decision costs a binary search and a short walk.
type ring struct {
	nodes  []*node
	points []point
}

func newRing(nodes []*node) *ring {
	rg := &ring{nodes: nodes, points: make([]point, 0, len(nodes)*pointsPerServer)}
	for i, n := range nodes {
		for p := range pointsPerServer {
			h := xxhash.Sum64String(n.server.Name + "#" + strconv.Itoa(p))
			rg.points = append(rg.points, point{hash: h, node: int32(i)})
		}
	}
	slices.SortFunc(rg.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.node, b.node))
	})
	return rg
}

// walk appends up to count distinct servers that accept allows, clockwise from key.
func (rg *ring) walk(key uint64, count int, accept func(*node) bool, out []*node) []*node {
	start, _ := slices.BinarySearchFunc(rg.points, key, func(p point, k uint64) int { return cmp.Compare(p.hash, k) })
	var skippedBuf [maxCandidates]*node
	skipped := skippedBuf[:0]
	for i := 0; i < len(rg.points) && len(out) < count && len(out)+len(skipped) < len(rg.nodes); i++ {
		n := rg.nodes[rg.points[(start+i)%len(rg.points)].node]
		switch {
		case slices.Contains(out, n) || slices.Contains(skipped, n):
		case accept(n):
			out = append(out, n)
		default:
			skipped = append(skipped, n)
		}
	}
	return out
}

// hashTarget hashes the service and the adapter, so that all versions of an adapter share their candidates.
func hashTarget(t configurer.Target) uint64 {
	return xxhash.Sum64String(t.Service)*31 ^ xxhash.Sum64String(t.Adapter)
}
