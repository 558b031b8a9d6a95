package saltmast

// StateSize returns the number of requests, held requests, timers, key queues and attempts that a Balancer keeps.
func (b *Balancer) StateSize() int {
	n := len(b.requests) + len(b.held) + len(b.timers) + len(b.keyQueues) + len(b.paused)
	for _, t := range b.backends {
		n += len(t.attempts)
	}
	return n
}

// KnownBackends returns the number of backends that a Balancer keeps.
func (b *Balancer) KnownBackends() int { return max(len(b.backends), len(b.byID)) }

// InFlightLimit returns how many attempts a Balancer may have in flight now.
func (b *Balancer) InFlightLimit() float64 { return b.limit() }
