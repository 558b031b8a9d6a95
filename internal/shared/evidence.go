package shared

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Seen is what an agent saw of a backend within the last turns: attempts by how they ended.
type Seen struct {
	Good uint64 // answered within the aim
	Slow uint64 // answered later
	Bad  uint64 // an error, no answer in time, a broken connection or none
}

func (s Seen) join(o Seen) Seen {
	return Seen{max(s.Good, o.Good), max(s.Slow, o.Slow), max(s.Bad, o.Bad)}
}

// bad and good say what a witness testifies to; one that saw too little, or as much of both, says neither.
func (s Seen) bad() bool  { return s.Bad+s.Slow >= leastSeen && s.Bad+s.Slow > s.Good }
func (s Seen) good() bool { return s.Good >= leastSeen && s.Good > s.Bad+s.Slow }

// leastSeen attempts make a witness.
const leastSeen = 2

// Evidence is what one agent saw of one process of a backend, at a turn: evidence, and no verdict.
type Evidence struct {
	Agent   Agent
	Backend string
	Started int64 // of the backend, as the list has it: one that started anew begins clean
	Turn    uint64
	Seen    Seen
}

// of is what evidence replaces: what the same agent said of the same process before.
type of struct {
	agent   Agent
	backend string
	started int64
}

func (e Evidence) key() of { return of{e.Agent, e.Backend, e.Started} }

const (
	// mostEvidence bounds what is held, of all agents.
	mostEvidence = 4096
	// mostTold bounds the backends that one agent tells of.
	mostTold = 64
	// maxSeen bounds what is told of one.
	maxSeen = 1 << 20
)

// join of two of one key: the later turn stands; within one turn counts only grow.
func (e Evidence) join(o Evidence) Evidence {
	if o.Turn > e.Turn {
		return o
	}
	if o.Turn == e.Turn {
		e.Seen = e.Seen.join(o.Seen)
	}
	return e
}

// testify takes evidence in, this agent's own or another's; false: it brings nothing new, is too old, or finds no place.
func (v *Value) testify(e Evidence) bool {
	if e.Turn+v.terms.Fade <= v.turn || e.Turn > v.turn {
		return false
	}
	old, there := v.evidence[e.key()]
	if !there && len(v.evidence) >= mostEvidence {
		v.Forget()
		if len(v.evidence) >= mostEvidence {
			return false
		}
	}
	joined := e
	if there {
		if joined = old.join(e); joined == old {
			return false
		}
	}
	v.evidence[e.key()] = joined
	return true
}

// Testify takes this agent's own evidence.
func (v *Value) Testify(e Evidence) {
	e.Agent = v.self
	v.testify(e)
}

// Forget drops evidence that counts no more.
func (v *Value) Forget() {
	maps.DeleteFunc(v.evidence, func(_ of, e Evidence) bool { return e.Turn+v.terms.Fade <= v.turn })
}

// Evidence is what counts now, in one order.
func (v *Value) Evidence() []Evidence {
	var out []Evidence
	for _, e := range v.evidence {
		if e.Turn+v.terms.Fade > v.turn {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Started, b.Started), a.Agent.Compare(b.Agent))
	})
	return out
}

// Witness is what this agent itself sees of backends. It belongs to one goroutine; its memory is bounded by the backends
// that it has attempts out to, or had within the last turns.
type Witness struct {
	of map[string]*watched
}

// watched is one backend as this agent sees it.
type watched struct {
	started int64
	open    []time.Duration // when its open attempts were sent, the oldest first
	patient time.Duration   // it is taken for silent when the oldest has been out for so long and nothing came
	lastOK  time.Duration
	turns   [span]Seen
	turn    uint64 // of the last of turns
	told    uint64 // turn in which something bad of it was told; 0: never
	silent  bool   // counted as such since the oldest open one was sent
}

// span is how many turns evidence rests on.
const span = 4

// NewWitness returns one that has seen nothing.
func NewWitness() *Witness { return &Witness{of: map[string]*watched{}} }

// watch is a backend's entry at a turn. A process that started anew begins clean.
func (w *Witness) watch(turn uint64, backend string, started int64) *watched {
	b := w.of[backend]
	if b == nil || b.started != started {
		b = &watched{started: started, turn: turn}
		w.of[backend] = b
	}
	for ; b.turn < turn; b.turn++ {
		if turn-b.turn > span {
			b.turns, b.turn = [span]Seen{}, turn
			break
		}
		copy(b.turns[:], b.turns[1:])
		b.turns[span-1] = Seen{}
	}
	return b
}

// Sent notes an attempt that goes out; patience is how long a backend that is well never stays silent.
func (w *Witness) Sent(now time.Duration, turn uint64, backend string, started int64, patience time.Duration) {
	b := w.watch(turn, backend, started)
	b.open, b.patient = append(b.open, now), patience
}

// Ended notes how an attempt ended that was sent at a time. What tells nothing of its backend is nil.
func (w *Witness) Ended(now time.Duration, turn uint64, backend string, started int64, sent time.Duration, seen *Seen) {
	b := w.watch(turn, backend, started)
	if i := slices.Index(b.open, sent); i >= 0 {
		b.open = slices.Delete(b.open, i, i+1)
	}
	if seen == nil {
		return
	}
	if seen.Good+seen.Slow > 0 {
		b.lastOK, b.silent = now, false
	}
	s := &b.turns[span-1]
	s.Good, s.Slow, s.Bad = s.Good+seen.Good, s.Slow+seen.Slow, s.Bad+seen.Bad
}

// Tell is what there is to say of each backend at a turn: of those that something bad was seen of, lately or when it was
// last told, and of those that others say something bad of. In quiet times that is nothing.
func (w *Witness) Tell(now time.Duration, turn uint64, fade uint64, doubted map[string]bool) (out []Evidence) {
	for _, id := range slices.Sorted(maps.Keys(w.of)) {
		b := w.watch(turn, id, w.of[id].started)
		// One that answers nothing is told of before its first attempt times out, each of those that are out counts.
		if len(b.open) > 0 && !b.silent && now-b.open[0] > b.patient && b.lastOK < b.open[0] {
			b.silent = true
			b.turns[span-1].Bad += uint64(max(leastSeen, len(b.open)))
		}
		sum := Seen{}
		for _, s := range b.turns {
			sum.Good, sum.Slow, sum.Bad = min(maxSeen, sum.Good+s.Good), min(maxSeen, sum.Slow+s.Slow), min(maxSeen, sum.Bad+s.Bad)
		}
		switch {
		case sum == Seen{}:
			if len(b.open) == 0 {
				delete(w.of, id)
			}
			continue
		case sum.Bad+sum.Slow > 0:
			b.told = turn + 1
		case b.told == 0 && !doubted[id] || b.told > 0 && b.told+fade <= turn && !doubted[id]:
			continue
		}
		if len(out) < mostTold {
			out = append(out, Evidence{Backend: id, Started: b.started, Turn: turn, Seen: sum})
		}
	}
	return out
}
