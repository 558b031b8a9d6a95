package saltmast_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// A wave: dozens of agents that start in one moment from the same old list, a part of it cold, and send unevenly. What they
// do together is counted; nothing here is timed by the machine's clock.

// waveEvent is something that reaches one agent.
type waveEvent struct {
	at    time.Duration
	seq   int
	agent int
	event saltmast.Event
}

type waveHeap []waveEvent

func (h waveHeap) Len() int { return len(h) }
func (h waveHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h waveHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *waveHeap) Push(x any)   { *h = append(*h, x.(waveEvent)) }
func (h *waveHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// TestWaveOfStarts bounds by count what a start of all at once costs the list, the backends' tables and cold backends, with the
// list out of reach at first, a fifth of the backends back cold once it is not, and Balancers told right and wrong by a factor of three.
func TestWaveOfStarts(t *testing.T) {
	const agents, n, cold = 80, 60, 12
	const service, outage, length = 40 * ms, 2 * time.Second, 8 * time.Second
	for _, told := range []int{agents / 3, agents, agents * 3} {
		t.Run(fmt.Sprint("told ", told), func(t *testing.T) {
			s := settings()
			s.Balancers, s.Subscribe, s.IdleClose, s.ConnectTimeout = told, true, time.Minute, 100*ms
			start := time.Hour
			var list []saltmast.Backend
			for i := range n {
				list = append(list, saltmast.Backend{ID: fmt.Sprint("b", i)})
			}
			later := append([]saltmast.Backend(nil), list...)
			for i := range cold { // known of old, and started again while the list was out of reach
				later[i].Started = start + outage
			}
			var h waveHeap
			seq := 0
			push := func(at time.Duration, agent int, e saltmast.Event) {
				seq++
				heap.Push(&h, waveEvent{at, seq, agent, e})
			}
			fleet := make([]*saltmast.Balancer, agents)
			arrivals, most := 0, make([]int, agents)
			for i := range fleet {
				b, err := saltmast.New(s, uint64(i))
				if err != nil {
					t.Fatal(err)
				}
				fleet[i] = b
				push(start, i, saltmast.List{Kind: saltmast.ListCached, Backends: list})
				// One agent has a fifth of what comes, the rest by its inverse rank: 650 a second in all.
				rate := 520.0 / 4.5 / float64(i+1)
				if i == 0 {
					rate = 130
				}
				for at := 1 / rate * float64(i%7+1) / 8; at < length.Seconds(); at += 1 / rate {
					arrivals++
					push(start+time.Duration(at*1e9), i, saltmast.Request{ID: fmt.Sprint("q", arrivals), Class: safe, TimeLeft: 2 * time.Second})
				}
			}
			calls, connects, probes := make([]int, agents), 0, 0
			linked := map[string]bool{}
			inFlight := make([]int, agents)
			attempts := map[string]int{}
			var coldSends [cold][]time.Duration
			refused := 0
			for h.Len() > 0 && h[0].at < start+length {
				e := heap.Pop(&h).(waveEvent)
				if _, ok := e.event.(saltmast.Outcome); ok {
					inFlight[e.agent]--
				}
				for _, a := range fleet[e.agent].Step(e.at, []saltmast.Event{e.event}) {
					switch a := a.(type) {
					case saltmast.SetTimer:
						push(e.at+a.After, e.agent, saltmast.TimerFired{Token: a.Token})
					case saltmast.Subscribe: // refused after a millisecond while the list is out of reach
						calls[e.agent]++
						if e.at < start+outage {
							push(e.at+ms, e.agent, saltmast.List{Kind: saltmast.ListFailed})
						} else {
							push(e.at+ms, e.agent, saltmast.List{Kind: saltmast.ListFull, Backends: later})
						}
					case saltmast.Probe:
						probes++
					case saltmast.Refuse, saltmast.Fail:
						refused++
					case saltmast.Send:
						inFlight[e.agent]++
						most[e.agent] = max(most[e.agent], inFlight[e.agent])
						if pair := fmt.Sprint(e.agent, " ", a.Backend); !linked[pair] {
							linked[pair] = true
							connects++
						}
						no := 0
						fmt.Sscanf(a.Backend, "b%d", &no)
						if no < cold && e.at >= start+outage {
							coldSends[no] = append(coldSends[no], e.at)
						}
						push(e.at+service, e.agent, saltmast.Outcome{Request: a.Request, Attempt: attempts[a.Request],
							Backend: a.Backend, Result: saltmast.OK, Latency: service, Done: true})
						attempts[a.Request]++
					}
				}
			}
			// The list: a first call, then one after each wait, drawn evenly below a bound that doubles from AskWithin/32
			// to AskWithin/4, so in the mean after 1/64, 1/32, 1/16 and then 1/8 of it. In the outage that makes
			// 4 + outage/(AskWithin/8) for one agent; as many again for chance. The fleet's mean has no such slack: a quarter.
			mean := 4 + outage.Seconds()/(s.AskWithin.Seconds()/8)
			total := 0
			for i, c := range calls {
				total += c
				if float64(c) > 2*mean {
					t.Errorf("agent %d asks the list %d times, bound %.0f", i, c, 2*mean)
				}
			}
			if float64(total) > 1.25*mean*agents {
				t.Errorf("the list is asked %d times, bound %.0f", total, 1.25*mean*agents)
			}
			// Connections: the two of the least set, and one for each attempt that an agent ever had out at once.
			bound := 0
			for _, m := range most {
				bound += 2 + m
			}
			if connects > bound {
				t.Errorf("%d connections, bound %d", connects, bound)
			}
			if probes > 0 {
				t.Errorf("%d probes, none is of use at a start", probes)
			}
			// Cold: within any window no more than the multiple of what it surely can do, its warmth's part of a warm one's:
			// two cores, 40 ms a request, 50 a second. Agents know nothing of cores; they go by what warm ones serve.
			perWarm := 2 / service.Seconds() * s.FallWindow.Seconds()
			got := 0
			for i, at := range coldSends {
				got += len(at)
				for j := range at {
					k := j
					for k < len(at) && at[k]-at[j] < s.FallWindow {
						k++
					}
					warmth := s.ColdShare + (1-s.ColdShare)*(at[k-1]-start-outage).Seconds()/s.RampTime.Seconds()
					if limit := s.FallMultiple * warmth * perWarm; float64(k-j) > limit {
						t.Fatalf("cold backend %d gets %d in a window, bound %.1f", i, k-j, limit)
					}
				}
			}
			if got == 0 {
				t.Error("cold backends get nothing")
			}
			if refused > arrivals/50 {
				t.Errorf("%d of %d refused by a fleet that is at a quarter of its load", refused, arrivals)
			}
		})
	}
}
