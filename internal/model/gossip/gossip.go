// Package gossip plays how what agents share travels, in simulated time: the real internal/shared, its values and its line
// of what is told, with a network that delays, loses and is cut. Membership is not modelled: each knows all. It is for sizes
// that no machine has processes for. Start reading at Run.
package gossip

import (
	"fmt"
	"math/rand/v2"
	"time"

	"saltmast/internal/shared"
)

// Options are what is played.
type Options struct {
	Agents   int
	Tell     int           // of them that count anything; the others pass it on
	Loss     float64       // of messages
	Bytes    int           // a second that each may tell
	Exchange time.Duration // between two exchanges of whole states, in the mean
	Cut      time.Duration // the two halves hear nothing of each other for so long
	Most     time.Duration // to wait for agreement after the heal
	Seed     uint64
}

// Result is what came of it.
type Result struct {
	Agreed    time.Duration // from the heal until all said what was counted; negative: not within Most
	Half      time.Duration // and until half of them did
	BytesASec float64       // that an agent was sent, in the mean, from the heal on
	Over      int           // agents that at some time said more than was counted
}

const (
	tick   = 200 * time.Millisecond // of gossip
	fanout = 3                      // members that are told in one
	packet = 1300
)

type agent struct {
	value *shared.Value
	queue *shared.Queue
}

// Run plays: all count while the cut lasts, and nothing after it.
func Run(o Options) Result {
	rng := rand.New(rand.NewPCG(o.Seed, 0x676f73))
	terms := shared.Terms{Turn: time.Second, Window: 3600, Windows: 2, Agents: o.Agents, Fade: 8}
	all := make([]agent, o.Agents)
	for i := range all {
		all[i] = agent{shared.NewValue(shared.Agent{Name: fmt.Sprint("n", i), Incarnation: 1}, terms, 0), shared.NewQueue(o.Bytes)}
	}
	truth := uint64(0)
	bytes := 0.0
	res := Result{Agreed: -1, Half: -1}
	over := make([]bool, o.Agents)
	hear := func(now time.Duration, to int, raw []byte) {
		m, err := shared.Decode(raw)
		if err != nil {
			panic(err) // it is our own
		}
		fresh, err := all[to].value.Merge(now, m.(shared.Delta))
		if err != nil {
			panic(err)
		}
		for _, r := range fresh.Records {
			all[to].queue.Put(r, shared.RecordCopies)
		}
	}
	reaches := func(from, to int, cut bool) bool {
		return (!cut || (from < o.Agents/2) == (to < o.Agents/2)) && rng.Float64() >= o.Loss
	}
	other := func(i int) int {
		to := rng.IntN(o.Agents - 1)
		if to >= i {
			to++
		}
		return to
	}
	type message struct {
		to  int
		raw []byte
	}
	var way []message
	for now := time.Duration(0); now < o.Cut+o.Most; now += tick {
		cut := now < o.Cut
		arrive := way
		way = nil
		for _, m := range arrive { // a tick later: no link is slower
			hear(now, m.to, m.raw)
		}
		for i := range all {
			a := &all[i]
			a.value.Advance(now)
			if cut && i%max(1, o.Agents/o.Tell) == 0 && i/max(1, o.Agents/o.Tell) < o.Tell {
				a.value.Add(now, "x", shared.Requests, 1)
				truth++
			}
			if r, ok := a.value.Own(a.value.Window()); ok {
				a.queue.Own(r, shared.RecordCopies)
			}
			for range fanout {
				raw := a.queue.Take(now, a.value.Turn(), packet)
				if raw == nil {
					break
				}
				if !cut {
					bytes += float64(len(raw))
				}
				if to := other(i); reaches(i, to, cut) {
					way = append(way, message{to, raw})
				}
			}
			if rng.Float64() < tick.Seconds()/o.Exchange.Seconds() {
				if to := other(i); reaches(i, to, cut) {
					there, _ := shared.AppendDelta(nil, a.value.Whole(), 1<<20)
					back, _ := shared.AppendDelta(nil, all[to].value.Whole(), 1<<20)
					hear(now, to, there)
					hear(now, i, back)
					if !cut {
						bytes += float64(len(there) + len(back))
					}
				}
			}
		}
		agree := 0
		for i := range all {
			sum := uint64(0)
			for _, w := range all[i].value.Windows() {
				sum += all[i].value.Sum(w)["x"][shared.Requests]
			}
			if sum == truth {
				agree++
			}
			if sum > truth && !over[i] {
				over[i] = true
				res.Over++
			}
		}
		if cut {
			continue
		}
		if res.Half < 0 && 2*agree >= o.Agents {
			res.Half = now - o.Cut
		}
		if agree == o.Agents {
			res.Agreed = now - o.Cut
			res.BytesASec = bytes / max(tick.Seconds(), res.Agreed.Seconds()) / float64(o.Agents)
			break
		}
	}
	return res
}
