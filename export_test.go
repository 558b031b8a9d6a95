package saltmast

// StateSize counts what a Balancer keeps: requests, held ones, timers, keys and attempts out.
func (b *Balancer) StateSize() int {
	n := len(b.requests) + len(b.held) + len(b.timers) + len(b.keyQueues) + len(b.paused)
	for _, t := range b.backends {
		n += len(t.attempts)
	}
	return n
}

// KnownBackends counts the backends that a Balancer keeps.
func (b *Balancer) KnownBackends() int { return max(len(b.backends), len(b.byID)) }

// InFlightLimit is what a Balancer may have in flight now.
func (b *Balancer) InFlightLimit() float64 { return b.limit() }
