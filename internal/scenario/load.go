package scenario

import (
	"fmt"
	"slices"
)

// Load is one request of a load that is not drawn but given, as by a recording.
type Load struct {
	AtUs  int64
	Class string
	ID    string
	Key   string // of a keyed class; "" has one drawn
	Route string // "" has one drawn
}

// SetLoad has a plan play a given load in place of the drawn one. What a load does not tell is drawn as for any other: work,
// patience, habits of the clients. Operations go to agents by their route, or else in turn. Loads must come in the order of
// their moments; those from the scenario's end on are left out. An error names what can't be played, and changes nothing.
func (p *Plan) SetLoad(loads []Load) error {
	s := &p.Scenario
	if len(loads) > MaxArrivals {
		return fmt.Errorf("%d requests, %d allowed", len(loads), MaxArrivals)
	}
	index := map[string]int{}
	var names []string
	for i, c := range s.Classes {
		index[c.Name] = i
		names = append(names, c.Name)
	}
	d := newDice(s.Seed, 7)
	var arrivals []Arrival
	counts := make([]int, len(s.Classes))
	for i, l := range loads {
		class, ok := index[l.Class]
		switch {
		case !ok:
			return fmt.Errorf("class %q is none of %v", l.Class, names)
		case i > 0 && l.AtUs < loads[i-1].AtUs || l.AtUs < 0:
			return fmt.Errorf("request %d comes before the one ahead of it", i+1)
		case l.AtUs >= secondsUs(s.ForS):
			continue
		}
		c := &s.Classes[class]
		a := Arrival{AtUs: l.AtUs, Class: class, ID: l.ID, Route: l.Route, Agent: i % s.Agents}
		if l.Route != "" {
			a.Agent = int(hash(l.Route) % uint64(s.Agents))
		} else {
			a.Route = fmt.Sprintf("%016x", d.Uint64())
		}
		if c.Effect == Keyed {
			if a.Key = l.Key; a.Key == "" {
				a.Key = fmt.Sprintf("%016x%016x", d.Uint64(), d.Uint64())
			}
		}
		p.habits(&a, d)
		counts[class]++
		arrivals = append(arrivals, a)
	}
	if len(arrivals) == 0 {
		return fmt.Errorf("no request within %v s", s.ForS)
	}
	p.Arrivals = arrivals
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes { // for the record: what is really asked for
		s.Classes[i].Share = float64(counts[i]) / float64(len(arrivals))
	}
	s.Rate = float64(len(arrivals)) / s.ForS
	s.Surges = nil
	return nil
}

// habits draws what a client does and how much work its request is.
func (p *Plan) habits(a *Arrival, d dice) {
	s := &p.Scenario
	c := &s.Classes[a.Class]
	a.WorkUs = max(1, d.work(milli(thousandths(c.WorkCV)), c.Dist == "pareto").times(thousandths(c.WorkMs)))
	a.Budget = max(1, thousandths(c.DeadlineMs)*thousandths(s.Clients.BudgetShare)/1_000_000)
	if d.chance(thousandths(s.Clients.Impatient)) {
		a.LeaveUs = d.between(0, a.Budget*500)
	}
	a.Honours = d.chance(thousandths(s.Clients.Honour))
	if s.Clients.Hasty > 0 && d.chance(thousandths(s.Clients.Hasty)) {
		a.LeaveUs, a.Hasty = max(1, d.between(a.Budget*20, a.Budget*250)), true
	}
}
