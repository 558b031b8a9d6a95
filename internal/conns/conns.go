// Package conns bounds the connections of clients: each holds a descriptor, and clients that say nothing, or ask once
// and stay, would take them all. It knows no protocol; whoever serves a connection says when it works and when it rests.
package conns

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"saltmast/internal/sock"
)

// RestTime is how long a connection must have been without an open request before it may be closed to
// make room. One that has never said a word is no usual client's after mutePause: those connect to ask.
const (
	RestTime  = 2 * time.Second
	mutePause = 250 * time.Millisecond
)

// Listener is a listener that bounds the connections it has given out, since every one holds a
// descriptor: clients that say nothing, or ask once and stay, would take them all. When short, it closes
// the one that has been without an open request for longest.
type Listener struct {
	net.Listener
	Beside  func() int    // descriptors that its connections hold beside themselves; nil: none
	RestFor time.Duration // how long a connection must have been idle before it may be closed
	MuteFor time.Duration // the same, for one that has never said a word

	mu    sync.Mutex
	limit int // 0: no limit
	open  int
	idle  *list.List    // of *Conn without an open request, the longest idle first
	left  chan struct{} // holds one when a connection has ended
	ended chan struct{} // closed by Close
	once  sync.Once
}

// Conn is one connection. Bytes end its idleness at once, before net/http makes a request of them.
type Conn struct {
	net.Conn
	of    *Listener
	place *list.Element // in of.idle; nil while a request is open
	since time.Time     // idle from then on
	spoke bool
	gone  bool
}

// New bounds what a listener gives out; limit 0 is no bound.
func New(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, limit: limit, RestFor: RestTime, MuteFor: mutePause, idle: list.New(),
		left: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Crowded reports whether connections begin to run short. Then each closes with its answer: clients that ask
// once and stay took all that there were, for the two seconds that a connection must have been idle before it
// may be closed, and the agents stood idle meanwhile. Guards against any client that keeps what it does not use.
// Harm: clients that would have asked again connect anew for each request.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0 && l.open > l.limit/2
}

// Accept takes the next connection once there is room for it. Those that come meanwhile wait in the
// system's queue, where they cost nothing.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		wait, ok := l.Room(time.Now())
		if ok {
			break
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-l.left:
		case <-l.ended:
		}
		t.Stop()
		select {
		case <-l.ended:
			return nil, net.ErrClosed
		default:
		}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, of: l}
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
	return c, nil
}

// Room makes room for one more connection, or says when to look again.
func (l *Listener) Room(now time.Time) (wait time.Duration, ok bool) {
	beside := 0
	if l.Beside != nil {
		beside = l.Beside()
	}
	l.mu.Lock()
	if l.limit == 0 || l.open+beside < l.limit {
		l.mu.Unlock()
		return 0, true
	}
	wait = l.RestFor
	var victim *Conn
	for e, next := l.idle.Front(), (*list.Element)(nil); e != nil && victim == nil; e = next {
		next = e.Next()
		c := e.Value.(*Conn)
		need := l.RestFor
		if !c.spoke {
			need = l.MuteFor
		}
		if idle := now.Sub(c.since); idle < need {
			wait = min(wait, need-idle)
		} else if sock.Pending(c.Conn) {
			c.place = nil
			l.idle.Remove(e) // a request has come that is not read yet
		} else {
			victim = c
		}
	}
	l.mu.Unlock()
	if victim == nil {
		return max(wait, time.Millisecond), false
	}
	victim.Close()
	return 0, true
}

// SetLimit bounds what is given out from now on; 0: no bound.
func (l *Listener) SetLimit(limit int) {
	l.mu.Lock()
	l.limit = limit
	l.mu.Unlock()
	select {
	case l.left <- struct{}{}: // a wait for room looks again
	default:
	}
}

// Open is how many it has given out that are open.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Limit is how many it gives out; 0: no bound.
func (l *Listener) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

// CloseQuiet has the connections that have rested for so long ended, but for those where bytes have come that are not read yet,
// and returns how many are open. Whoever serves one wakes from its read by a time-out and ends it, unless it has brought bytes:
// closed from here, one whose request was read just now would be cut off.
func (l *Listener) CloseQuiet(rested time.Duration) (open int) {
	now := time.Now()
	var quiet []*Conn
	l.mu.Lock()
	for e, next := l.idle.Front(), (*list.Element)(nil); e != nil; e = next {
		next = e.Next()
		if c := e.Value.(*Conn); now.Sub(c.since) < rested {
			break // the others have rested for less
		} else {
			quiet = append(quiet, c)
		}
	}
	l.mu.Unlock()
	for _, c := range quiet {
		still, _ := sock.Look(c.Conn) // bytes and the client's own end are read by who serves it
		l.mu.Lock()
		if still && c.place != nil { // whoever has read bytes since says so under the lock, and sets a time of his own after that
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
		l.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Close ends the listener, and a wait for room.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return l.Listener.Close()
}

// Note follows the states that net/http sees.
func (l *Listener) Note(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.rest()
	case http.StateActive:
		c.work()
	}
}

// Rest says that a connection that Accept gave out has no open request, Work that it has.
func (l *Listener) Rest(nc net.Conn) {
	if c, ok := nc.(*Conn); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.rest()
	}
}

// Work says that a connection has an open request.
func (l *Listener) Work(nc net.Conn) {
	if c, ok := nc.(*Conn); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.work()
	}
}

// rest and work keep the list. The caller holds of.mu.
func (c *Conn) rest() {
	if c.place == nil && !c.gone {
		c.since = time.Now()
		c.place = c.of.idle.PushBack(c)
	}
}

func (c *Conn) work() {
	c.spoke = true
	if c.place != nil {
		c.of.idle.Remove(c.place)
		c.place = nil
	}
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.of.mu.Lock()
		c.work()
		c.of.mu.Unlock()
	}
	return n, err
}

func (c *Conn) Close() error {
	l := c.of
	l.mu.Lock()
	first := !c.gone
	if first {
		c.work()
		c.gone = true
	}
	l.mu.Unlock()
	err := c.Conn.Close()
	if first { // not before: the descriptor is free only now
		l.mu.Lock()
		l.open--
		l.mu.Unlock()
		select {
		case l.left <- struct{}{}:
		default:
		}
	}
	return err
}
