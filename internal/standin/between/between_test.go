package between

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is an agent that says what it gets.
type peer struct {
	t    *testing.T
	udp  *net.UDPConn
	tcp  net.Listener
	host string
	adv  string
	got  chan string
}

func newPeer(t *testing.T, n *Net, i int) *peer {
	t.Helper()
	p := &peer{t: t, host: fmt.Sprintf("127.9.0.%d", 10+i), got: make(chan string, 100)}
	var err error
	if p.tcp, err = net.Listen("tcp", p.host+":0"); err != nil {
		t.Fatal(err)
	}
	if p.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(p.host), Port: p.tcp.Addr().(*net.TCPAddr).Port}); err != nil {
		t.Fatal(err)
	}
	if p.adv, err = n.Add(fmt.Sprintf("127.9.1.%d", 10+i), p.tcp.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.udp.Close(); p.tcp.Close() })
	go func() {
		buf := make([]byte, 100)
		for {
			size, _, err := p.udp.ReadFrom(buf)
			if err != nil {
				return
			}
			p.got <- string(buf[:size])
		}
	}()
	go func() { // answers each line with itself
		for {
			c, err := p.tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewScanner(c)
				for in.Scan() {
					p.got <- in.Text()
					fmt.Fprintln(c, in.Text())
				}
			}()
		}
	}()
	return p
}

func (p *peer) send(to *peer, text string) {
	p.t.Helper()
	addr, err := net.ResolveUDPAddr("udp", to.adv)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.udp.WriteTo([]byte(text), addr); err != nil {
		p.t.Fatal(err)
	}
}

func (p *peer) dial(to *peer) net.Conn {
	p.t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.host)}}
	c, err := d.Dial("tcp", to.adv)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (p *peer) want(text string) {
	p.t.Helper()
	select {
	case got := <-p.got:
		if got != text {
			p.t.Fatalf("%q, want %q", got, text)
		}
	case <-time.After(20 * time.Second):
		p.t.Fatalf("%q never came", text)
	}
}

func three(t *testing.T) (*Net, []*peer) {
	n := New(1)
	t.Cleanup(n.Close)
	return n, []*peer{newPeer(t, n, 0), newPeer(t, n, 1), newPeer(t, n, 2)}
}

// passed waits until so many datagrams went by.
func passed(t *testing.T, n *Net, count int64) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); n.Stats().Datagrams < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%+v", n.Stats())
		}
	}
}

func TestACutStopsOneDirectionOfOnePair(t *testing.T) {
	n, p := three(t)
	n.Set(0, 1, Link{Cut: true})
	p[0].send(p[1], "lost")
	passed(t, n, 1)
	p[1].send(p[0], "other way")
	p[0].want("other way")
	p[2].send(p[1], "other pair")
	p[1].want("other pair")
	n.Heal()
	p[0].send(p[1], "healed")
	p[1].want("healed")
	if s := n.Stats(); s.Lost != 1 {
		t.Errorf("%+v", s)
	}
}

func TestAStreamStandsStillWhileCutAndGoesOnAfter(t *testing.T) {
	n, p := three(t)
	c := p[0].dial(p[1])
	in := bufio.NewReader(c)
	fmt.Fprintln(c, "one")
	p[1].want("one")
	if line, err := in.ReadString('\n'); err != nil || line != "one\n" {
		t.Fatal(line, err)
	}
	n.Between([]int{0}, []int{1, 2}, true, Link{Cut: true})
	fmt.Fprintln(c, "two")
	held := p[0].dial(p[2]) // is accepted, and hears nothing
	fmt.Fprintln(held, "three")
	p[1].dial(p[2]).Write([]byte("four\n"))
	p[2].want("four") // what is not cut goes on, and nothing came before it
	select {
	case got := <-p[1].got:
		t.Fatalf("%q came over a cut", got)
	default:
	}
	n.Heal()
	p[1].want("two")
	p[2].want("three")
	if line, err := in.ReadString('\n'); err != nil || line != "two\n" {
		t.Error(line, err)
	}
	c.(*net.TCPConn).CloseWrite() // an end is passed on
	if _, err := in.ReadByte(); err != io.EOF {
		t.Error(err)
	}
}

func TestAResetReachesBothEnds(t *testing.T) {
	n, p := three(t)
	c := p[0].dial(p[1])
	fmt.Fprintln(c, "one")
	p[1].want("one")
	bufio.NewReader(c).ReadString('\n')
	n.Set(0, 1, Link{Reset: true})
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Error(err)
	}
	// The reset of a new one may come before its dial has looked at the socket, or after.
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p[0].host)}}
	fresh, err := d.Dial("tcp", p[1].adv)
	if err == nil {
		defer fresh.Close()
		fresh.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = fresh.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a new one: %v", err)
	}
}

func TestLossRepeatsAndDelay(t *testing.T) {
	n, p := three(t)
	n.Set(0, 1, Link{Repeat: 1})
	p[0].send(p[1], "twice")
	p[1].want("twice")
	p[1].want("twice")
	n.Set(0, 1, Link{Loss: 1})
	p[0].send(p[1], "lost")
	passed(t, n, 2)
	n.Set(0, 1, Link{Delay: time.Hour})
	p[0].send(p[1], "late")
	passed(t, n, 3)
	n.Set(0, 1, Link{Delay: time.Millisecond, Jitter: time.Millisecond})
	p[0].send(p[1], "sooner")
	p[1].want("sooner")
}

func TestATrickleStillBringsAll(t *testing.T) {
	n, p := three(t)
	n.Set(0, 1, Link{Rate: 100_000})
	fmt.Fprintln(p[0].dial(p[1]), "by and by")
	p[1].want("by and by")
}

func TestAnAgentThatIsDownRefuses(t *testing.T) {
	_, p := three(t)
	p[1].tcp.Close()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p[0].host)}}
	c, err := d.Dial("tcp", p[1].adv)
	if err != nil {
		return // so quickly
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("something came")
	}
}
