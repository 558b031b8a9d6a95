package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/modelcheck"
	"saltmast/internal/simulation/network"
	"saltmast/internal/sock"
)

// The walk of a connection for calls: three calls, one by one or all at once, and at each of them each thing that a peer or the
// network may do to it, all after all. The numbers of calls come round at once: where a call was given up, the next one would
// get its number. Each call ends once, with its own answer or none, and is sent once at the most.

const walkWait = 20 * time.Millisecond

// called is one call as the peer of the walk has read it.
type called struct {
	c net.Conn
	frame
}

func (a *called) good() []byte {
	return framed(a.id, a.kind, errcode.OK, append([]byte("of "), a.body...))
}

func (a *called) put(msg ...[]byte) bool {
	_, err := a.c.Write(bytes.Join(msg, nil))
	return err == nil
}

// peerDeeds are what may happen to a call at the peer. Each reports whether the connection goes on.
var peerDeeds = []struct {
	name string
	do   func(a *called) bool
}{
	{"answered", func(a *called) bool { return a.put(a.good()) }},
	{"answered in small pieces", func(a *called) bool {
		for _, b := range a.good() {
			a.put([]byte{b})
			time.Sleep(10 * time.Microsecond)
		}
		return true
	}},
	{"answered with an error", func(a *called) bool { return a.put(framed(a.id, a.kind, errcode.NotFound, nil)) }},
	{"answered twice", func(a *called) bool { return a.put(a.good(), a.good()) }},
	{"answered late", func(a *called) bool {
		go func() { time.Sleep(2 * walkWait); a.put(a.good()) }()
		return true
	}},
	{"answered late, and closed", func(a *called) bool {
		go func() { time.Sleep(2 * walkWait); a.put(a.good()); a.c.Close() }()
		return true
	}},
	{"not answered", func(a *called) bool { return true }},
	{"answered under a number that none has", func(a *called) bool { return a.put(framed(a.id+100, a.kind, errcode.OK, []byte("of none"))) }},
	{"answered as another kind", func(a *called) bool { return a.put(framed(a.id, a.kind+1, errcode.OK, []byte("of none"))) }},
	{"cut in the frame's head", func(a *called) bool { a.put(a.good()[:7]); return false }},
	{"cut in the message", func(a *called) bool { b := a.good(); a.put(b[:len(b)-1]); return false }},
	{"spoilt", func(a *called) bool { return a.put([]byte("\xff\xff\xff\xffnoise")) }},
	{"closed without an answer", func(a *called) bool { return false }},
	{"answered, and closed", func(a *called) bool { a.put(a.good()); return false }},
	{"answered, and reset", func(a *called) bool {
		a.put(a.good())
		time.Sleep(time.Millisecond) // in which the next call may come, and is not read
		a.c.Close()
		return false
	}},
}

type callWalk struct {
	p      *network.Process
	net    sock.Net
	forget func(c *Client, id uint32)
	port   int
}

// callWorld makes three calls under one script, one by one or at once.
func callWorld(t *testing.T, w *callWalk, script []int, way int) string {
	together := way == 1
	w.port++
	addr := fmt.Sprintf("10.0.0.1:%d", w.port)
	l, err := w.p.Listen(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	seen := map[string]int{}
	var conns []net.Conn
	n := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					f, err := readFrame(in)
					if err != nil {
						return
					}
					mu.Lock()
					seen[string(f.body)]++
					d := peerDeeds[0]
					if n < len(script) {
						d = peerDeeds[script[n]]
					}
					n++
					mu.Unlock()
					if !d.do(&called{c, f}) {
						return
					}
				}
			}()
		}
	}()
	c := NewClient(w.net, addr)
	c.next = ^uint32(0) - 1 // numbers come round with the second call
	type result struct {
		body string
		err  error
	}
	const calls = 3
	got := [calls][]result{}
	ids := [calls]uint32{}
	begin := func(i int) {
		ids[i] = c.Go(5, fmt.Append(nil, i), func(body []byte, err error) {
			mu.Lock()
			got[i] = append(got[i], result{string(body), err})
			mu.Unlock()
		})
	}
	end := func(i int) {
		mu.Lock()
		done := len(got[i]) > 0
		mu.Unlock()
		if done || ids[i] == 0 {
			return
		}
		if w.forget != nil {
			w.forget(c, ids[i])
		} else {
			c.Forget(ids[i])
		}
		c.mu.Lock()
		c.next = ids[i] - 1
		c.mu.Unlock()
	}
	for i := range calls {
		if begin(i); !together {
			time.Sleep(walkWait)
			end(i)
			if i+1 < calls { // a dial that failed has a pause behind it
				time.Sleep(time.Duration(script[0]%2) * pauseHigh)
			}
		}
	}
	if together {
		time.Sleep(walkWait)
		for i := range calls {
			end(i)
		}
	}
	time.Sleep(3 * walkWait)
	c.Close()
	mu.Lock()
	for _, x := range conns {
		x.Close()
	}
	mu.Unlock()
	time.Sleep(time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for i := range calls {
		if len(got[i]) > 1 {
			return fmt.Sprintf("call %d ended %d times", i, len(got[i]))
		}
		if len(got[i]) == 1 && got[i][0].err == nil && got[i][0].body != fmt.Sprint("of ", i) {
			return fmt.Sprintf("call %d got %q", i, got[i][0].body)
		}
		if k := seen[fmt.Sprint(i)]; k > 1 {
			return fmt.Sprintf("call %d was sent %d times", i, k)
		}
	}
	return ""
}

func newCallWalk(*testing.T) *callWalk {
	p := network.New(1).Machine("10.0.0.1", "north").Start()
	return &callWalk{p: p, net: p, port: 1000}
}

var walkOfCalls = modelcheck.Walk[*callWalk]{Deeds: len(peerDeeds), Deed: func(i int) string { return peerDeeds[i].name }, Length: 3,
	Ways: []string{"one by one", "at once"}, Begin: newCallWalk, World: callWorld, End: func(w *callWalk) { w.p.End() }}

// Whatever happens to a call, and to those before it, none gets another's answer.
func TestWalkOfCalls(t *testing.T) { walkOfCalls.Holds(t) }

// blindNet has every answer pass for one to the newest call, of its kind: as if neither was compared.
type blindNet struct{ sock.Net }

func (b blindNet) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	c, err := b.Net.Dial(ctx, addr, quiet)
	if err != nil {
		return nil, err
	}
	return &blindConn{Conn: c}, nil
}

type blindConn struct {
	net.Conn
	last []byte
}

func (b *blindConn) Write(p []byte) (int, error) {
	if len(p) >= headBytes {
		b.last = slices.Clone(p[4:9])
	}
	return b.Conn.Write(p)
}

func (b *blindConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	for at := 0; at+headBytes <= n; {
		copy(p[at+4:at+9], b.last)
		at += 4 + int(binary.BigEndian.Uint32(p[at:]))
	}
	return n, err
}

// Wrong clients are found: one that gives the number of a call that it gave up to another, and one that compares no numbers.
func TestWalkFindsWrongClients(t *testing.T) {
	walkOfCalls.Finds(t, map[string]func(w *callWalk){
		"a number is given again while its answer may come": func(w *callWalk) {
			w.forget = func(c *Client, id uint32) {
				c.mu.Lock()
				delete(c.waiting, id)
				c.mu.Unlock()
			}
		},
		"numbers are not compared": func(w *callWalk) { w.net = blindNet{w.p} },
	})
}

// A peer that leaves ever more calls without an answer loses its connection; those that were given up take no place of others.
func TestCallsLeftWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := network.New(1).Machine("10.0.0.1", "north").Start()
		l, err := p.Listen("10.0.0.1:80", 0)
		if err != nil {
			t.Fatal(err)
		}
		s := Serve(l, func(c Call) {
			if c.Kind == 1 {
				c.Reply("yes", nil)
			}
		})
		c := NewClient(p, "10.0.0.1:80")
		first := func() (l *link) { c.mu.Lock(); defer c.mu.Unlock(); return c.l }
		var got string
		if err := c.Call(1, nil, &got, time.Second); err != nil {
			t.Fatal(err)
		}
		was := first()
		for range maxCalls {
			c.Forget(c.Go(2, nil, func([]byte, error) { t.Error("it was given up") }))
		}
		if err := c.Call(1, nil, &got, time.Second); err != nil || first() != was {
			t.Errorf("behind %d that were given up: %v", maxCalls, err)
		}
		c.Forget(c.Go(2, nil, func([]byte, error) {}))
		synctest.Wait()
		time.Sleep(time.Second)
		if first() == was {
			t.Error("the connection goes on")
		}
		c.Close()
		s.Close()
		p.End()
	})
}
