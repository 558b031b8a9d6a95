package shared

import (
	"cmp"
	"slices"
)

// Bench is by what evidence is judged, at one agent.
type Bench struct {
	Witnesses int              // agents that have to have seen the same, at least 2
	Part      float64          // of the backends may be judged bad at the most
	Backends  map[string]int64 // that the list has up, with their starts
	Zones     map[Agent]string // of the members that are heard, this one included; all "": there is one
	Lost      int              // members that were there and are not heard
}

// Verdict is what others' evidence says of a backend to this agent, with those who said so.
type Verdict struct {
	Backend string   `json:"backend"`
	Bad     bool     `json:"bad"` // else it is back: it was bad, and answers
	Age     uint64   `json:"age"` // turns since the first of them saw it, as far as is known
	For     []string `json:"for"`
	Against []string `json:"against,omitempty"`
}

const (
	// sickPart of the backends that an agent tells of may be bad to it; beyond, it is its own network that is.
	sickPart = 0.5
	// sickFrom backends told of make that a part.
	sickFrom = 3
	// hearsFew: an agent that has lost more members than this part of all is not believed by itself.
	hearsFew = 0.5
)

// Judge says which backends are to be taken for bad, and which that were are back.
//
// Bounds: never on the word of fewer than Witnesses agents, nor of one zone alone where members stand in several; not
// against more who say that it is well, nor against one in this agent's own zone. An agent to whom over half of what it
// tells of is bad is not believed, nor does one believe anybody that has lost half of its members. No more than Part of
// the backends are bad at a time, those with the most evidence first. Every word fades within Terms.Fade turns of the
// fleet's time, and what is said of a process that the list does not have, or not up, is passed over.
func (v *Value) Judge(b Bench) []Verdict {
	if members := len(b.Zones) + b.Lost; float64(b.Lost) > hearsFew*float64(members) {
		return nil
	}
	told, bad := map[Agent]int{}, map[Agent]int{}
	all := v.Evidence()
	for _, e := range all {
		told[e.Agent]++
		if e.Seen.bad() {
			bad[e.Agent]++
		}
	}
	sick := func(a Agent) bool {
		return told[a] >= sickFrom && float64(bad[a]) > sickPart*float64(told[a])
	}
	zones := map[string]bool{}
	for _, z := range b.Zones {
		zones[z] = true
	}
	var out []Verdict
	weight := map[string]int{}
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Backend == all[0].Backend && all[n].Started == all[0].Started {
			n++
		}
		group := all[:n]
		all = all[n:]
		id := group[0].Backend
		if started, up := b.Backends[id]; !up || started != group[0].Started {
			continue
		}
		d := Verdict{Backend: id}
		from := map[string]bool{}
		home := false // somebody in this agent's own zone gets answers
		oldest := v.turn
		for _, e := range group {
			zone, heard := b.Zones[e.Agent]
			if !heard || sick(e.Agent) {
				continue
			}
			switch {
			case e.Seen.bad():
				d.For = append(d.For, e.Agent.String())
				from[zone] = true
				oldest = min(oldest, e.Turn)
			case e.Seen.good():
				d.Against = append(d.Against, e.Agent.String())
				home = home || zone == b.Zones[v.self]
			}
		}
		d.Age = v.turn - oldest
		d.Bad = len(d.For) >= max(2, b.Witnesses) && len(d.For) > len(d.Against) && !home && (len(zones) < 2 || len(from) >= 2)
		if v.wrong == BelievesOne {
			d.Bad = false
			for _, e := range group {
				d.Bad = d.Bad || e.Seen.bad()
			}
		}
		back := len(d.Against) >= max(2, b.Witnesses) && len(d.Against) > len(d.For)
		if d.Bad || back {
			out = append(out, d)
			weight[id] = len(d.For) - len(d.Against)
		}
	}
	if v.wrong == BelievesOne {
		return out
	}
	most := int(b.Part * float64(len(b.Backends)))
	bads := slices.DeleteFunc(slices.Clone(out), func(d Verdict) bool { return !d.Bad })
	slices.SortStableFunc(bads, func(x, y Verdict) int { return cmp.Compare(weight[y.Backend], weight[x.Backend]) })
	over := map[string]bool{}
	for _, d := range bads[min(most, len(bads)):] {
		over[d.Backend] = true
	}
	return slices.DeleteFunc(out, func(d Verdict) bool { return over[d.Backend] })
}

// Doubted are the backends that somebody else says something bad of: what this agent sees of them is worth telling.
func (v *Value) Doubted() map[string]bool {
	out := map[string]bool{}
	for k, e := range v.evidence {
		if k.agent != v.self && e.Seen.bad() {
			out[k.backend] = true
		}
	}
	return out
}
