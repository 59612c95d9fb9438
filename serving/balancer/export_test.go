package balancer

// SetRandom replaces the source of random numbers in [0, n).
func (b *Balancer) SetRandom(intN func(n int) int) { b.randIntN = intN }

// Share returns the admitted share of a service's requests.
func (b *Balancer) Share(service string) float64 { return b.admission(service).share }
