package scenario

import (
	"fmt"
	"slices"
)

// The days of a large fleet, by what happens on them; see docs/fleet-days.md.
const (
	Calm  = "calm"  // a burst
	Roll  = "roll"  // half of the servers are replaced in steps while all agents are restarted, a tenth at a time
	Herd  = "herd"  // seven in ten agents are killed at once, servers are released, one in eight gives errors, the list is short of room
	Zone  = "zone"  // a zone, or three in ten servers, goes silent and comes back cold; another zone is cut off; one in eight is slow
	Split = "split" // a zone is cut off, or a fifth of the servers goes silent; the list is late, answers get lost, connections break
	Join  = "join"  // six in ten servers are replaced within 7 s; clients give up early and come again
)

// Days are all of them.
var Days = []string{Calm, Roll, Herd, Zone, Split, Join}

// DrawDay makes a day from a seed, in real time. Zero sizes: 300 agents, a third to two thirds as many servers, 25 s, a
// rate of 0.61 to 0.81 of what the servers can do. Agents are uneven: some have several times the mean.
func DrawDay(day string, seed uint64, size Size) (Scenario, error) {
	no := slices.Index(Days, day)
	if no < 0 {
		return Scenario{}, fmt.Errorf("day %q is none of %v", day, Days)
	}
	d := newDice(seed, 20+uint64(no))
	milli := func(lo, hi int64) float64 { return float64(d.between(lo, hi)) / 1000 }
	agents := orInt(size.Agents, 300)
	servers := orInt(size.Servers, max(4, int(int64(agents)*d.between(333, 666)/1000)))
	s := Draw(seed, Size{Servers: servers, Agents: agents, Rate: size.Rate, ForS: or(size.ForS, 25), Speedup: 1})
	s.Faults, s.Surges = nil, nil
	if size.Rate == 0 {
		s.Rate = float64(int64(s.Rate) * d.between(930, 1030) / 1000)
	}
	s.Clients.Skew, s.Clients.BusyPart, s.Clients.BusyTimes = milli(0, 150), milli(40, 120), milli(3000, 6000)
	if d.chance(500) && servers >= 3*s.PodSize {
		s.Zones = 3
	}
	all := d.Perm(servers)
	part := func(from, to int) []int { // of all servers, in thousandths
		return slices.Sorted(slices.Values(all[servers*from/1000 : max(servers*from/1000+1, servers*to/1000)]))
	}
	inZone := func(z int) (in []int) {
		for i := range servers {
			if i/s.PodSize%s.Zones == z {
				in = append(in, i)
			}
		}
		return in
	}
	add := func(kind string, at, length float64, servers []int) *Fault {
		s.Faults = append(s.Faults, Fault{Kind: kind, AtS: min(at, s.ForS), ForS: length, Servers: servers})
		return &s.Faults[len(s.Faults)-1]
	}
	// release replaces a part of the servers, step by step.
	release := func(kind string, at, within float64, from, to, steps int) {
		for i := range steps {
			add(kind, at+within*float64(i)/float64(steps), milli(1500, 3000), part(from+(to-from)*i/steps, from+(to-from)*(i+1)/steps))
		}
	}
	someAgents := func(from, to int) []int {
		return slices.Sorted(slices.Values(d.Perm(agents)[agents*from/1000 : max(agents*from/1000+1, agents*to/1000)]))
	}
	quarter := s.ForS / 4
	switch day {
	case Calm:
		s.Surges = []Surge{{AtS: quarter, ForS: quarter, Times: 1.5}}
	case Roll:
		release(Drain, quarter/2, 2*quarter, 0, 500, 10)
		for i := range min(10, agents) {
			f := add(Restart, quarter/2+2.5*quarter*float64(i)/10, 0.4, nil)
			for a := i; a < agents; a += 10 {
				f.Agents = append(f.Agents, a)
			}
		}
	case Herd:
		release(Drain, quarter, 1.5*quarter, 0, 300, 4)
		add(Kill, 1.5*quarter, milli(300, 1500), nil).Agents = someAgents(0, 700)
		add(Errors, 0, s.ForS, part(860, 985)).Part = milli(200, 500)
		s.List.LinesPerS /= 2
	case Zone:
		if s.Zones > 1 {
			add(Silent, quarter, 5, inZone(0))
			add(Cut, quarter+7, 4, nil).Zone = 1
		} else {
			add(Silent, quarter, 5, part(0, 300))
		}
		add(Slow, 0, s.ForS, part(860, 985)).Times = milli(2000, 4000)
	case Split:
		if s.Zones > 1 {
			add(Cut, quarter, 6, nil).Zone = 2
		} else {
			add(Silent, quarter, 6, part(0, 200))
		}
		add(ListLate, quarter/2, 2*quarter, nil).AgeS = milli(2000, 4000)
		add(Lost, 0, s.ForS, part(0, 1000)).Part = milli(10, 30)
		add(ResetBefore, 0, s.ForS, part(0, 1000)).Part = milli(20, 60)
	case Join:
		release(Replaced, quarter, 7, 0, 600, 14)
		s.Clients.Impatient, s.Clients.Hasty = milli(10, 30), milli(20, 60)
		s.Clients.Retries, s.Clients.Backoff = 2, "none"
	}
	return s, nil
}
