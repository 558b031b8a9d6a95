// Package standin stands in for the outside world of an agent on real loopback sockets: auth servers and the
// server list, as the protocol page describes them, with every fault that a rehearsal needs, switchable while
// they serve. All that they see goes into one ordered Record, which package grade reads. Tests use them as well.
// They decide nothing about an agent and know nothing of its insides. Start reading at Server and List.
package standin

import (
	"sync"
	"time"

	"saltmast/internal/grade"
)

// Record is the one ordered record of a run. It is safe for use by many.
type Record struct {
	start time.Time

	mu     sync.Mutex
	events []grade.Event
	closed bool
}

// NewRecord returns an empty record; its times are counted from start, which may lie ahead.
func NewRecord(start time.Time) *Record { return &Record{start: start} }

// Now is the time of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Time converts a time of the record.
func (r *Record) Time(at time.Duration) time.Time { return r.start.Add(at) }

// Add appends an event and returns its time: now, unless it brings one. After Close it comes to nothing.
func (r *Record) Add(e grade.Event) time.Duration {
	if e.At == 0 {
		e.At = r.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		e.Seq = len(r.events) + 1
		r.events = append(r.events, e)
	}
	return e.At
}

// Close ends the record and returns its events.
func (r *Record) Close() []grade.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.events
}

// Len is the number of events so far.
func (r *Record) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events)
}

// World tells servers what the clients know of a request. It is safe for use by many.
type World interface {
	// Take notes that a request has reached a server once more, and returns its class, its work on a standard core
	// and how many times it has come, this one included. ok is false for an id that no client sent.
	Take(id string) (class string, work time.Duration, n int, ok bool)
}

// Jobs is the usual World: a table of what clients are about to send.
type Jobs struct {
	mu sync.Mutex
	m  map[string]*jobEntry
}

type jobEntry struct {
	class string
	work  time.Duration
	n     int
}

// Add makes a request known, before it is sent.
func (j *Jobs) Add(id, class string, work time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.m == nil {
		j.m = map[string]*jobEntry{}
	}
	j.m[id] = &jobEntry{class: class, work: work}
}

// Take implements World.
func (j *Jobs) Take(id string) (string, time.Duration, int, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := j.m[id]
	if e == nil {
		return "", 0, 0, false
	}
	e.n++
	return e.class, e.work, e.n, true
}

// Events are those so far. What is returned is not to be changed.
func (r *Record) Events() []grade.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)]
}
