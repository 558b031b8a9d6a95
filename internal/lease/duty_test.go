package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Two agents ask three members over a network that loses, delays and repeats; members restart, agents freeze, and each has a
// clock that runs up to 1 % fast or slow. Never do both hold the duty, and mostly somebody does. The same world whose
// holder counts from the answer, or with members that grant right after a restart, must show both.
func TestOneAtATime(t *testing.T) {
	play := func(seed uint64, late, noQuiet bool) (both, some int) {
		rng := rand.New(rand.NewPCG(seed, 7))
		const step = 10 * time.Millisecond
		type agent struct {
			lease  Lease
			rate   float64
			frozen int
		}
		type message struct {
			at            int
			agent, member int
			asked         time.Duration
			answer        bool
		}
		agents := []*agent{{lease: Lease{Voters: 3}, rate: 0.99}, {lease: Lease{Voters: 3}, rate: 1.01}}
		var members []*Granter
		rates := []float64{1.01, 1, 0.99}
		for range 3 {
			members = append(members, NewGranter(-Span))
		}
		var sea []message
		for tick := range 6000 {
			now := time.Duration(tick) * step
			for i, m := range members {
				if rng.IntN(1500) == 0 {
					*m = *NewGranter(time.Duration(float64(now) * rates[i]))
					if noQuiet {
						m.startedAt -= Span
					}
				}
			}
			var due []message
			rest := sea[:0]
			for _, m := range sea {
				if m.at <= tick {
					due = append(due, m)
				} else {
					rest = append(rest, m)
				}
			}
			sea = rest
			for _, m := range due {
				if m.answer {
					a := agents[m.agent]
					before := a.lease.expiresAt
					a.lease.RecordGrant(m.asked, m.member)
					if late && a.lease.expiresAt > before {
						a.lease.expiresAt = time.Duration(float64(now)*a.rate) + Span
					}
					continue
				}
				if members[m.member].Grant(time.Duration(float64(now)*rates[m.member]), CatchUp, uint64(m.agent+1)) && rng.IntN(8) > 0 {
					sea = append(sea, message{at: tick + 1 + rng.IntN(20), agent: m.agent, member: m.member, asked: m.asked, answer: true})
				}
			}
			holds := 0
			for i, a := range agents {
				if a.frozen--; a.frozen > 0 {
					continue
				}
				if rng.IntN(500) == 0 {
					a.frozen = 20 + rng.IntN(400)
					continue
				}
				own := time.Duration(float64(now) * a.rate)
				if a.lease.BeginRenewal(own) {
					for m := range members {
						for range 1 + rng.IntN(2) { // some are repeated
							if rng.IntN(8) > 0 {
								sea = append(sea, message{at: tick + 1 + rng.IntN(20), agent: i, member: m, asked: a.lease.RequestedAt()})
							}
						}
					}
				}
				if a.lease.Held(own) {
					holds++
				}
			}
			if holds > 1 {
				both++
			}
			some += min(holds, 1)
		}
		return both, some
	}
	some, mutants := 0, [2]int{}
	for seed := range uint64(40) {
		both, s := play(seed, false, false)
		if both > 0 {
			t.Fatalf("seed %d: two held the duty in %d steps", seed, both)
		}
		some += s
		b, _ := play(seed, true, false)
		mutants[0] += b
		b, _ = play(seed, false, true)
		mutants[1] += b
	}
	if part := float64(some) / (40 * 6000); part < 0.5 {
		t.Errorf("somebody held it in %.2f of the time, want most", part)
	}
	for i, n := range mutants {
		if n == 0 {
			t.Errorf("mutant %d was not noticed", i)
		}
	}
}
