// Package udp carries a roster on a socket: one goroutine owns the roster and works through a queue of commands and datagrams
// with one timer, another reads the socket. It decides nothing.
package udp

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/membership"
)

// ErrClosed is returned for what comes after Close.
var ErrClosed = errors.New("the roster is closed")

// Options are what Start needs.
type Options struct {
	Conn   net.PacketConn // UDP; belongs to the carriage from Start on, and is closed by Close
	Roster membership.Options
	// Queue is how many commands and datagrams may wait; 256. When it is full, datagrams and Heard are dropped and counted, the
	// other calls wait.
	Queue int
	// OnChange is called by the owner with what changed, in order, after the snapshot that shows it stands. It has to return at
	// once and must not call Leave or Close. May be nil.
	OnChange func([]membership.Change)
}

// Snapshot is the roster at one time. It is not to be changed.
type Snapshot struct {
	At      time.Duration // on the clock of Now
	Self    membership.Member
	Members []membership.Status // by name, this one included
	Live    int
	Full    bool // see roster.Roster.Full
	Digest  uint32
}

// Counts are totals since Start.
type Counts struct {
	Roster   membership.Counts // at most one period old
	Dropped  uint64            // datagrams and calls of Heard that found the queue full
	Unsent   uint64            // datagrams that the socket refused
	ReadErrs uint64
}

// Carriage is a roster at work. Its methods may be called by any goroutine.
type Carriage struct {
	o     Options
	conn  net.PacketConn
	start time.Time
	queue chan command
	done  chan struct{} // closed by Close
	once  sync.Once
	wg    sync.WaitGroup

	snapshot atomic.Pointer[Snapshot]
	counts   atomic.Pointer[membership.Counts]
	dropped  atomic.Uint64
	unsent   atomic.Uint64
	readErrs atomic.Uint64
}

// command is a datagram, a name that was heard, or something to do with the roster.
type command struct {
	from     netip.AddrPort
	datagram []byte
	heard    string
	do       func(r *membership.Roster, now time.Duration) []membership.Send
}

// Start begins to carry a roster. Its Options must be right, see roster.New.
func Start(o Options) *Carriage {
	if o.Queue <= 0 {
		o.Queue = 256
	}
	c := &Carriage{o: o, conn: o.Conn, start: time.Now(), queue: make(chan command, o.Queue), done: make(chan struct{})}
	r := membership.New(o.Roster, 0)
	c.publish(r, true)
	c.wg.Add(2)
	go c.read()
	go c.own(r)
	return c
}

// Now is the steady clock of the roster: the time since Start.
func (c *Carriage) Now() time.Duration { return time.Since(c.start) }

// Snapshot is the roster as it last changed.
func (c *Carriage) Snapshot() *Snapshot { return c.snapshot.Load() }

// Counts are the totals so far.
func (c *Carriage) Counts() Counts {
	return Counts{Roster: *c.counts.Load(), Dropped: c.dropped.Load(), Unsent: c.unsent.Load(), ReadErrs: c.readErrs.Load()}
}

// Heard says that other traffic proved a member alive just now, see roster.Roster.Heard. It never waits.
func (c *Carriage) Heard(name string) { c.offer(command{heard: name}) }

// SetSeeds replaces the seeds. It returns ErrClosed after Close.
func (c *Carriage) SetSeeds(seeds []netip.AddrPort) error {
	return c.do(func(r *membership.Roster, now time.Duration) []membership.Send {
		r.SetSeeds(now, seeds)
		return nil
	})
}

// SetMeta replaces what this member tells of itself. It returns ErrClosed after Close, and roster.ErrMember for too much.
func (c *Carriage) SetMeta(meta []byte) error {
	var err error
	if closed := c.do(func(r *membership.Roster, now time.Duration) []membership.Send {
		err = r.SetMeta(now, meta)
		return nil
	}); closed != nil {
		return closed
	}
	return err
}

// Leave tells others that this member goes for good. It returns once the first datagrams are on their way; Close may follow at
// once. It returns ErrClosed after Close.
func (c *Carriage) Leave() error {
	return c.do(func(r *membership.Roster, now time.Duration) []membership.Send { return r.Leave(now) })
}

// Close ends both goroutines and closes the socket. Others are told nothing: to them this member stops to answer.
func (c *Carriage) Close() error {
	var err error
	c.once.Do(func() {
		close(c.done)
		err = c.conn.Close()
	})
	c.wg.Wait()
	return err
}

// do has the owner do something, and waits until it is done and what it gave out is sent.
func (c *Carriage) do(f func(*membership.Roster, time.Duration) []membership.Send) error {
	did := make(chan struct{})
	cmd := command{do: func(r *membership.Roster, now time.Duration) []membership.Send {
		defer close(did)
		c.send(f(r, now))
		return nil
	}}
	select {
	case c.queue <- cmd:
	case <-c.done:
		return ErrClosed
	}
	select {
	case <-did:
		return nil
	case <-c.done:
		return ErrClosed
	}
}

func (c *Carriage) offer(cmd command) {
	select {
	case c.queue <- cmd:
	default:
		c.dropped.Add(1)
	}
}

// read hands datagrams to the owner until the socket is closed.
func (c *Carriage) read() {
	defer c.wg.Done()
	b := make([]byte, membership.DatagramBytes+1) // what is longer is cut here and refused there
	for {
		n, from, err := c.conn.ReadFrom(b)
		if err != nil {
			select {
			case <-c.done:
				return
			default:
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// A refusal by the other end of an earlier datagram may come as an error of this one.
			c.readErrs.Add(1)
			select {
			case <-c.done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		addr, ok := addrPort(from)
		if !ok {
			c.readErrs.Add(1)
			continue
		}
		c.offer(command{from: addr, datagram: append([]byte(nil), b[:n]...)})
	}
}

func addrPort(a net.Addr) (netip.AddrPort, bool) {
	if u, ok := a.(*net.UDPAddr); ok {
		ap := u.AddrPort()
		return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()), ap.IsValid()
	}
	ap, err := netip.ParseAddrPort(fmt.Sprint(a))
	return ap, err == nil
}

// own is the owner's loop.
func (c *Carriage) own(r *membership.Roster) {
	defer c.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	counted := time.Duration(0)
	for {
		select {
		case <-c.done:
			return
		case <-timer.C:
			c.send(r.Step(c.Now()))
		case cmd := <-c.queue:
			c.one(r, cmd)
			// What else has come is taken before the timer is set again.
			for range len(c.queue) {
				c.one(r, <-c.queue)
			}
		}
		now := c.Now()
		changed := c.publish(r, now-counted >= time.Second)
		if now-counted >= time.Second {
			counted = now
		}
		if changed != nil && c.o.OnChange != nil {
			c.o.OnChange(changed)
		}
		timer.Reset(max(0, min(r.NextAt()-c.Now(), time.Hour)))
	}
}

func (c *Carriage) one(r *membership.Roster, cmd command) {
	now := c.Now()
	switch {
	case cmd.do != nil:
		c.send(cmd.do(r, now))
	case cmd.datagram != nil:
		c.send(r.Receive(now, cmd.from, cmd.datagram))
	case cmd.heard != "":
		r.Heard(now, cmd.heard)
	}
}

// publish makes a snapshot if there are changes, and returns them.
func (c *Carriage) publish(r *membership.Roster, counts bool) []membership.Change {
	changed := r.Changes()
	if changed != nil || c.snapshot.Load() == nil {
		c.snapshot.Store(&Snapshot{At: c.Now(), Self: r.Self(), Members: r.Members(), Live: r.Live(), Full: r.Full(), Digest: r.Digest()})
	}
	if counts || changed != nil {
		now := r.Counts()
		c.counts.Store(&now)
	}
	return changed
}

// send gives datagrams to the socket. What it does not take is as good as lost on the way.
func (c *Carriage) send(out []membership.Send) {
	for _, s := range out {
		if _, err := c.conn.WriteTo(s.Data, net.UDPAddrFromAddrPort(s.To)); err != nil {
			c.unsent.Add(1)
		}
	}
}
