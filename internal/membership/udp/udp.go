// Package udp runs a membership.Node on a UDP socket. One goroutine owns the Node and processes a queue of commands and datagrams
// and a timer; another reads the socket. The package has no protocol logic.
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

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("membership is closed")

// Options configure a Runner.
type Options struct {
	Conn       net.PacketConn // a UDP socket; owned by the Runner from Start on and closed by Close
	Membership membership.Options
	// Queue is the capacity of the queue of commands and datagrams; default 256. When it is full, datagrams and calls of
	// ConfirmAlive are dropped and counted, and other calls block.
	Queue int
	// OnChange is called by the goroutine that owns the Node, with changes in order, after the snapshot that includes them is
	// published. It must return at once and must not call Leave or Close. It may be nil.
	OnChange func([]membership.Change)
}

// Snapshot is the membership at one time. It must not be modified.
type Snapshot struct {
	At      time.Duration // on the clock of Runner.Now
	Self    membership.Member
	Members []membership.Status // by name, including this one
	Live    int
	Full    bool // see membership.Node.Full
	Digest  uint32
}

// Counts are totals since Start.
type Counts struct {
	Membership membership.Counts // at most one period old
	Dropped    uint64            // datagrams and calls of ConfirmAlive dropped because the queue was full
	Unsent     uint64            // datagrams that could not be written to the socket
	ReadErrs   uint64
}

// Runner runs a membership.Node. Its methods are safe for concurrent use.
type Runner struct {
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

// command is a datagram, the name of a member shown to be alive, or a function to run with the Node.
type command struct {
	from     netip.AddrPort
	datagram []byte
	heard    string
	do       func(node *membership.Node, now time.Duration) []membership.Send
}

// Start starts a Runner. It panics on invalid Options.Membership, see membership.New.
func Start(o Options) *Runner {
	if o.Queue <= 0 {
		o.Queue = 256
	}
	c := &Runner{o: o, conn: o.Conn, start: time.Now(), queue: make(chan command, o.Queue), done: make(chan struct{})}
	node := membership.New(o.Membership, 0)
	c.publish(node, true)
	c.wg.Add(2)
	go c.read()
	go c.run(node)
	return c
}

// Now returns the time since Start, which is the monotonic clock of the Node.
func (c *Runner) Now() time.Duration { return time.Since(c.start) }

// Snapshot returns the membership as of the last change.
func (c *Runner) Snapshot() *Snapshot { return c.snapshot.Load() }

// Counts returns the totals so far.
func (c *Runner) Counts() Counts {
	return Counts{Membership: *c.counts.Load(), Dropped: c.dropped.Load(), Unsent: c.unsent.Load(), ReadErrs: c.readErrs.Load()}
}

// ConfirmAlive records that other traffic has just shown a member to be alive, see membership.Node.ConfirmAlive. It never
// blocks.
func (c *Runner) ConfirmAlive(name string) { c.tryEnqueue(command{heard: name}) }

// SetSeeds replaces the seeds. It returns ErrClosed after Close.
func (c *Runner) SetSeeds(seeds []netip.AddrPort) error {
	return c.do(func(node *membership.Node, now time.Duration) []membership.Send {
		node.SetSeeds(now, seeds)
		return nil
	})
}

// SetMeta replaces the Meta of this member. It returns ErrClosed after Close, and membership.ErrMember if meta is too long.
func (c *Runner) SetMeta(meta []byte) error {
	var err error
	if closed := c.do(func(node *membership.Node, now time.Duration) []membership.Send {
		err = node.SetMeta(now, meta)
		return nil
	}); closed != nil {
		return closed
	}
	return err
}

// Leave announces that this member leaves for good. It returns once the first datagrams are sent; Close may follow at once. It
// returns ErrClosed after Close.
func (c *Runner) Leave() error {
	return c.do(func(node *membership.Node, now time.Duration) []membership.Send { return node.Leave(now) })
}

// Close stops both goroutines and closes the socket. It announces nothing: other members see this one stop answering.
func (c *Runner) Close() error {
	var err error
	c.once.Do(func() {
		close(c.done)
		err = c.conn.Close()
	})
	c.wg.Wait()
	return err
}

// do runs f in the goroutine that owns the Node, and waits until the datagrams that f returns are sent.
func (c *Runner) do(f func(*membership.Node, time.Duration) []membership.Send) error {
	did := make(chan struct{})
	cmd := command{do: func(node *membership.Node, now time.Duration) []membership.Send {
		defer close(did)
		c.send(f(node, now))
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

func (c *Runner) tryEnqueue(cmd command) {
	select {
	case c.queue <- cmd:
	default:
		c.dropped.Add(1)
	}
}

// read queues received datagrams until the socket is closed.
func (c *Runner) read() {
	defer c.wg.Done()
	b := make([]byte, membership.DatagramBytes+1) // longer datagrams are truncated here and rejected by the Node
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
			// An ICMP error for a datagram sent earlier may be returned by this read.
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
		c.tryEnqueue(command{from: addr, datagram: append([]byte(nil), b[:n]...)})
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

// run is the main loop of the goroutine that owns the Node.
func (c *Runner) run(node *membership.Node) {
	defer c.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	counted := time.Duration(0)
	for {
		select {
		case <-c.done:
			return
		case <-timer.C:
			c.send(node.Step(c.Now()))
		case cmd := <-c.queue:
			c.handle(node, cmd)
			// Process the whole queue before the timer is set again.
			for range len(c.queue) {
				c.handle(node, <-c.queue)
			}
		}
		now := c.Now()
		changed := c.publish(node, now-counted >= time.Second)
		if now-counted >= time.Second {
			counted = now
		}
		if changed != nil && c.o.OnChange != nil {
			c.o.OnChange(changed)
		}
		timer.Reset(max(0, min(node.NextAt()-c.Now(), time.Hour)))
	}
}

func (c *Runner) handle(node *membership.Node, cmd command) {
	now := c.Now()
	switch {
	case cmd.do != nil:
		c.send(cmd.do(node, now))
	case cmd.datagram != nil:
		c.send(node.Receive(now, cmd.from, cmd.datagram))
	case cmd.heard != "":
		node.ConfirmAlive(now, cmd.heard)
	}
}

// publish stores a new snapshot if there are changes, and returns them.
func (c *Runner) publish(node *membership.Node, counts bool) []membership.Change {
	changed := node.Changes()
	if changed != nil || c.snapshot.Load() == nil {
		c.snapshot.Store(&Snapshot{At: c.Now(), Self: node.Self(), Members: node.Members(), Live: node.Live(), Full: node.Full(), Digest: node.Digest()})
	}
	if counts || changed != nil {
		now := node.Counts()
		c.counts.Store(&now)
	}
	return changed
}

// send writes datagrams to the socket. Failures are counted and otherwise treated as loss on the network.
func (c *Runner) send(out []membership.Send) {
	for _, s := range out {
		if _, err := c.conn.WriteTo(s.Data, net.UDPAddrFromAddrPort(s.To)); err != nil {
			c.unsent.Add(1)
		}
	}
}
