package peers

import (
	"maps"
	"time"

	"saltmast/internal/shared"
)

// queue is the records that are to be told, the newest of each agent and window, with a bound on the bytes a second that
// they may take. What waits longest goes first; a record that changes meanwhile keeps its place. It does no I/O.
type queue struct {
	rate   float64 // bytes a second
	budget float64
	at     time.Duration
	line   []key
	waits  map[key]*waiting
	last   map[uint64]map[string]shared.Tally // of this agent's own, by window
}

type key struct {
	agent  shared.Agent
	window uint64
}

type waiting struct {
	record shared.Record
	copies int
}

// mostWaiting bounds the line; beyond it the oldest goes, which the next exchange of whole states brings.
const mostWaiting = 4096

// fits is what finds place in a datagram whatever else is in it.
const fits = 1000

func newQueue(bytesASec int) queue {
	return queue{rate: float64(bytesASec), waits: map[key]*waiting{}, last: map[uint64]map[string]shared.Tally{}}
}

// put takes a record that is to be told so often.
func (q *queue) put(r shared.Record, copies int) {
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

// own takes this agent's record if it is not the one that was taken last.
func (q *queue) own(r shared.Record, copies int) {
	if maps.Equal(q.last[r.Window], r.Counts) {
		return
	}
	q.last[r.Window] = r.Counts
	maps.DeleteFunc(q.last, func(w uint64, _ map[string]shared.Tally) bool { return w+2 < r.Window })
	q.put(r, copies)
}

// take writes as many records as the bound and the limit allow; nil: none.
func (q *queue) take(now time.Duration, turn uint64, limit int) []byte {
	// A second's worth gathers: a message of the common size finds place now and then also where the bound is small.
	q.budget = min(q.budget+q.rate*(now-q.at).Seconds(), max(q.rate, 1400))
	q.at = now
	limit = min(limit, int(q.budget))
	if len(q.line) == 0 || limit < 32 {
		return nil
	}
	d := shared.Delta{Turn: turn}
	for _, k := range q.line[:min(len(q.line), 64)] {
		d.Records = append(d.Records, q.waits[k].record)
	}
	raw, n := shared.AppendDelta(nil, d, limit)
	if n == 0 {
		if limit >= fits { // it never will: the exchange of whole states brings it
			delete(q.waits, q.line[0])
			q.line = q.line[1:]
		}
		return nil
	}
	q.budget -= float64(len(raw))
	var again []key
	for _, k := range q.line[:n] {
		if w := q.waits[k]; w.copies > 1 {
			w.copies--
			again = append(again, k)
		} else {
			delete(q.waits, k)
		}
	}
	q.line = append(q.line[n:len(q.line):len(q.line)], again...)
	return raw
}
