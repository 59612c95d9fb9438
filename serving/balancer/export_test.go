package balancer

// SetRandom replaces the source of random numbers in [0, n).
func (b *Balancer) SetRandom(intN func(n int) int) { b.randIntN = intN }
