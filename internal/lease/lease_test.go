package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Two agents request a lease from three voters over a network that loses, delays and duplicates messages; voters restart,
// agents freeze, and clocks run up to 1 % fast or slow. Both agents never hold the lease at once, and most of the time one does.
// Two mutants must show both holding it: a holder that counts from the answer, and voters that grant right after a restart.
func TestOneHolderAtATime(t *testing.T) {
	play := func(seed uint64, countFromAnswer, grantAfterRestart bool) (twoHeld, oneHeld int) {
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
		var inFlight []message
		for tick := range 6000 {
			now := time.Duration(tick) * step
			for i, m := range members {
				if rng.IntN(1500) == 0 {
					*m = *NewGranter(time.Duration(float64(now) * rates[i]))
					if grantAfterRestart {
						m.startedAt -= Span
					}
				}
			}
			var due []message
			waiting := inFlight[:0]
			for _, m := range inFlight {
				if m.at <= tick {
					due = append(due, m)
				} else {
					waiting = append(waiting, m)
				}
			}
			inFlight = waiting
			for _, m := range due {
				if m.answer {
					a := agents[m.agent]
					before := a.lease.expiresAt
					a.lease.RecordGrant(m.asked, m.member)
					if countFromAnswer && a.lease.expiresAt > before {
						a.lease.expiresAt = time.Duration(float64(now)*a.rate) + Span
					}
					continue
				}
				if members[m.member].Grant(time.Duration(float64(now)*rates[m.member]), CatchUp, uint64(m.agent+1)) && rng.IntN(8) > 0 {
					inFlight = append(inFlight, message{at: tick + 1 + rng.IntN(20), agent: m.agent, member: m.member, asked: m.asked, answer: true})
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
				agentNow := time.Duration(float64(now) * a.rate)
				if a.lease.BeginRenewal(agentNow) {
					for m := range members {
						for range 1 + rng.IntN(2) { // some requests are duplicated
							if rng.IntN(8) > 0 {
								inFlight = append(inFlight, message{at: tick + 1 + rng.IntN(20), agent: i, member: m, asked: a.lease.RequestedAt()})
							}
						}
					}
				}
				if a.lease.Held(agentNow) {
					holds++
				}
			}
			if holds > 1 {
				twoHeld++
			}
			oneHeld += min(holds, 1)
		}
		return twoHeld, oneHeld
	}
	oneHeld, mutants := 0, [2]int{}
	for seed := range uint64(40) {
		twoHeld, s := play(seed, false, false)
		if twoHeld > 0 {
			t.Fatalf("seed %d: two agents held the lease in %d steps", seed, twoHeld)
		}
		oneHeld += s
		b, _ := play(seed, true, false)
		mutants[0] += b
		b, _ = play(seed, false, true)
		mutants[1] += b
	}
	if part := float64(oneHeld) / (40 * 6000); part < 0.5 {
		t.Errorf("the lease was held for %.2f of the time, want at least half", part)
	}
	for i, n := range mutants {
		if n == 0 {
			t.Errorf("mutant %d was not detected", i)
		}
	}
}
