// Package explore visits every state that a few holders of one budget can get into within a number of steps, and looks
// in each whether together they hold more than there is. The holders are those of internal/shared; the network here loses,
// repeats and delays at will, agents pause by not being given a step, clocks stand apart. It decides nothing for service.
// Start reading at Run.
package explore

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
	"time"

	"saltmast/internal/shared"
)

// Options bound an exploration.
type Options struct {
	Agents   int
	Steps    int // from the start
	Messages int // on their way at once
	Repeats  int // of messages, in all
	Restarts int // of agents, in all
	Wrong    shared.Wrong
	Budget   shared.Budget
}

// Result is what was found.
type Result struct {
	States  int
	Moves   int
	Deepest int      // steps that were explored whole
	Worst   int64    // that all held together, thousandths a second
	Breach  []string // the shortest way to more than the budget; nil: there is none
}

// state is one that the fleet can be in. The clocks of agents stand apart by apart.
type state struct {
	holders  []*shared.Holder
	now      time.Duration
	way      []shared.Message
	repeats  int
	restarts int

	from *state // how it came about
	did  string
}

const (
	tick  = time.Second
	apart = 3 * time.Second // between one agent's clock and the next one's
	lots  = 1000            // that an agent wants that wants any
)

// clock is what agent i's clock shows.
func (s *state) clock(i int) time.Duration { return s.now + time.Duration(i)*apart }

func name(i int) string { return string(rune('a' + i)) }

// Run explores by breadth, so that the first breach is a shortest one.
func Run(o Options) Result {
	first := &state{now: 0}
	for i := range o.Agents {
		self := shared.Agent{Name: name(i), Incarnation: 1}
		// As if it had run for long: nothing from before is out.
		first.holders = append(first.holders, shared.NewWrong(self, o.Budget, first.clock(i)-10*o.Budget.Lease, o.Wrong))
	}
	seed := maphash.MakeSeed()
	seen := map[[2]uint64]bool{}
	var buf []byte
	fresh := func(s *state) bool {
		buf = s.append(buf[:0])
		half := maphash.Bytes(seed, buf)
		var other maphash.Hash
		other.SetSeed(seed)
		other.WriteString("2")
		other.Write(buf)
		k := [2]uint64{half, other.Sum64()}
		if seen[k] {
			return false
		}
		seen[k] = true
		return true
	}
	fresh(first)
	r := Result{States: 1}
	level := []*state{first}
	for r.Deepest < o.Steps && len(level) > 0 {
		var next []*state
		for _, s := range level {
			for _, n := range s.moves(o) {
				r.Moves++
				if !fresh(n) {
					continue
				}
				r.States++
				held := int64(0)
				for i, h := range n.holders {
					held += h.Held(n.clock(i))
				}
				r.Worst = max(r.Worst, held)
				if held > o.Budget.Rate {
					r.Breach = n.trace(held)
					return r
				}
				next = append(next, n)
			}
		}
		level = next
		r.Deepest++
	}
	return r
}

// append writes what tells s from others.
func (s *state) append(b []byte) []byte {
	for i, h := range s.holders {
		b = h.AppendState(b, s.clock(i))
		b = append(b, 0xff)
	}
	b = binary.AppendVarint(b, int64(s.repeats))
	b = binary.AppendVarint(b, int64(s.restarts))
	way := make([]string, len(s.way))
	for i, m := range s.way {
		way[i] = string(shared.AppendMessage(nil, m))
		if m.At != 0 { // its sender's time, to the clock of whoever gets it
			way[i] += fmt.Sprint(m.At - s.now)
		}
	}
	slices.Sort(way)
	return append(b, strings.Join(way, "\xff")...)
}

// trace tells how s came about.
func (s *state) trace(held int64) []string {
	out := []string{fmt.Sprintf("together they hold %d", held)}
	for n := s; n.from != nil; n = n.from {
		out = append(out, n.did)
	}
	slices.Reverse(out)
	return out
}

// with returns a copy of s in which one thing more has happened.
func (s *state) with(did string) *state {
	n := *s
	n.holders, n.way = slices.Clone(s.holders), slices.Clone(s.way)
	n.from, n.did = s, did
	return &n
}

// own gives a state a holder of its own to change.
func (s *state) own(i int) *shared.Holder {
	s.holders[i] = s.holders[i].Clone()
	return s.holders[i]
}

// moves are the states one step on.
func (s *state) moves(o Options) (out []*state) {
	n := s.with("a second passes")
	n.now += tick
	out = append(out, n)
	for i := range s.holders {
		for _, wants := range []bool{true, false} {
			for _, hears := range []bool{true, false} {
				if !hears && o.Wrong != shared.TakesSilent {
					continue // whom it hears is of matter to this mistake alone
				}
				if n := s.step(o, i, wants, hears); n != nil {
					out = append(out, n)
				}
			}
		}
		if s.restarts < o.Restarts {
			n := s.with(name(i) + " is killed and starts anew")
			n.restarts++
			n.holders[i] = shared.NewWrong(shared.Agent{Name: name(i), Incarnation: uint64(n.restarts) + 1}, o.Budget, n.clock(i), o.Wrong)
			out = append(out, n)
		}
	}
	for k, m := range s.way {
		out = append(out, s.deliver(o, k, true))
		lost := s.with("lost: " + say(m))
		lost.way = slices.Delete(lost.way, k, k+1)
		out = append(out, lost)
		if s.repeats < o.Repeats {
			twice := s.deliver(o, k, false)
			twice.repeats++
			out = append(out, twice)
		}
	}
	return out
}

// step gives agent i a moment in which it wants much or nothing; nil: it would say more than may be on the way.
func (s *state) step(o Options, i int, wants, hears bool) *state {
	n := s.with(fmt.Sprintf("%s wants %s", name(i), map[bool]string{true: "much", false: "nothing"}[wants]))
	h := n.own(i)
	if wants {
		for range lots {
			h.Missed()
		}
	}
	var peers []shared.Agent
	if hears {
		for k := 1; k < o.Agents; k++ {
			j := (i + k) % o.Agents
			peers = append(peers, n.holders[j].Self())
		}
	} else {
		n.did += " and hears nobody"
	}
	n.way = append(n.way, h.Step(n.clock(i), peers)...)
	if len(n.way) > o.Messages {
		return nil
	}
	return n
}

// deliver brings message k; whole: it is gone from the way then.
func (s *state) deliver(o Options, k int, whole bool) *state {
	m := s.way[k]
	n := s.with("arrives: " + say(m))
	if whole {
		n.way = slices.Delete(n.way, k, k+1)
	} else {
		n.did += ", and stays on the way once more"
	}
	for i := range n.holders {
		if n.holders[i].Self().Name == m.To.Name {
			if a, ok := n.own(i).Hear(n.clock(i), m); ok && len(n.way) < o.Messages {
				n.way = append(n.way, a)
			}
		}
	}
	return n
}

func say(m shared.Message) string {
	word := map[shared.Word]string{shared.Ask: "asks", shared.Grant: "grants", shared.Return: "gives back to"}[m.Word]
	return fmt.Sprintf("%s %s %s %d, number %d", m.From, word, m.To, m.Amount, m.Seq)
}
