package balancer

import "reflect"

// SetRandom replaces the source of random numbers in [0, n).
func (b *Balancer) SetRandom(intN func(n int) int) { b.randIntN = intN }

// HasSameState reports whether all state but the source of random numbers is that of another Balancer.
func (b *Balancer) HasSameState(other *Balancer) bool {
	own, others := b.randIntN, other.randIntN
	defer func() { b.randIntN, other.randIntN = own, others }()
	b.randIntN, other.randIntN = nil, nil
	return reflect.DeepEqual(b, other)
}
