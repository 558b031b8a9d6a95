package saltmast_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// Simulation of dozens of agents that start at the same moment with the same stale list and uneven traffic, in simulated
// time. Their actions are counted.

// simulatedEvent is an event for one agent.
type simulatedEvent struct {
	at    time.Duration
	seq   int
	agent int
	event saltmast.Event
}

type eventHeap []simulatedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simulatedEvent)) }
func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// TestSimultaneousStart bounds the list calls, connections and cold sends when all agents start at once. The list is unavailable at
// first, a fifth of the backends have restarted when it is back, and Balancers is right or wrong by a factor of three.
func TestSimultaneousStart(t *testing.T) {
	const agents, n, cold = 80, 60, 12
	const service, outage, length = 40 * ms, 2 * time.Second, 8 * time.Second
	for _, balancers := range []int{agents / 3, agents, agents * 3} {
		t.Run(fmt.Sprint("balancers ", balancers), func(t *testing.T) {
			s := settings()
			s.Balancers, s.Subscribe, s.IdleClose, s.ConnectTimeout = balancers, true, time.Minute, 100*ms
			start := time.Hour
			var list []saltmast.Backend
			for i := range n {
				list = append(list, saltmast.Backend{ID: fmt.Sprint("b", i)})
			}
			updated := append([]saltmast.Backend(nil), list...)
			for i := range cold { // in the old list, and restarted while the list was unavailable
				updated[i].Started = start + outage
			}
			var events eventHeap
			seq := 0
			push := func(at time.Duration, agent int, e saltmast.Event) {
				seq++
				heap.Push(&events, simulatedEvent{at, seq, agent, e})
			}
			fleet := make([]*saltmast.Balancer, agents)
			arrivals, maxInFlight := 0, make([]int, agents)
			for i := range fleet {
				b, err := saltmast.New(s, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				fleet[i] = b
				push(start, i, saltmast.List{Kind: saltmast.ListCached, Backends: list})
				// One agent gets a fifth of the requests, the others by inverse rank: 650 per second in all.
				rate := 520.0 / 4.5 / float64(i+1)
				if i == 0 {
					rate = 130
				}
				for at := 1 / rate * float64(i%7+1) / 8; at < length.Seconds(); at += 1 / rate {
					arrivals++
					push(start+time.Duration(at*1e9), i, saltmast.Request{ID: fmt.Sprint("q", arrivals), Class: safe, TimeLeft: 2 * time.Second})
				}
			}
			calls, connections, probes := make([]int, agents), 0, 0
			connected := map[string]bool{}
			inFlight := make([]int, agents)
			attempts := map[string]int{}
			var coldSends [cold][]time.Duration
			refused := 0
			for events.Len() > 0 && events[0].at < start+length {
				e := heap.Pop(&events).(simulatedEvent)
				if _, ok := e.event.(saltmast.Outcome); ok {
					inFlight[e.agent]--
				}
				for _, a := range fleet[e.agent].Step(e.at, []saltmast.Event{e.event}) {
					switch a := a.(type) {
					case saltmast.SetTimer:
						push(e.at+a.After, e.agent, saltmast.TimerFired{Token: a.Token})
					case saltmast.Subscribe: // fails after a millisecond while the list is unavailable
						calls[e.agent]++
						if e.at < start+outage {
							push(e.at+ms, e.agent, saltmast.List{Kind: saltmast.ListFailed})
						} else {
							push(e.at+ms, e.agent, saltmast.List{Kind: saltmast.ListFull, Backends: updated})
						}
					case saltmast.Probe:
						probes++
					case saltmast.Refuse, saltmast.Fail:
						refused++
					case saltmast.Send:
						inFlight[e.agent]++
						maxInFlight[e.agent] = max(maxInFlight[e.agent], inFlight[e.agent])
						if pair := fmt.Sprint(e.agent, " ", a.Backend); !connected[pair] {
							connected[pair] = true
							connections++
						}
						index := 0
						fmt.Sscanf(a.Backend, "b%d", &index)
						if index < cold && e.at >= start+outage {
							coldSends[index] = append(coldSends[index], e.at)
						}
						push(e.at+service, e.agent, saltmast.Outcome{Request: a.Request, Attempt: attempts[a.Request],
							Backend: a.Backend, Result: saltmast.OK, Latency: service, Done: true})
						attempts[a.Request]++
					}
				}
			}
			// List calls: a first one, then one after each wait, which is uniform below a bound that doubles from AskWithin/32
			// to AskWithin/4, so the mean waits are 1/64, 1/32, 1/16 and then 1/8 of AskWithin. During the outage that makes
			// 4 + outage/(AskWithin/8) calls per agent. One agent may make twice as many by chance, all together a quarter more.
			mean := 4 + outage.Seconds()/(s.AskWithin.Seconds()/8)
			total := 0
			for i, c := range calls {
				total += c
				if float64(c) > 2*mean {
					t.Errorf("agent %d calls the list %d times, bound %.0f", i, c, 2*mean)
				}
			}
			if float64(total) > 1.25*mean*agents {
				t.Errorf("%d calls of the list, bound %.0f", total, 1.25*mean*agents)
			}
			// Connections: the two of the smallest working set, and the most attempts that an agent had in flight at once.
			bound := 0
			for _, m := range maxInFlight {
				bound += 2 + m
			}
			if connections > bound {
				t.Errorf("%d connections, bound %d", connections, bound)
			}
			if probes > 0 {
				t.Errorf("%d probes, want none at the start", probes)
			}
			// Cold backends: in any window at most FallMultiple times the guaranteed capacity, which is the warmth times that of
			// a warm backend (two cores, 40 ms per request, 50 per second). Agents go by what warm backends serve.
			perWarm := 2 / service.Seconds() * s.FallWindow.Seconds()
			coldTotal := 0
			for i, at := range coldSends {
				coldTotal += len(at)
				for j := range at {
					k := j
					for k < len(at) && at[k]-at[j] < s.FallWindow {
						k++
					}
					warmth := s.ColdShare + (1-s.ColdShare)*(at[k-1]-start-outage).Seconds()/s.RampTime.Seconds()
					if limit := s.FallMultiple * warmth * perWarm; float64(k-j) > limit {
						t.Fatalf("cold backend %d gets %d requests in a window, bound %.1f", i, k-j, limit)
					}
				}
			}
			if coldTotal == 0 {
				t.Error("cold backends get no requests")
			}
			if refused > arrivals/50 {
				t.Errorf("%d of %d requests refused at a quarter of the fleet's capacity", refused, arrivals)
			}
		})
	}
}
