package simulation

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"saltmast/internal/faultschedule"
	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
)

// Storms of the almanac's kinds: what latchkit days writes for the bench, drawn from the day's seed and played here.

// stormDays are the kinds of this file.
var stormDays = []Day{
	{Name: "almanac", Floor: 0.4, Length: 40 * time.Second, Rate: 6, Keys: 0.3, Again: 4 * time.Second, Size: Size{Core: 4, Voters: 3, Sides: 6}, Events: almanacDay},
	{Name: "almanac-large", Floor: 0.4, Length: 60 * time.Second, Rate: 1.5, Keys: 0.3, Again: 6 * time.Second, Size: Size{Core: 5, Voters: 5, Sides: 12}, Events: almanacDay},
}

func init() { Days = append(Days, stormDays...) }

// What these days have no like of: nothing reads the time of day, and who leaves for good does so on days of its own (in-turn).
var notPlayed = []string{"clock_step", "replace_core"}

const (
	stormFrom = 3 * time.Second  // the almanac's begin of a day
	stormRest = 10 * time.Second // between the closing fault and the day's end
	catchUp   = 4 * time.Second  // for which one that counts is lost after it is back
)

// ailment is what ails one backend beside the day's own faults.
type ailment struct {
	Faults
	slow float64       // work takes so many times as long; 0: once
	hang float64       // part of the requests that get no answer in time
	idle time.Duration // a connection that rests longer is forgotten; 0: none
}

// faults are what a backend does wrong now.
func (b *backend) faults() Faults {
	f := b.m.w.fault
	if a := b.m.ill.Load(); a != nil {
		f.Lose, f.Cut, f.Late, f.Full, f.Fail = max(f.Lose, a.Lose), max(f.Cut, a.Cut), max(f.Late, a.Late), max(f.Full, a.Full), max(f.Fail, a.Fail)
	}
	return f
}

// strained is how long a run takes that would take so long in health.
func (b *backend) strained(took time.Duration) time.Duration {
	a := b.m.ill.Load()
	switch {
	case a == nil:
		return took
	case b.float() < a.hang:
		return 5 * time.Second
	}
	return time.Duration(float64(took) * max(1, a.slow))
}

// rests bounds how long the backend keeps a connection on which nothing comes.
func (b *backend) rests(c net.Conn) {
	if a := b.m.ill.Load(); a != nil && a.idle > 0 {
		c.SetReadDeadline(time.Now().Add(a.idle))
	} else {
		c.SetReadDeadline(time.Time{})
	}
}

// almanacPlay plays one drawn day.
type almanacPlay struct {
	w     *World
	f     *office
	mu    sync.Mutex
	busy  map[*tugMachine]bool
	cores map[*coreMachine]bool // to which something is done
	lost  int                   // of those that count, now or not yet caught up
	wg    sync.WaitGroup
	late  int // machines that came
}

// stormSite is the dry dock as the almanac sees it.
func stormSite(size Size) *faultschedule.Site {
	s := &faultschedule.Site{Name: "dock", Length: 24, Contracts: []string{"health", "pool"},
		Zones: []faultschedule.Named{{Name: "east"}, {Name: "west"}, {Name: "south"}}, Services: []faultschedule.Named{{Name: "pump"}, {Name: "ledger"}},
		Machines: []faultschedule.Machines{{Class: "core", Count: size.Voters}}}
	if size.Sides > 6 {
		s.Length = 40
	}
	s.Timing.CatchUp, s.Tolerate.Machines = catchUp.Seconds(), size.bears()
	return s
}

// stormsDrawn is how many days are drawn before they come again.
const stormsDrawn = 1000

// stormDay is the day of a seed: seeds that follow each other are days of one draw, which deals every kind before one comes again.
func stormDay(site *faultschedule.Site, seed uint64) (faultschedule.Day, error) {
	names := slices.DeleteFunc(site.Plays(), func(n string) bool { return slices.Contains(notPlayed, n) })
	days, err := faultschedule.Draw(site, seed/stormsDrawn, int(seed%stormsDrawn)+1, names)
	if err != nil {
		return faultschedule.Day{}, err
	}
	return days[len(days)-1], nil
}

// almanacDay plays a day of the almanac, with orders all the time.
func almanacDay(w *World, op *operator) {
	site := stormSite(w.size)
	length := site.Length
	d, err := stormDay(site, w.seed)
	if err != nil {
		w.must(err)
		return
	}
	w.until(stormFrom)
	p := &almanacPlay{w: w, f: w.office(4), busy: map[*tugMachine]bool{}, cores: map[*coreMachine]bool{}}
	defer p.f.close()
	wait := p.f.work(stormFrom+time.Duration(length*float64(time.Second)), time.Duration(w.size.Sides)*200*time.Millisecond, 0.1)
	for i, e := range d.Entries {
		w.until(stormFrom + seconds(e.At))
		r := w.rand(fmt.Sprint("almanac ", i))
		if w.leaves(fmt.Sprint("entry ", i), fmt.Sprintf("%s %s", e.Kind, e.How)) || w.now() > stormFrom+seconds(length) {
			continue
		}
		w.note("almanac")(e.Kind, fmt.Sprintf("%+v", e))
		p.wg.Go(func() { p.play(e, r) })
	}
	wait()
	p.wg.Wait()
	if d.Closing != nil && w.now() < w.length-stormRest+2*time.Second {
		w.closes(p.f, op, op.r)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// take takes machines with a backend that nothing else is done to: a share of them, one at least. of: their service; empty: any.
func (p *almanacPlay) take(r *rand.Rand, share float64, of string) (got []*tugMachine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := slices.Clone(p.w.tugs)
	r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	want := max(1, int(share*float64(len(all))+0.5))
	for _, m := range all {
		if len(got) < want && !p.busy[m] && !m.gone && (of == "" || m.service == of) {
			p.busy[m] = true
			got = append(got, m)
		}
	}
	return got
}

// give lets others have them.
func (p *almanacPlay) give(ms []*tugMachine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range ms {
		delete(p.busy, m)
	}
}

// stays reports whether so many of a service stay if one goes for good.
func (p *almanacPlay) stays(m *tugMachine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, x := range p.w.tugs {
		if x.service == m.service && !x.gone {
			n++
		}
	}
	if n <= 2 {
		return false
	}
	m.gone = true
	return true
}

// borne waits until so many of those that count may be lost, and counts them as lost until they have caught up after the call of what it
// gives. It gives nil where the day is over before.
func (p *almanacPlay) borne(n int) (back func()) {
	for {
		p.mu.Lock()
		if p.lost+n <= p.w.size.bears() {
			p.lost += n
			p.mu.Unlock()
			break
		}
		p.mu.Unlock()
		if p.w.now() > p.w.length-stormRest-catchUp || !p.w.pause(20*time.Millisecond) {
			return nil
		}
	}
	return func() {
		p.w.pause(catchUp)
		p.mu.Lock()
		p.lost -= n
		p.mu.Unlock()
	}
}

// whom picks core machines by the words of an entry: also those that found no roll, as nobody outside knows who does.
func (p *almanacPlay) whom(e faultschedule.Entry, r *rand.Rand, n int) (got []*coreMachine) {
	v := p.w.core
	at := r.IntN(len(v))
	if strings.Contains(e.How, "leader") {
		if by := p.f.lastBy.Load(); by != nil {
			at = by.n
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range v {
		if c := v[(at+i)%len(v)]; len(got) < n && !p.cores[c] {
			p.cores[c] = true
			got = append(got, c)
		}
	}
	return got
}

// follows plays what the words of an entry say of its end, for one that counts.
func (p *almanacPlay) follows(e faultschedule.Entry, r *rand.Rand, c *coreMachine) {
	meets, races := strings.Contains(e.How, "meet"), strings.Contains(e.How, "race")
	if meets || races {
		for range map[bool]int{true: 2, false: 1}[races] {
			o := p.f.all[r.IntN(len(p.f.all))]
			s := rand.New(rand.NewPCG(r.Uint64(), 4))
			p.wg.Go(func() { p.f.order(o, s, p.f.draw(s, 0), 0.3) })
		}
	}
	if strings.Contains(e.How, "drain") {
		p.wg.Go(func() {
			p.w.pause(time.Duration(r.IntN(800)) * time.Millisecond)
			ms := p.take(r, 0, "")
			for _, m := range ms {
				m.release()
			}
			p.give(ms)
		})
	}
}

// ail has backends be ill for a while.
func (p *almanacPlay) ail(e faultschedule.Entry, r *rand.Rand, a ailment) {
	ms := p.take(r, e.Share, e.Service)
	for _, m := range ms {
		t := &checker.Trouble{Kind: e.Kind, Machine: m.name, Backend: true, From: p.w.now(), To: 1 << 60}
		p.w.log.AddTrouble(t)
		m.ill.Store(&a)
		defer func() { m.ill.Store(nil); t.To = p.w.now() }()
	}
	p.w.pause(seconds(e.For))
	defer p.give(ms)
}

// play plays one entry to its end.
func (p *almanacPlay) play(e faultschedule.Entry, r *rand.Rand) {
	w, last := p.w, seconds(e.For)
	has := func(word string) bool { return strings.Contains(e.How, word) }
	switch e.Kind {
	case "config_change", "config_race", "config_storm":
		n := max(1, e.Count)
		if e.Gap > 0 && e.For > 0 {
			n = int(e.For / e.Gap)
		}
		for range n {
			for range map[bool]int{true: 2, false: 1}[e.Kind == "config_race"] {
				o, s := p.f.all[r.IntN(len(p.f.all))], rand.New(rand.NewPCG(r.Uint64(), 4))
				p.wg.Go(func() { p.f.order(o, s, p.f.draw(s, 0), 0.1) })
			}
			w.pause(seconds(e.Gap))
		}
	case "bad_config":
		for range max(1, e.Count) {
			p.bad(e, r)
			w.pause(seconds(e.Gap))
		}
	case "release", "srv_crash", "srv_flap":
		ms := p.take(r, e.Share, e.Service)
		defer p.give(ms)
		for _, m := range ms {
			switch {
			case e.Kind == "release":
				m.release()
			case has("gone") && !p.stays(m):
			default:
				p.crash(m, last, seconds(e.Gap), has("gone"))
			}
		}
	case "scale_in", "replace_with_reuse":
		ms := p.take(r, e.Share, e.Service)
		for _, m := range ms[:min(1, len(ms))] {
			if !p.stays(m) {
				continue
			}
			m.leave()
			if e.Kind != "scale_in" {
				w.pause(time.Duration(r.IntN(1500)) * time.Millisecond)
				m.m.PowerOn()
				p.arrives(m.m, map[string]string{"pump": "ledger", "ledger": "pump"}[m.service])
			}
		}
	case "scale_out":
		p.arrives(nil, []string{"pump", "ledger"}[r.IntN(2)])
	case "srv_slow":
		p.ail(e, r, ailment{slow: e.X})
	case "srv_grey":
		a := ailment{}
		switch {
		case has("errors"):
			a.Fail = e.X
		case has("shed"), has("busy"):
			a.Full = e.X
		case has("slow"):
			a.slow = e.X
		case has("reset"):
			a.Lose = e.X
		default:
			a.hang = e.X
		}
		p.ail(e, r, a)
	case "srv_lying_health":
		a := ailment{Faults: Faults{Fail: 1}}
		if has("hang") {
			a = ailment{hang: 1}
		} else if has("reset") {
			a = ailment{Faults: Faults{Lose: 1}}
		} else if has("bad") {
			a = ailment{}
		}
		p.ail(e, r, a)
	case "idle_race":
		p.ail(e, r, ailment{idle: time.Duration(e.X) * time.Millisecond})
	case "answer_lost":
		p.ail(e, r, ailment{Faults: Faults{Lose: e.X}})
	case "garble":
		a := ailment{Faults: Faults{Cut: e.X}}
		if has("extra") {
			a = ailment{Faults: Faults{Late: e.X}}
		}
		p.ail(e, r, a)
	case "seed_turnover":
		var seeds []string
		for _, c := range w.core {
			seeds = append(seeds, net.JoinHostPort(c.m.IP, portControl))
		}
		r.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
		w.reseed(seeds[:2])
	case "lossy":
		for _, m := range w.tugs {
			if m.m.Zone == e.Zone {
				over := w.trouble("lossy", m.name, false)
				w.sea.Lossy(m.m, e.X)
				defer func() { w.sea.Lossy(m.m, 0); over() }()
			}
		}
		for _, c := range w.core {
			if c.m.Zone == e.Zone {
				over := w.trouble("lossy", c.name, true)
				w.sea.Lossy(c.m, e.X)
				defer func() { w.sea.Lossy(c.m, 0); over() }()
			}
		}
		w.pause(last)
	case "burst":
		p.behave(&w.manners.press, e.X-1, last)
	case "retry_abuse":
		p.behave(&w.manners.hasty, e.Share, last)
	case "give_up":
		w.manners.leave.Store(int64(e.X * float64(time.Millisecond)))
		p.behave(&w.manners.leaving, e.Share, last)
	case "ack_lost":
		p.f.deaf.Store(int64(e.X * 1000))
		w.pause(last)
		p.f.deaf.Store(0)
	case "hup":
		ms := p.take(r, e.Share, "")
		for _, m := range ms {
			m.tug.Reload(m.set)
			w.pause(seconds(e.Gap) / 4)
		}
		p.give(ms)
	case "node_cut", "srv_cut":
		p.sides(e, r, "cut")
	case "node_slow", "reset_conns", "node_kill", "node_freeze", "herd_kill", "roll_term":
		if e.On == "core" {
			p.onCore(e, r)
			return
		}
		what := "kill"
		switch {
		case e.Kind == "node_freeze":
			what = "freeze"
		case e.Kind == "node_slow":
			what = "slow"
		case e.Kind == "reset_conns":
			what = "reset"
		case e.Kind == "roll_term":
			what = "stop"
		case has("power"):
			what = "power"
		}
		p.sides(e, r, what)
	default:
		p.onCore(e, r)
	}
}

// behave has clients behave in some way for a while.
func (p *almanacPlay) behave(how *thousandths, share float64, last time.Duration) {
	how.Store(int64(share * 1000))
	p.w.pause(last)
	how.Store(0)
}

// resets resets a part of a machine's connections.
func (w *World) resets(m *network.Machine, seed uint64, part float64) {
	r := rand.New(rand.NewPCG(seed, 5))
	w.sea.Reset(m, func() bool { return r.Float64() < part })
}

// reseed has all settings files name other seeds, by which the next lives begin.
func (w *World) reseed(seeds []string) {
	w.seedMu.Lock()
	defer w.seedMu.Unlock()
	for _, c := range w.core {
		c.seed = seeds
	}
	for _, m := range w.tugs {
		m.seed = seeds
	}
}

// crash ends a backend without a word, by turns where there is a gap; it stays away where it is gone.
func (p *almanacPlay) crash(m *tugMachine, last, gap time.Duration, gone bool) {
	w := p.w
	t := &checker.Trouble{Kind: "crash", Machine: m.name, Backend: true, From: w.now(), To: 1 << 60}
	w.log.AddTrouble(t)
	defer func() { t.To = w.now() }()
	end := w.now() + last
	for {
		m.endBackend()
		if gone {
			return
		}
		if gap == 0 {
			w.pause(last)
			m.startBackend()
			return
		}
		w.pause(gap)
		m.startBackend()
		if !w.pause(gap) || w.now() >= end {
			return
		}
	}
}

// arrives has another machine with a backend come. at: the address of one that left; nil: a new one.
func (p *almanacPlay) arrives(at *network.Machine, service string) {
	p.mu.Lock()
	p.late++
	n := p.late
	p.mu.Unlock()
	if at == nil {
		at = p.w.sea.Machine(fmt.Sprintf("10.3.0.%d", 100+n), "south")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.w.arrive(&tugMachine{n: 50 + n, m: at, name: fmt.Sprintf("late-%d", n), service: service}, 3, p.w.length)
}

// sides does something to machines with a proxy.
func (p *almanacPlay) sides(e faultschedule.Entry, r *rand.Rand, what string) {
	w, last := p.w, seconds(e.For)
	ms := p.take(r, e.Share, "")
	defer p.give(ms)
	var all sync.WaitGroup
	for i, m := range ms {
		if what == "stop" { // one after the other
			w.pause(time.Duration(i) * seconds(e.Gap) / 2)
			if strings.Contains(e.How, "remove") {
				if p.stays(m) {
					m.leave()
				}
			} else {
				m.restart()
			}
			continue
		}
		all.Go(func() {
			over := w.trouble(what, m.name, false)
			defer over()
			switch what {
			case "kill":
				m.kill()
				w.pause(min(last, time.Second))
				w.must(m.start())
			case "power":
				m.powerOff()
				w.pause(last)
				w.must(m.powerOn())
			case "freeze":
				m.m.Freeze(true)
				w.pause(last)
				m.m.Freeze(false)
			case "slow":
				w.sea.Slow(m.m, slowLink)
				w.pause(last)
				w.sea.Slow(m.m, 0)
			case "reset":
				w.resets(m.m, r.Uint64(), e.X)
			case "cut":
				if strings.Contains(e.How, "servers") || strings.Contains(e.How, "all") {
					w.sea.CutOff(m.m)
					w.pause(last)
					w.sea.JoinAgain(m.m)
					return
				}
				for _, c := range w.core {
					w.sea.Cut(m.m, c.m)
				}
				w.pause(last)
				for _, c := range w.core {
					w.sea.Join(m.m, c.m)
				}
			}
		})
	}
	all.Wait()
}

// onCore does something to those that count, once it is borne.
func (p *almanacPlay) onCore(e faultschedule.Entry, r *rand.Rand) {
	w, last, n := p.w, seconds(e.For), max(1, e.Count)
	has := func(word string) bool { return strings.Contains(e.How, word) }
	parts := e.Kind == "core_cut" && (has("behind") || has("split") || has("relieve"))
	if e.Kind == "herd_kill" || has("both") || parts {
		n = w.size.bears()
	}
	back := p.borne(n)
	if back == nil {
		return
	}
	defer back()
	after := e.Kind == "after_ack_kill" || e.Kind == "after_ack_wipe"
	if e.Kind == "herd_kill" && has("taken") || after && has("taken") {
		w.acknowledged(p.f, rand.New(rand.NewPCG(0, 0)))
	} else if after {
		o, s := p.f.all[0], rand.New(rand.NewPCG(r.Uint64(), 4))
		if has("timed") {
			p.wg.Go(func() { p.f.order(o, s, p.f.draw(s, 0), 0) })
			w.pause(time.Duration(5+r.IntN(395)) * time.Millisecond)
		} else {
			p.f.order(o, s, p.f.draw(s, 0), 0)
			e.How += " leader"
		}
	}
	if e.Kind == "herd_kill" {
		w.allGo(r, has("power") || has("off"), last)
		return
	}
	if parts {
		p.part(e, r)
		return
	}
	what := map[string]string{"node_kill": "kill", "node_freeze": "freeze", "node_slow": "slow", "core_cut": "cut from others", "after_ack_kill": "power", "after_ack_wipe": "wipe, power", "roll_term": "kill"}[e.Kind]
	switch {
	case e.Kind == "node_kill" && has("power"):
		what = "power"
	case e.Kind == "core_cut" && (has("all") || has("near")):
		what = "cut"
	case e.Kind == "after_ack_kill" && has("kill"):
		what = "kill"
	case e.Kind == "roll_term" && has("remove"):
		return // another machine takes no place here without its disk: see voter-asked
	}
	if e.Kind == "roll_term" {
		n, last = int(e.Share*float64(w.size.Core)+0.99), 400*time.Millisecond
	}
	who := p.whom(e, r, n)
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range who {
			delete(p.cores, c)
		}
	}()
	var all sync.WaitGroup
	for i, c := range who {
		one := func() {
			if strings.HasPrefix(e.Kind, "disk") {
				over := w.trouble("disk", c.name, true)
				c.ill.Store(map[string]int32{"disk_slow": diskSlow, "disk_stall": diskHangs, "disk_full": diskRefuses}[e.Kind])
				w.pause(last)
				c.ill.Store(diskWell)
				over()
			} else if e.Kind == "reset_conns" {
				over := w.trouble("reset", c.name, true)
				w.resets(c.m, r.Uint64(), e.X)
				over()
			} else {
				w.awayFor(c, what, last)
			}
			p.follows(e, r, c)
		}
		if e.Kind == "roll_term" {
			one()
			if i < len(who)-1 {
				w.pause(seconds(e.Gap))
			}
			continue
		}
		if has("meet") { // also while it is away
			p.follows(faultschedule.Entry{How: "meet"}, r, c)
		}
		all.Go(one)
	}
	if has("seeds") && len(who) > 0 { // new seeds begin with who is cut off, and some others start again by them
		seeds := []string{net.JoinHostPort(who[0].m.IP, portControl)}
		for _, c := range w.core {
			if c != who[0] && len(seeds) < 3 {
				seeds = append(seeds, net.JoinHostPort(c.m.IP, portControl))
			}
		}
		w.reseed(seeds)
		w.pause(500 * time.Millisecond)
		p.sides(faultschedule.Entry{Share: 0.2, For: 0.3}, r, "kill")
	}
	all.Wait()
	if has("both") {
		w.allGo(r, false, 200*time.Millisecond)
	}
}

// bad sends a change that is not valid.
func (p *almanacPlay) bad(e faultschedule.Entry, r *rand.Rand) {
	v := p.f.next()
	wrong := route{name: fmt.Sprintf("r-wrong%d", v), prefix: fmt.Sprintf("/wrong%d/", v), kind: "idempotent", services: []string{"pump"}, deadline: 1, target: 0.3, attempts: 2}
	switch {
	case strings.Contains(e.How, "same_place"):
		wrong.prefix = routes[1].prefix
	case strings.Contains(e.How, "no_weight"):
		wrong.services = nil
	case strings.Contains(e.How, "no_timeout"):
		wrong.deadline = 0
	default:
		wrong.services = []string{"nobody"}
	}
	p.f.order(p.f.all[r.IntN(len(p.f.all))], r, &checker.Call{Items: []checker.Item{wrong.item(v)}, Invalid: true}, 0)
}
