package loadline

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
)

// change sends one change to a core machine.
func (x *run) change(items []item, core int) error {
	raw, err := json.Marshal(map[string]any{"upsert": map[string]any{"resources": items}, "remove": map[string]any{"routes": []any{}}})
	if err != nil {
		return err
	}
	return x.call(http.MethodPatch, x.l.CoreAddr(core%x.o.Core, control), "/v1/configuration", raw)
}

// play plays one phase.
func (x *run) play(name string) (err error) {
	if err := x.ctx.Err(); err != nil {
		return err
	}
	x.o.Log("%s", name)
	var p Phase
	switch name {
	case "quiet":
		if err = x.pause(min(3*time.Second, x.o.Quiet)); err == nil { // news of the start has gone round
			p, err = x.stretch(name, func() error { return x.pause(x.o.Quiet) })
		}
	case "beats":
		p, err = x.beats()
	case "hops":
		p, err = x.hops()
	case "storm":
		p, err = x.storm()
	case "claims":
		p, err = x.claims()
	case "zone":
		p, err = x.zone()
	case "rolling":
		p, err = x.rolling()
	case "core":
		p, err = x.lose()
	}
	if p.Name != "" {
		x.r.Phases = append(x.r.Phases, p)
	}
	return err
}

func (x *run) stretch(name string, do func() error) (Phase, error) {
	before := x.gather()
	if err := do(); err != nil {
		return Phase{}, err
	}
	return x.phase(name, before, x.gather()), nil
}

// beats has the backends of real proxies beat often.
func (x *run) beats() (Phase, error) {
	if len(x.tugs) == 0 {
		return Phase{}, errors.New("no real proxies")
	}
	const every = 10 * time.Millisecond
	x.beatRate <- every
	p, err := x.stretch("beats", func() error { return x.pause(x.o.Quiet) })
	x.beatRate <- time.Second
	p.Figures = map[string]float64{"beats_s": float64(time.Second / every)}
	return p, err
}

// changed is one change that was sent.
type changed struct {
	sent  int64 // monotonic
	took  time.Duration
	item  string
	wants int // version
	tries int
	err   error
}

// againFor is how long a change that was not taken is sent again, and againAfter the wait between two sends.
const (
	againFor   = 10 * time.Second
	againAfter = 20 * time.Millisecond
)

// changes sends changes of one route each at a rate, eight at a time at the most, for as long as goOn says. One that is not
// taken is sent again, to where the next one would go.
func (x *run) changes(rate int, to func(n int) int, goOn func(since time.Duration) bool) (all []changed) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	tickets := make(chan struct{}, 8)
	begun := time.Now()
	for n := 0; goOn(time.Since(begun)) && x.ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(n)*time.Second/time.Duration(rate) - time.Since(begun))
		tickets <- struct{}{}
		if n%x.o.Services == 0 {
			x.version++
		}
		s := x.l.Service(n)
		c := changed{item: "route-" + s, wants: x.version}
		wg.Go(func() {
			defer func() { <-tickets }()
			c.sent = monotonic()
			for end := time.Now().Add(againFor); ; time.Sleep(againAfter) {
				c.err = x.change([]item{route(c.item, c.wants, "/"+s+"/", s)}, to(n+c.tries))
				if c.tries++; c.err == nil || time.Now().After(end) || x.ctx.Err() != nil {
					break
				}
			}
			c.took = time.Duration(monotonic() - c.sent)
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
		})
	}
	wg.Wait()
	return all
}

// ballots learns by which ballot each change was chosen: it pulls from a harbourmaster, as a proxy does, until stopped.
func (x *run) ballots(from int) (stop func() map[string]uint64) {
	c := rpc.NewClient(nil, x.l.CoreAddr(from, free+messages.RegistryPort))
	var over atomic.Bool
	known := map[string]uint64{}
	done := make(chan struct{})
	call := messages.PullCall{HoldMs: 200}
	pull := func() bool {
		var news messages.PullReply
		if c.Call(messages.Pull, call, &news, 5*time.Second) != nil {
			return false
		}
		call = next(call, news)
		for _, i := range news.Items {
			known[fmt.Sprintf("%s %d", i.Key.Name, i.Version)] = i.Ballot.N
		}
		return true
	}
	pull()
	go func() {
		defer close(done)
		for !over.Load() {
			if !pull() {
				time.Sleep(20 * time.Millisecond)
			}
		}
	}()
	return func() map[string]uint64 {
		over.Store(true)
		<-done
		pull()
		c.Close()
		return known
	}
}

// spread is how long changes took to be everywhere, from their sending.
func (x *run) spread(all []changed, known map[string]uint64, p *Phase) {
	acks := newTimes()
	refused, unknown, again := 0, 0, 0
	var marks []mark
	for _, c := range all {
		again += c.tries - 1
		if c.err != nil {
			refused++
			continue
		}
		acks.RecordValue(min(c.took.Microseconds(), mostTime))
		n, ok := known[fmt.Sprintf("%s %d", c.item, c.wants)]
		if !ok { // the next change of that item came before it was seen
			unknown++
			continue
		}
		marks = append(marks, mark{n, c.sent})
	}
	each, last := newTimes(), newTimes()
	most := make([]int64, len(marks))
	missing := 0
	for _, h := range x.hollows {
		t, err := h.do(order{Do: "delays", Marks: marks})
		if err != nil || t.Spread == nil {
			missing += len(marks)
			continue
		}
		each.Merge(hdrhistogram.Import(t.Spread))
		missing += t.Missing
		for k, at := range t.Last {
			most[k] = max(most[k], at)
		}
	}
	for _, ns := range most {
		if ns > 0 {
			last.RecordValue(min(ns/1000, mostTime))
		}
	}
	p.Times = map[string]Times{"acknowledged": times(acks, 0), "at an agent": times(each, missing), "at all agents": times(last, 0)}
	p.Figures = map[string]float64{"sent": float64(len(all)), "refused": float64(refused), "sent_again": float64(again), "unknown": float64(unknown)}
}

func (x *run) storm() (Phase, error) {
	known := x.ballots(0)
	var all []changed
	var took time.Duration
	p, err := x.stretch("storm", func() error {
		begun := time.Now()
		all = x.changes(x.o.Rate, func(int) int { return 0 }, func(since time.Duration) bool { return since < x.o.Quiet })
		took = time.Since(begun)
		return nil
	})
	if err == nil {
		err = x.pause(2 * time.Second)
	}
	x.spread(all, known(), &p)
	p.Figures["wanted_s"], p.Figures["taken_s"] = float64(x.o.Rate), (float64(len(all))-p.Figures["refused"])/took.Seconds()
	return p, err
}

// claims claims new keys from one place, by so many at a time.
const claimants = 64

func (x *run) claims() (Phase, error) {
	co := quorum.New(nil)
	defer co.Close()
	c := rpc.NewClient(nil, x.pursers[0].addr)
	defer c.Close()
	var w messages.WatchReply
	if err := c.Call(messages.Watch, messages.WatchCall{Have: configuration.Ballot{N: 1 << 62}}, &w, 2*time.Second); err != nil {
		return Phase{}, err
	}
	co.Update(w.VoterSet)
	took := newTimes()
	var mu sync.Mutex
	lost := 0
	n := atomic.Uint64{}
	p, err := x.stretch("claims", func() error {
		end := time.Now().Add(x.o.Quiet)
		var wg sync.WaitGroup
		for range claimants {
			wg.Go(func() {
				for time.Now().Before(end) && x.ctx.Err() == nil {
					k := n.Add(1)
					begun := time.Now()
					call := rpc.Encode(messages.ClaimCall{Key: fmt.Sprintf("scale-key-%012d", k), ID: idempotency.ID{Incarnation: 1, N: k, Addr: x.l.Addr(0, free)}, Epoch: w.VoterSet.Epoch})
					votes := 0
					co.Broadcast(messages.Claim, func(int) []byte { return call }, time.Second, func(t quorum.Response) bool {
						if t.Err == nil {
							votes++
						}
						return votes >= consensus.Majority(len(w.VoterSet.Voters))
					})
					mu.Lock()
					if votes >= consensus.Majority(len(w.VoterSet.Voters)) {
						took.RecordValue(time.Since(begun).Microseconds())
					} else {
						lost++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		return nil
	})
	p.Times = map[string]Times{"granted": times(took, 0)}
	p.Figures = map[string]float64{"not_granted": float64(lost), "claims_s": float64(took.TotalCount()) / p.Seconds, "at_once": claimants}
	return p, err
}

// zone has all agents of one zone go at once and come back.
func (x *run) zone() (Phase, error) {
	gone := min(8*time.Second, 3*x.o.Quiet)
	z := min(x.o.Zones, x.o.Agents) - 1
	before := x.gather()
	if err := x.orders(func(int) order { return order{Do: "kill", From: 0, To: x.o.Agents, Zone: z} }); err != nil {
		return Phase{}, err
	}
	if err := x.pause(gone); err != nil {
		return Phase{}, err
	}
	away := x.phase("zone away", before, x.gather())
	x.r.Phases = append(x.r.Phases, away)
	before = x.gather()
	begun := time.Now()
	if err := x.orders(x.again(z)); err != nil {
		return Phase{}, err
	}
	ready, err := x.settled(x.o.Agents, 60*time.Second)
	p := x.phase("zone back", before, x.gather())
	p.Figures = map[string]float64{"agents": float64((x.o.Agents - z + x.o.Zones - 1) / x.o.Zones), "ready_s": ready.Sub(begun).Seconds(), "agreed_s": time.Since(begun).Seconds()}
	return p, err
}

// again has each process start its agents of a zone.
func (x *run) again(zone int) func(i int) order {
	return func(i int) order {
		to := x.o.Agents
		if i+1 < len(x.from) {
			to = x.from[i+1]
		}
		return order{Do: "start", From: x.from[i], To: to, Zone: zone}
	}
}

// rolling restarts agents one after the other, ten a second.
func (x *run) rolling() (Phase, error) {
	if len(x.hollows) == 0 {
		return Phase{}, errors.New("no hollow agents")
	}
	n := min(50, max(1, x.o.Agents/20))
	begun := time.Now()
	var settled time.Duration
	p, err := x.stretch("rolling", func() error {
		h := x.hollows[0]
		for i := range n {
			if _, err := h.do(order{Do: "kill", From: i, To: i + 1, Zone: -1}); err != nil {
				return err
			}
			if _, err := h.do(order{Do: "start", From: i, To: i + 1, Zone: -1}); err != nil {
				return err
			}
			if err := x.pause(max(0, time.Duration(i+1)*100*time.Millisecond-time.Since(begun))); err != nil {
				return err
			}
		}
		_, err := x.settled(x.o.Agents, 60*time.Second)
		settled = time.Since(begun)
		return err
	})
	p.Figures = map[string]float64{"restarted": float64(n), "agreed_s": settled.Seconds()}
	return p, err
}

// lose kills a core machine that voted while changes go on at another, and starts it again.
func (x *run) lose() (Phase, error) {
	away := min(6*time.Second, 2*x.o.Quiet)
	known := x.ballots(0)
	var all []changed
	var killed int64
	p, err := x.stretch("core", func() error {
		done := make(chan struct{})
		go func() {
			defer close(done)
			all = x.changes(10, func(n int) int { return n % 2 * 2 }, func(since time.Duration) bool { return since < away+time.Second })
		}()
		if err := x.pause(time.Second); err != nil {
			<-done
			return err
		}
		killed = monotonic()
		x.harbours[1].kill()
		x.pursers[1].kill()
		<-done
		return nil
	})
	if err != nil {
		known()
		return p, err
	}
	if err := x.pause(2 * time.Second); err != nil {
		known()
		return p, err
	}
	x.spread(all, known(), &p)
	// the longest time without an acknowledgement, and the first after the loss
	acked, gap, first := killed, int64(0), int64(0)
	var ats []int64
	for _, c := range all {
		if at := c.sent + int64(c.took); c.err == nil && at > killed {
			ats = append(ats, at)
		}
	}
	slices.Sort(ats)
	for _, at := range ats {
		gap = max(gap, at-acked)
		acked = at
		if first == 0 {
			first = at - killed
		}
	}
	p.Figures["first_ack_ms"], p.Figures["longest_gap_ms"] = float64(first)/1e6, float64(gap)/1e6
	begun := time.Now()
	for program, c := range map[string]*runningProgram{"purser": x.pursers[1], "harbourmaster": x.harbours[1]} {
		if err := x.settings(c.settings, 1, true, false, program); err != nil {
			return p, err
		}
		if err := c.start(0); err != nil {
			return p, err
		}
	}
	err = x.until("the core machine serves again", 30*time.Second, func() bool {
		h, err := x.report(x.harbours[1])
		s, err2 := x.report(x.pursers[1])
		o, err3 := x.report(x.pursers[0])
		return err == nil && err2 == nil && err3 == nil && s.Store != nil && s.Store.State == "serving" && s.Chosen == o.Chosen &&
			(x.o.Mute || h.BackendsTotal >= x.o.Agents+x.o.Tugs)
	})
	p.Figures["back_s"] = time.Since(begun).Seconds()
	return p, err
}
