package shared

import (
	"maps"
	"strconv"
	"time"
)

// Queue is the records that are to be told, the newest of each agent and window, with a bound on the bytes a second that
// they may take. What waits longest goes first; a record that changes meanwhile keeps its place. It does no I/O.
type Queue struct {
	rate   float64 // bytes a second
	budget float64
	at     time.Duration
	first  []of // evidence goes before counts
	words  map[of]*telling
	line   []key
	waits  map[key]*waiting
	last   map[uint64]map[string]Tally // of this agent's own, by window
}

type key struct {
	agent  Agent
	window uint64
}

type telling struct {
	evidence Evidence
	copies   int
}

type waiting struct {
	record Record
	copies int
}

// mostWaiting bounds the line; beyond it the oldest goes, which the next exchange of whole states brings.
const mostWaiting = 4096

// fits is what finds place in a datagram whatever else is in it.
const fits = 1000

// NewQueue returns an empty line with a bound in bytes a second.
func NewQueue(bytesASec int) *Queue {
	return &Queue{rate: float64(bytesASec), words: map[of]*telling{}, waits: map[key]*waiting{}, last: map[uint64]map[string]Tally{}}
}

// Put takes a record that is to be told so often.
func (q *Queue) Put(r Record, copies int) {
	k := key{r.Agent, r.Window}
	if w := q.waits[k]; w != nil {
		w.record, w.copies = r, copies
		return
	}
	if len(q.line) >= mostWaiting {
		delete(q.waits, q.line[0])
		q.line = q.line[1:]
	}
	q.line = append(q.line, k)
	q.waits[k] = &waiting{r, copies}
}

// Word takes evidence that is to be told so often.
func (q *Queue) Word(e Evidence, copies int) {
	k := e.key()
	if w := q.words[k]; w != nil {
		if w.evidence != e {
			*w = telling{e, copies}
		}
		return
	}
	if len(q.first) >= mostWaiting {
		return
	}
	q.first = append(q.first, k)
	q.words[k] = &telling{e, copies}
}

// Own takes this agent's record if it is not the one that was taken last.
func (q *Queue) Own(r Record, copies int) {
	if maps.Equal(q.last[r.Window], r.Counts) {
		return
	}
	q.last[r.Window] = r.Counts
	maps.DeleteFunc(q.last, func(w uint64, _ map[string]Tally) bool { return w+2 < r.Window })
	q.Put(r, copies)
}

// Take writes as many records as the bound and the limit allow; nil: none.
func (q *Queue) Take(now time.Duration, turn uint64, limit int) []byte {
	// A second's worth gathers: a message of the common size finds place now and then also where the bound is small.
	q.budget = min(q.budget+q.rate*(now-q.at).Seconds(), max(q.rate, 1400))
	q.at = now
	limit = min(limit, int(q.budget))
	if len(q.line)+len(q.first) == 0 || limit < 32 {
		return nil
	}
	d := Delta{Turn: turn}
	for _, k := range q.first[:min(len(q.first), 64)] {
		d.Evidence = append(d.Evidence, q.words[k].evidence)
	}
	for _, k := range q.line[:min(len(q.line), 64)] {
		d.Records = append(d.Records, q.waits[k].record)
	}
	raw, n := AppendDelta(nil, d, limit)
	if n == 0 {
		if limit >= fits && len(q.first) == 0 { // it never will: the exchange of whole states brings it
			delete(q.waits, q.line[0])
			q.line = q.line[1:]
		}
		return nil
	}
	q.budget -= float64(len(raw))
	told := min(n, len(d.Evidence))
	n -= told
	q.first = again(q.first, told, func(k of) bool { q.words[k].copies--; return q.words[k].copies > 0 }, func(k of) { delete(q.words, k) })
	q.line = again(q.line, n, func(k key) bool { q.waits[k].copies--; return q.waits[k].copies > 0 }, func(k key) { delete(q.waits, k) })
	return raw
}

// again takes the first n off a line and puts those that are to be told once more at its end; the others are dropped.
func again[K any](line []K, n int, more func(K) bool, drop func(K)) []K {
	rest := line[n:len(line):len(line)]
	for _, k := range line[:n] {
		if more(k) {
			rest = append(rest, k)
		} else {
			drop(k)
		}
	}
	return rest
}

// RecordCopies is how often a record of counts is told by each who finds it new: four reach all but one in fifty, whom the
// next change or exchange of whole states reaches. With Copies of each the bound on bytes keeps new ones waiting: 150 agents
// had a minute's worth in line.
const RecordCopies = 4

// Copies is how often evidence is told so that it reaches so many members all but surely: gossip takes the logarithm of
// their number, and thrice that where a third of the messages is lost.
func Copies(members int) int { return 3 * (len(strconv.Itoa(max(0, members))) + 1) }
