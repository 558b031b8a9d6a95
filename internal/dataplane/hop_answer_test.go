package dataplane

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/simulation/network"
)

// far is a proxy on another machine, played by the test, and the hops to it.
type far struct {
	net.Listener
	h    *hops
	sea  *network.Sea
	m    *network.Machine
	addr string
	end  func()
}

func newFar(t *testing.T) *far {
	t.Helper()
	s := network.New(1)
	p := s.Machine("10.0.0.1", "north").Start()
	f := &far{h: newHops(p, nil), sea: s, m: s.Machine("10.0.0.2", "south"), addr: "10.0.0.2:82"}
	q := f.m.Start()
	l, err := q.Listen(f.addr, hopQuiet)
	if err != nil {
		t.Fatal(err)
	}
	f.Listener = l
	f.end = func() { p.End(); q.End() }
	return f
}

// accept takes the next connection.
func (f *far) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := f.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// A long answer whose client takes a pause comes whole: a reader that takes nothing for a while is not one that is gone.
func TestLongAnswerOverAHopWithAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFar(t)
		defer f.end()
		const size = 400 << 10
		go func() {
			c, in := f.accept(t)
			defer c.Close()
			var a ask
			if readMessage(in, &a) != nil {
				return
			}
			writeTold(c, c, outcome{told: told{Number: a.Number}, answer: &Answer{Status: 200, Body: []byte{}, Length: size, Rest: strings.NewReader(strings.Repeat("x", size))}})
			io.Copy(io.Discard, in)
		}()
		o := f.h.do(context.Background(), f.addr, &ask{Kind: run}, nil, nil, time.Now().Add(time.Minute))
		if o.answer == nil || o.answer.Rest == nil {
			t.Fatalf("%+v, %v", o.told, o.err)
		}
		time.Sleep(3 * hopQuiet)
		n, err := io.Copy(io.Discard, o.answer.Rest)
		if got := int(n) + len(o.answer.Body); got != size || err != nil {
			t.Errorf("%d bytes of %d, %v", got, size, err)
		}
		o.answer.Close(true)
	})
}

// An ask that can't have come whole has not run; one that may have come may have.
func TestAskThatBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFar(t)
		defer f.end()
		do := func(size int, end func(net.Conn, *bufio.Reader)) outcome {
			go func() {
				c, in := f.accept(t)
				end(c, in)
			}()
			return f.h.do(context.Background(), f.addr, &ask{Kind: run, Header: []Field{{Name: "A", Value: strings.Repeat("b", size)}}}, nil, nil, time.Now().Add(time.Second))
		}
		reset := func(c net.Conn, in *bufio.Reader) { // with bytes unread
			in.Peek(1)
			time.Sleep(time.Millisecond) // in which as much follows as there is room for
			c.Close()
		}
		if o := do(100<<10, reset); !errors.Is(o.err, syscall.ECONNRESET) || o.Code != errcode.Unreachable || o.Sent {
			t.Errorf("an ask that broke off: %+v, %v", o.told, o.err)
		}
		if o := do(100<<10, func(net.Conn, *bufio.Reader) {}); !isTimeout(o.err) || o.Code != errcode.Unreachable || o.Sent {
			t.Errorf("an ask that was not taken in time: %+v, %v", o.told, o.err)
		}
		if o := do(10, reset); o.Code != errcode.ConnectionLost || !o.Sent {
			t.Errorf("an ask that may have come whole: %+v, %v", o.told, o.err)
		}
		if o := do(10, func(c net.Conn, in *bufio.Reader) { readMessage(in, new(ask)); c.Close() }); o.Code != errcode.ConnectionLost || !o.Sent {
			t.Errorf("an ask that came whole: %+v, %v", o.told, o.err)
		}
	})
}

// No connection is kept on which a body went on as it came: the other side may have answered before it had read all, and ends it.
func TestNoConnectionIsKeptBehindAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFar(t)
		defer f.end()
		go func() {
			c, in := f.accept(t)
			var a ask
			if readMessage(in, &a) == nil { // answered before its body was read, as a gate without room does
				writeTold(c, c, outcome{told: told{Code: errcode.Overloaded}})
			}
		}()
		o := f.h.do(context.Background(), f.addr, &ask{Kind: run, Length: pieces}, nil, strings.NewReader("short"), time.Now().Add(time.Second))
		if o.Code != errcode.Overloaded || f.h.pool.Idle(f.addr) != 0 {
			t.Errorf("%+v, %v; %d kept", o.told, o.err, f.h.pool.Idle(f.addr))
		}
	})
}

// An ask that was read in the moment in which its gate closes what rests is answered, and what rests is closed.
func TestAskInTheMomentOfTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, lookup, func(io.Writer, *http.Request) { t.Error("it ran") })
		l, err := w.p.Listen("10.0.0.1:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		reads := 0
		go w.ServeGate(&hookedListener{l, func() {
			if reads++; reads == 2 {
				w.Gate.Withdraw()
				w.Gate.closeQuiet()
			}
		}})
		q := w.sea.Machine("10.0.0.2", "south").Start()
		h := newHops(q, nil)
		do := func(kind uint8) outcome {
			return h.do(context.Background(), "10.0.0.1:82", &ask{Kind: kind, Instance: "i-1", Service: "ledger", Left: 1000}, nil, nil, time.Now().Add(time.Second))
		}
		if o := do(recall); o.Code != errcode.NotFound {
			t.Fatalf("%+v, %v", o.told, o.err)
		}
		if o := do(run); o.Code != errcode.Draining || o.Sent || reads != 2 {
			t.Errorf("%+v, %v, after %d reads", o.told, o.err, reads)
		}
		time.Sleep(time.Second)
		if w.Gate.closeQuiet(); h.pool.Idle("10.0.0.1:82") != 1 {
			t.Errorf("%d connections kept", h.pool.Idle("10.0.0.1:82"))
		}
		time.Sleep(time.Second)
		if c := h.pool.Take("10.0.0.1:82"); c != nil || w.Gate.closeQuiet() != 0 {
			t.Error("one that rests is not closed")
		}
		q.End()
	})
}

// A head that no hop takes is refused before it is sent, and one of a backend without an end is no answer.
func TestHeadsThatAreTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFar(t)
		defer f.end()
		o := f.h.do(context.Background(), f.addr, &ask{Kind: run, Target: strings.Repeat("x", maxHopHead)}, nil, nil, time.Now().Add(time.Second))
		if o.Code != errcode.HeaderTooLarge || !o.Code.NotRun() || o.Sent {
			t.Errorf("%+v, %v", o.told, o.err)
		}
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
			io.WriteString(o, "HTTP/1.1 200 OK\r\n")
			for range maxAnswerHead >> 12 {
				io.WriteString(o, "A: "+strings.Repeat("x", 4<<10)+"\r\n")
			}
			serves(o, r, 200, 3)
		})
		a := &ask{Instance: "i-1", Service: "ledger", Method: "GET", Target: "/", ID: "A", Left: 1000, Header: []Field{{Name: HeaderID, Value: "A"}, {Name: "Host", Value: "h"}}}
		o = w.Gate.run(context.Background(), a, nil, nil)
		if o.Code != errcode.InvalidResponse || !errors.Is(o.err, errLongHead) {
			t.Errorf("%+v, %v", o.told, o.err)
		}
	})
}
