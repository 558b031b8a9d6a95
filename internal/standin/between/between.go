// Package between is the network between processes of the agent: a forwarder stands at the address that each one
// advertises, on loopback, UDP and TCP, and does to what goes from one agent to another what it is told to: it cuts, one
// way or both, delays, loses, repeats, lets pass a trickle, or resets. It knows who sends by the address that is sent from:
// each agent has to have a host of its own. It reads nothing of what it forwards. Start reading at Net.
package between

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is what is done to what goes one way from one agent to another. The zero value passes all on at once.
type Link struct {
	Cut    bool          // nothing arrives; connections stand still, and new ones are accepted and stay silent
	Delay  time.Duration // of each datagram and of each piece of a stream
	Jitter time.Duration // up to so much more, of datagrams: they overtake each other
	Loss   float64       // share of datagrams that do not arrive
	Repeat float64       // share of datagrams that arrive twice
	Rate   int           // bytes a second of a stream; 0: no bound
	Reset  bool          // streams are reset, now and when they come
}

// Net is the forwarders of some agents.
type Net struct {
	mu    sync.Mutex
	nodes []*node
	links map[[2]int]Link
	rng   *rand.Rand
	news  chan struct{} // closed with the next change of links
	conns map[*pair]bool

	done    chan struct{}
	running sync.WaitGroup
	stats   Stats
}

// Stats count what went by, since the start.
type Stats struct {
	Datagrams, Lost, Repeated, Streams, Bytes int64
}

// node is one agent: where others reach it, and where it really is.
type node struct {
	host string
	real string
	udp  *net.UDPConn
	tcp  *net.TCPListener
	to   *net.UDPAddr
}

// pair is a stream that is forwarded.
type pair struct {
	from, to int
	a, b     *net.TCPConn // b nil: held
}

// mostPairs bounds the streams, mostLate the datagrams on their way.
const (
	mostPairs = 4096
	mostLate  = 65536
)

// New returns a network without agents. What it draws comes from seed.
func New(seed uint64) *Net {
	return &Net{links: map[[2]int]Link{}, rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), news: make(chan struct{}),
		conns: map[*pair]bool{}, done: make(chan struct{})}
}

// Add opens a forwarder at a host (port 0 is picked for TCP and UDP alike) to an agent that listens at real, and returns
// the address for it to advertise. Agents count from 0 in the order in which they were added.
func (n *Net) Add(host, real string) (string, error) {
	to, err := net.ResolveUDPAddr("udp", real)
	if err != nil {
		return "", err
	}
	nd := &node{host: to.IP.String(), real: real, to: to}
	for try := 0; ; try++ {
		if nd.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(host)}); err != nil {
			return "", fmt.Errorf("between: %w", err)
		}
		nd.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(host), Port: nd.tcp.Addr().(*net.TCPAddr).Port})
		if err == nil {
			break
		}
		nd.tcp.Close()
		if try == 16 {
			return "", fmt.Errorf("between: %w", err)
		}
	}
	n.mu.Lock()
	i := len(n.nodes)
	n.nodes = append(n.nodes, nd)
	n.mu.Unlock()
	n.running.Add(2)
	go n.datagrams(i, nd)
	go n.streams(i, nd)
	return nd.tcp.Addr().String(), nil
}

// Close ends all forwarders and what they forward.
func (n *Net) Close() {
	n.mu.Lock()
	select {
	case <-n.done:
		n.mu.Unlock()
		return
	default:
	}
	close(n.done)
	for _, nd := range n.nodes {
		nd.udp.Close()
		nd.tcp.Close()
	}
	for p := range n.conns {
		p.close()
	}
	n.mu.Unlock()
	n.running.Wait()
}

// Set has a link be so, from one agent to another.
func (n *Net) Set(from, to int, l Link) { n.change(func() { n.links[[2]int{from, to}] = l }) }

// Between sets the links from all of some agents to all of others, and both ways if both is set.
func (n *Net) Between(from, to []int, both bool, l Link) {
	n.change(func() {
		for _, f := range from {
			for _, t := range to {
				n.links[[2]int{f, t}] = l
				if both {
					n.links[[2]int{t, f}] = l
				}
			}
		}
	})
}

// Replace sets all links; those that are not named pass all on at once.
func (n *Net) Replace(links map[[2]int]Link) {
	n.change(func() {
		clear(n.links)
		for k, l := range links {
			n.links[k] = l
		}
	})
}

// Heal has all links pass all on at once.
func (n *Net) Heal() { n.change(func() { clear(n.links) }) }

func (n *Net) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	for p := range n.conns {
		if n.links[[2]int{p.from, p.to}].Reset || n.links[[2]int{p.to, p.from}].Reset {
			p.reset()
		}
	}
	close(n.news)
	n.news = make(chan struct{})
}

// Stats are the counts so far.
func (n *Net) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// who is the agent that sends from a host; -1: none that is known.
func (n *Net) who(ip net.IP) int {
	host := ip.String()
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, nd := range n.nodes {
		if nd.host == host {
			return i
		}
	}
	return -1
}

// link is what is done to what goes one way now; it changes when news is closed.
func (n *Net) link(from, to int) (l Link, news chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[[2]int{from, to}], n.news
}

// datagrams forwards what comes for agent i.
func (n *Net) datagrams(i int, nd *node) {
	defer n.running.Done()
	buf := make([]byte, 65536)
	late := make(chan struct{}, mostLate)
	for {
		size, from, err := nd.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the agent is down: the system tells of an earlier one
		}
		l, _ := n.link(n.who(from.IP), i)
		n.mu.Lock()
		lost, twice := l.Cut || n.rng.Float64() < l.Loss, n.rng.Float64() < l.Repeat
		wait := []time.Duration{l.Delay, l.Delay}
		for k := range wait {
			if l.Jitter > 0 {
				wait[k] += time.Duration(n.rng.Int64N(int64(l.Jitter)))
			}
		}
		n.stats.Datagrams++
		n.stats.Bytes += int64(size)
		if lost {
			n.stats.Lost++
		}
		if twice {
			n.stats.Repeated++
		}
		n.mu.Unlock()
		if lost {
			continue
		}
		if !twice {
			wait = wait[:1]
		}
		for _, w := range wait {
			if w == 0 {
				nd.udp.WriteToUDP(buf[:size], nd.to)
				continue
			}
			select {
			case late <- struct{}{}:
			default:
				continue // more are on their way than any network holds
			}
			raw := append([]byte(nil), buf[:size]...)
			n.running.Add(1)
			go func() {
				defer n.running.Done()
				defer func() { <-late }()
				if n.sleep(w) {
					nd.udp.WriteToUDP(raw, nd.to)
				}
			}()
		}
	}
}

// sleep waits; false: the network is closed.
func (n *Net) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.done:
		return false
	}
}

// streams forwards connections to agent i.
func (n *Net) streams(i int, nd *node) {
	defer n.running.Done()
	for {
		c, err := nd.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		p := &pair{from: n.who(c.RemoteAddr().(*net.TCPAddr).IP), to: i, a: c}
		n.mu.Lock()
		n.stats.Streams++
		select {
		case <-n.done:
			c.Close()
			n.mu.Unlock()
			continue
		default:
		}
		if len(n.conns) >= mostPairs {
			c.Close()
			n.mu.Unlock()
			continue
		}
		n.conns[p] = true
		n.running.Add(1)
		n.mu.Unlock()
		go n.forward(p, nd)
	}
}

// forward connects a stream through, once its link is not cut.
func (n *Net) forward(p *pair, nd *node) {
	defer n.running.Done()
	defer func() {
		n.mu.Lock()
		delete(n.conns, p)
		p.close()
		n.mu.Unlock()
	}()
	// A cut network takes no answer back: whoever calls waits until it has had enough.
	if !n.open(p.from, p.to, p.a) || !n.open(p.to, p.from, p.a) {
		return
	}
	b, err := net.DialTimeout("tcp", nd.real, 5*time.Second)
	if err != nil {
		p.a.SetLinger(0) // as the system refuses
		return
	}
	n.mu.Lock()
	p.b = b.(*net.TCPConn)
	n.mu.Unlock()
	back := make(chan struct{})
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		defer close(back)
		n.copy(p.b, p.a, p.to, p.from)
	}()
	n.copy(p.a, p.b, p.from, p.to)
	<-back
}

// open waits until a link is not cut; false: it was reset, or its caller has gone, or all is closed.
func (n *Net) open(from, to int, c *net.TCPConn) bool {
	for {
		l, news := n.link(from, to)
		if l.Reset {
			c.SetLinger(0)
			return false
		}
		if !l.Cut {
			return true
		}
		select {
		case <-news:
		case <-n.done:
			return false
		}
	}
}

// copy passes on one direction, as its link lets it, until it ends; the end is passed on too.
func (n *Net) copy(src, dst *net.TCPConn, from, to int) {
	buf := make([]byte, 16<<10)
	for {
		size, err := src.Read(buf)
		if size > 0 {
			l, _ := n.link(from, to)
			wait := l.Delay
			if l.Rate > 0 {
				wait += time.Duration(float64(size) / float64(l.Rate) * float64(time.Second))
			}
			if wait > 0 && !n.sleep(wait) || !n.open(from, to, src) {
				break
			}
			n.mu.Lock()
			n.stats.Bytes += int64(size)
			n.mu.Unlock()
			if _, err := dst.Write(buf[:size]); err != nil {
				break
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && n.open(from, to, src) {
				dst.CloseWrite()
				return
			}
			break
		}
	}
	src.Close()
	dst.Close()
}

func (p *pair) close() {
	p.a.Close()
	if p.b != nil {
		p.b.Close()
	}
}

func (p *pair) reset() {
	p.a.SetLinger(0)
	if p.b != nil {
		p.b.SetLinger(0)
	}
	p.close()
}
