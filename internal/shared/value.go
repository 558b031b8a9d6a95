package shared

import (
	"maps"
	"slices"
	"time"
)

// Kind says what is counted.
type Kind uint8

// What is counted, by label (a class).
const (
	Requests Kind = iota // taken from clients
	Answered             // attempts that a backend answered, in whatever way: it surely saw them
	Retries              // attempts that were sent, but for the first of each request
	Refusals             // requests that were refused
	Kinds    = 4
)

// Tally is one count of each kind.
type Tally [Kinds]uint64

// join takes the greater of each.
func (t Tally) join(o Tally) Tally {
	for k := range t {
		t[k] = max(t[k], o[k])
	}
	return t
}

// Terms are what all agents of a fleet have to agree on, from the operator's file.
type Terms struct {
	Turn    time.Duration // length of a turn
	Window  int           // turns in a window of counts
	Windows int           // that are kept, the present one included
	Agents  int           // incarnations that may be held at once, this one included
	Fade    uint64        // turns after which evidence counts no more
}

// Value is what an agent knows of the fleet's counts and of its time. It belongs to one goroutine.
//
// Turns are the fleet's time without a clock: each agent goes on by one when its own clock says that it has been in a
// turn for Terms.Turn, and to the greatest that it hears of. So the fleet goes as fast as its fastest clock, parts of a cut
// go on alone, and what wakes after a pause goes on by what it slept. Windows of counts are Terms.Window turns.
//
// Bound of counts: a cell (agent, window, label, kind) is written by its agent alone and only grows, so the sum of a
// window never falls while it is kept, and counts nothing twice, in whatever order and however often it is heard. It is
// exact for each incarnation but for what that one counted since its last message that arrived. A window that is more
// than Terms.Windows old is forgotten by all, whoever brings it back: so are agents that departed, without a farewell.
type Value struct {
	terms  Terms
	self   Agent
	turn   uint64
	since  time.Duration // when this turn began here
	agents map[Agent]*known
	wrong  Wrong

	evidence map[of]Evidence
}

// known is what is known of one agent.
type known struct {
	windows map[uint64]map[string]Tally
	heard   time.Duration // when something new of it came
}

// NewValue returns the value of an agent that has heard nothing.
func NewValue(self Agent, t Terms, now time.Duration) *Value {
	return &Value{terms: t, self: self, since: now, agents: map[Agent]*known{}, evidence: map[of]Evidence{}}
}

// Turn is the present turn, Window the present window.
func (v *Value) Turn() uint64   { return v.turn }
func (v *Value) Window() uint64 { return v.turn / uint64(v.terms.Window) }

// Advance lets time pass.
func (v *Value) Advance(now time.Duration) {
	if n := (now - v.since) / v.terms.Turn; n > 0 {
		v.since += n * v.terms.Turn
		v.lead(min(v.turn+uint64(n), maxTurn))
	}
}

// lead goes to a later turn and forgets what has become too old.
func (v *Value) lead(turn uint64) {
	before := v.Window()
	v.turn = turn
	if v.Window() == before {
		return
	}
	oldest := v.oldest()
	for a, k := range v.agents {
		maps.DeleteFunc(k.windows, func(w uint64, _ map[string]Tally) bool { return w < oldest })
		if len(k.windows) == 0 {
			delete(v.agents, a)
		}
	}
}

// oldest is the first window that is kept.
func (v *Value) oldest() uint64 {
	return max(v.Window(), uint64(v.terms.Windows)-1) - (uint64(v.terms.Windows) - 1)
}

// Add counts n of a kind under a label, in the present window.
func (v *Value) Add(now time.Duration, label string, k Kind, n uint64) {
	if n == 0 {
		return
	}
	v.Advance(now)
	t := v.window(v.self, v.Window(), now)
	if _, ok := t[label]; !ok && len(t) >= maxLabels-1 {
		label = Others
	}
	c := t[label]
	c[k] = min(maxCount, c[k]+min(n, maxCount))
	t[label] = c
}

// window is an agent's window, made if it is not there; nil: there is no place.
func (v *Value) window(a Agent, w uint64, now time.Duration) map[string]Tally {
	k := v.agents[a]
	if k == nil {
		if a != v.self && len(v.agents) >= v.terms.Agents {
			return nil
		}
		k = &known{windows: map[uint64]map[string]Tally{}, heard: now}
		v.agents[a] = k
	}
	t := k.windows[w]
	if t == nil {
		t = map[string]Tally{}
		k.windows[w] = t
	}
	return t
}

// Record is one window of one agent's counts, the part that messages are made of.
type Record struct {
	Agent  Agent
	Window uint64
	Counts map[string]Tally
}

// Delta is a message: the sender's turn and some records. A whole state is one with all records.
type Delta struct {
	Turn     uint64
	Records  []Record
	Evidence []Evidence
}

// Merge joins what came and returns what of it brought something new, to be passed on. Records of windows that are
// forgotten, or that would be ahead of the sender's own turn, are passed over, and so are those of more agents than
// Terms.Agents. A turn that leads by more than maxLeap is refused, and so is a count beyond maxCount: then nothing of the
// message is merged. What others say of this incarnation is passed over: it knows better.
func (v *Value) Merge(now time.Duration, d Delta) (fresh Delta, err error) {
	if err := d.check(); err != nil {
		return Delta{}, err
	}
	v.Advance(now)
	if d.Turn > v.turn+maxLeap {
		return Delta{}, ErrBad
	}
	if d.Turn > v.turn {
		v.since = now
		v.lead(d.Turn)
	}
	for _, e := range d.Evidence {
		if e.Agent != v.self && v.testify(e) {
			fresh.Evidence = append(fresh.Evidence, v.evidence[e.key()])
		}
	}
	for _, r := range d.Records {
		if r.Agent == v.self || r.Window < v.oldest() || r.Window > v.Window() {
			continue
		}
		mine := v.window(r.Agent, r.Window, now)
		if mine == nil {
			continue
		}
		news := false
		for _, label := range slices.Sorted(maps.Keys(r.Counts)) {
			old, there := mine[label]
			if !there && len(mine) >= maxLabels {
				continue // its agent has no more: this is none of its own
			}
			joined := old.join(r.Counts[label])
			if v.wrong == CountsTwice {
				for k := range joined {
					joined[k] = min(maxCount, old[k]+r.Counts[label][k])
				}
			}
			if joined != old {
				mine[label], news = joined, true
			}
		}
		if news {
			v.agents[r.Agent].heard = now
			fresh.Records = append(fresh.Records, Record{r.Agent, r.Window, maps.Clone(mine)})
		}
	}
	return fresh, nil
}

// check finds what no agent says.
func (d *Delta) check() error {
	if d.Turn > maxTurn {
		return ErrBad
	}
	for _, r := range d.Records {
		if r.Agent.Name == "" || len(r.Agent.Name) > NameBytes || len(r.Counts) > maxLabels {
			return ErrBad
		}
		for label, t := range r.Counts {
			if len(label) > LabelBytes || slices.Max(t[:]) > maxCount {
				return ErrBad
			}
		}
	}
	for _, e := range d.Evidence {
		if e.Agent.Name == "" || len(e.Agent.Name) > NameBytes || e.Backend == "" || len(e.Backend) > LabelBytes ||
			max(e.Seen.Good, e.Seen.Slow, e.Seen.Bad) > maxSeen || e.Turn > d.Turn {
			return ErrBad
		}
	}
	return nil
}

// Own is the record of this agent's window; false: nothing was counted.
func (v *Value) Own(w uint64) (Record, bool) {
	k := v.agents[v.self]
	if k == nil || k.windows[w] == nil {
		return Record{}, false
	}
	return Record{v.self, w, maps.Clone(k.windows[w])}, true
}

// Whole is all that is known, in one order.
func (v *Value) Whole() Delta {
	d := Delta{Turn: v.turn, Evidence: v.Evidence()}
	for _, a := range slices.SortedFunc(maps.Keys(v.agents), Agent.Compare) {
		for _, w := range slices.Sorted(maps.Keys(v.agents[a].windows)) {
			d.Records = append(d.Records, Record{a, w, maps.Clone(v.agents[a].windows[w])})
		}
	}
	return d
}

// Sum is what is known to have been counted in a window by all, by label.
func (v *Value) Sum(w uint64) map[string]Tally {
	out := map[string]Tally{}
	for _, k := range v.agents {
		for label, t := range k.windows[w] {
			s := out[label]
			for i := range s {
				s[i] += t[i]
			}
			out[label] = s
		}
	}
	return out
}

// Windows are those of which something is known, the oldest first.
func (v *Value) Windows() []uint64 {
	all := map[uint64]bool{}
	for _, k := range v.agents {
		for w := range k.windows {
			all[w] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Heard is how long ago something new came of each agent that is known, this one included at 0.
func (v *Value) Heard(now time.Duration) map[Agent]time.Duration {
	out := map[Agent]time.Duration{}
	for a, k := range v.agents {
		out[a] = now - k.heard
	}
	out[v.self] = 0
	return out
}

// Agents is of how many something was counted in a window.
func (v *Value) Agents(w uint64) (n int) {
	for _, k := range v.agents {
		if k.windows[w] != nil {
			n++
		}
	}
	return n
}
