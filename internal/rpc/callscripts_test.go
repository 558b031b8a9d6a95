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

// These tests make three calls over one client, one by one or all at once, with every combination of what a peer or the network
// may do to each of them. Call IDs wrap around, and after a call is cancelled the next one would get its ID. Each call must end at
// most once, with its own answer or none, and must be sent at most once.

const callWait = 20 * time.Millisecond

// receivedCall is a call as the test's peer has read it.
type receivedCall struct {
	c net.Conn
	frame
}

func (call *receivedCall) answer() []byte {
	return framed(call.id, call.kind, errcode.OK, append([]byte("of "), call.body...))
}

func (call *receivedCall) write(msg ...[]byte) bool {
	_, err := call.c.Write(bytes.Join(msg, nil))
	return err == nil
}

// peerActions are what may happen to a call at the peer. Each reports whether the connection stays open.
var peerActions = []struct {
	name string
	do   func(call *receivedCall) bool
}{
	{"answered", func(call *receivedCall) bool { return call.write(call.answer()) }},
	{"answered in small pieces", func(call *receivedCall) bool {
		for _, b := range call.answer() {
			call.write([]byte{b})
			time.Sleep(10 * time.Microsecond)
		}
		return true
	}},
	{"answered with an error", func(call *receivedCall) bool { return call.write(framed(call.id, call.kind, errcode.NotFound, nil)) }},
	{"answered twice", func(call *receivedCall) bool { return call.write(call.answer(), call.answer()) }},
	{"answered late", func(call *receivedCall) bool {
		go func() { time.Sleep(2 * callWait); call.write(call.answer()) }()
		return true
	}},
	{"answered late, and closed", func(call *receivedCall) bool {
		go func() { time.Sleep(2 * callWait); call.write(call.answer()); call.c.Close() }()
		return true
	}},
	{"not answered", func(call *receivedCall) bool { return true }},
	{"answered with an unknown ID", func(call *receivedCall) bool {
		return call.write(framed(call.id+100, call.kind, errcode.OK, []byte("of none")))
	}},
	{"answered with another kind", func(call *receivedCall) bool {
		return call.write(framed(call.id, call.kind+1, errcode.OK, []byte("of none")))
	}},
	{"cut in the frame header", func(call *receivedCall) bool { call.write(call.answer()[:7]); return false }},
	{"cut in the message", func(call *receivedCall) bool { b := call.answer(); call.write(b[:len(b)-1]); return false }},
	{"corrupted", func(call *receivedCall) bool { return call.write([]byte("\xff\xff\xff\xffnoise")) }},
	{"closed without an answer", func(call *receivedCall) bool { return false }},
	{"answered, and closed", func(call *receivedCall) bool { call.write(call.answer()); return false }},
	{"answered, and reset", func(call *receivedCall) bool {
		call.write(call.answer())
		time.Sleep(time.Millisecond) // the next call may arrive meanwhile and is not read
		call.c.Close()
		return false
	}},
}

type callEnvironment struct {
	p      *network.Process
	net    sock.Net
	forget func(c *Client, id uint32)
	port   int
}

// runCalls makes three calls with one script, one by one or at once.
func runCalls(t *testing.T, w *callEnvironment, script []int, mode int) string {
	together := mode == 1
	w.port++
	addr := fmt.Sprintf("10.0.0.1:%d", w.port)
	l, err := w.p.Listen(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	received := map[string]int{}
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
					received[string(f.body)]++
					action := peerActions[0]
					if n < len(script) {
						action = peerActions[script[n]]
					}
					n++
					mu.Unlock()
					if !action.do(&receivedCall{c, f}) {
						return
					}
				}
			}()
		}
	}()
	c := NewClient(w.net, addr)
	c.nextID = ^uint32(0) - 1 // IDs wrap around with the second call
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
			c.Cancel(ids[i])
		}
		c.mu.Lock()
		c.nextID = ids[i] - 1
		c.mu.Unlock()
	}
	for i := range calls {
		if begin(i); !together {
			time.Sleep(callWait)
			end(i)
			if i+1 < calls { // no new dial is made during the backoff after a failed one
				time.Sleep(time.Duration(script[0]%2) * maxBackoff)
			}
		}
	}
	if together {
		time.Sleep(callWait)
		for i := range calls {
			end(i)
		}
	}
	time.Sleep(3 * callWait)
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
		if k := received[fmt.Sprint(i)]; k > 1 {
			return fmt.Sprintf("call %d was sent %d times", i, k)
		}
	}
	return ""
}

func newCallEnvironment(*testing.T) *callEnvironment {
	p := network.New(1).Machine("10.0.0.1", "north").Start()
	return &callEnvironment{p: p, net: p, port: 1000}
}

var callScripts = modelcheck.ScriptTest[*callEnvironment]{Actions: len(peerActions), ActionName: func(i int) string { return peerActions[i].name }, ScriptLength: 3,
	Modes: []string{"one by one", "at once"}, Setup: newCallEnvironment, Run: runCalls, Teardown: func(w *callEnvironment) { w.p.End() }}

// Whatever happens to a call and to those before it, none gets another's answer.
func TestCallScripts(t *testing.T) { callScripts.Check(t) }

// relabelNet gives every answer the ID and kind of the newest call, as if the client compared neither.
type relabelNet struct{ sock.Net }

func (b relabelNet) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	c, err := b.Net.Dial(ctx, addr, quiet)
	if err != nil {
		return nil, err
	}
	return &relabelConn{Conn: c}, nil
}

type relabelConn struct {
	net.Conn
	last []byte
}

func (b *relabelConn) Write(p []byte) (int, error) {
	if len(p) >= headerBytes {
		b.last = slices.Clone(p[4:9])
	}
	return b.Conn.Write(p)
}

func (b *relabelConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	for at := 0; at+headerBytes <= n; {
		copy(p[at+4:at+9], b.last)
		at += 4 + int(binary.BigEndian.Uint32(p[at:]))
	}
	return n, err
}

// The scripts detect wrong clients: one that reuses the ID of a cancelled call too early, and one that compares no IDs.
func TestCallScriptsFindWrongClients(t *testing.T) {
	callScripts.CheckMutants(t, map[string]func(w *callEnvironment){
		"an ID is reused while its answer may still arrive": func(w *callEnvironment) {
			w.forget = func(c *Client, id uint32) {
				c.mu.Lock()
				delete(c.waiting, id)
				c.mu.Unlock()
			}
		},
		"IDs are not compared": func(w *callEnvironment) { w.net = relabelNet{w.p} },
	})
}

// Cancelled calls don't count against the limit of pending calls, but too many of them without an answer close the connection.
func TestCancelledCalls(t *testing.T) {
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
		current := func() (l *link) { c.mu.Lock(); defer c.mu.Unlock(); return c.l }
		var got string
		if err := c.Call(1, nil, &got, time.Second); err != nil {
			t.Fatal(err)
		}
		before := current()
		for range maxPendingCalls {
			c.Cancel(c.Go(2, nil, func([]byte, error) { t.Error("a cancelled call ended") }))
		}
		if err := c.Call(1, nil, &got, time.Second); err != nil || current() != before {
			t.Errorf("after %d cancelled calls: %v", maxPendingCalls, err)
		}
		c.Cancel(c.Go(2, nil, func([]byte, error) {}))
		synctest.Wait()
		time.Sleep(time.Second)
		if current() == before {
			t.Error("the connection is still open")
		}
		c.Close()
		s.Close()
		p.End()
	})
}
