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

// remotePeer is a proxy on another machine, simulated by the test, with a client that sends requests to it.
type remotePeer struct {
	net.Listener
	client  *peerClient
	network *network.Sea
	machine *network.Machine
	addr    string
	end     func()
}

func newRemotePeer(t *testing.T) *remotePeer {
	t.Helper()
	s := network.New(1)
	p := s.Machine("10.0.0.1", "north").Start()
	f := &remotePeer{client: newPeerClient(p, nil), network: s, machine: s.Machine("10.0.0.2", "south"), addr: "10.0.0.2:82"}
	q := f.machine.Start()
	l, err := q.Listen(f.addr, peerAckTimeout)
	if err != nil {
		t.Fatal(err)
	}
	f.Listener = l
	f.end = func() { p.End(); q.End() }
	return f
}

// accept accepts the next connection.
func (f *remotePeer) accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := f.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// A long response whose client pauses arrives complete: a reader that pauses is not taken for one that is gone.
func TestLongPeerResponseWithPausedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRemotePeer(t)
		defer f.end()
		const size = 400 << 10
		go func() {
			c, in := f.accept(t)
			defer c.Close()
			var a peerRequest
			if readMessage(in, &a) != nil {
				return
			}
			writePeerResponse(c, c, outcome{peerResponse: peerResponse{Number: a.Number}, response: &Response{Status: 200, Body: []byte{}, Length: size, Stream: strings.NewReader(strings.Repeat("x", size))}})
			io.Copy(io.Discard, in)
		}()
		o := f.client.do(context.Background(), f.addr, &peerRequest{Kind: runRequest}, nil, nil, time.Now().Add(time.Minute))
		if o.response == nil || o.response.Stream == nil {
			t.Fatalf("%+v, %v", o.peerResponse, o.err)
		}
		time.Sleep(3 * peerAckTimeout)
		n, err := io.Copy(io.Discard, o.response.Stream)
		if got := int(n) + len(o.response.Body); got != size || err != nil {
			t.Errorf("%d bytes of %d, %v", got, size, err)
		}
		o.response.Close(true)
	})
}

// A request that can't have arrived completely has not run; one that may have arrived may have run.
func TestInterruptedPeerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRemotePeer(t)
		defer f.end()
		do := func(size int, end func(net.Conn, *bufio.Reader)) outcome {
			go func() {
				c, in := f.accept(t)
				end(c, in)
			}()
			return f.client.do(context.Background(), f.addr, &peerRequest{Kind: runRequest, Header: []Field{{Name: "A", Value: strings.Repeat("b", size)}}}, nil, nil, time.Now().Add(time.Second))
		}
		reset := func(c net.Conn, in *bufio.Reader) { // with bytes unread
			in.Peek(1)
			time.Sleep(time.Millisecond) // while as much is sent as there is room for
			c.Close()
		}
		if o := do(100<<10, reset); !errors.Is(o.err, syscall.ECONNRESET) || o.Code != errcode.Unreachable || o.Sent {
			t.Errorf("an interrupted request: %+v, %v", o.peerResponse, o.err)
		}
		if o := do(100<<10, func(net.Conn, *bufio.Reader) {}); !isTimeout(o.err) || o.Code != errcode.Unreachable || o.Sent {
			t.Errorf("a request that was not read in time: %+v, %v", o.peerResponse, o.err)
		}
		if o := do(10, reset); o.Code != errcode.ConnectionLost || !o.Sent {
			t.Errorf("a request that may have arrived: %+v, %v", o.peerResponse, o.err)
		}
		if o := do(10, func(c net.Conn, in *bufio.Reader) { readMessage(in, new(peerRequest)); c.Close() }); o.Code != errcode.ConnectionLost || !o.Sent {
			t.Errorf("a request that arrived: %+v, %v", o.peerResponse, o.err)
		}
	})
}

// A connection is not reused after a streamed request body: the other side may have responded before it had read all,
// and then closes the connection.
func TestConnectionIsNotReusedAfterStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRemotePeer(t)
		defer f.end()
		go func() {
			c, in := f.accept(t)
			var a peerRequest
			if readMessage(in, &a) == nil { // answered before its body was read, as by a proxy without a free place
				writePeerResponse(c, c, outcome{peerResponse: peerResponse{Code: errcode.Overloaded}})
			}
		}()
		o := f.client.do(context.Background(), f.addr, &peerRequest{Kind: runRequest, Length: unknownLength}, nil, strings.NewReader("short"), time.Now().Add(time.Second))
		if o.Code != errcode.Overloaded || f.client.pool.IdleCount(f.addr) != 0 {
			t.Errorf("%+v, %v; %d kept", o.peerResponse, o.err, f.client.pool.IdleCount(f.addr))
		}
	})
}

// A request that was read at the moment when the proxy closes idle connections is answered, and idle connections are
// closed.
func TestPeerRequestDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, idempotentRoute, func(io.Writer, *http.Request) { t.Error("the request ran") })
		l, err := w.process.Listen("10.0.0.1:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		reads := 0
		go w.ServePeers(&readHookListener{l, func() {
			if reads++; reads == 2 {
				w.Inbound.Withdraw()
				w.Inbound.closeIdle()
			}
		}})
		q := w.network.Machine("10.0.0.2", "south").Start()
		h := newPeerClient(q, nil)
		do := func(kind uint8) outcome {
			return h.do(context.Background(), "10.0.0.1:82", &peerRequest{Kind: kind, Instance: "i-1", Service: "ledger", RemainingMs: 1000}, nil, nil, time.Now().Add(time.Second))
		}
		if o := do(lookupKey); o.Code != errcode.NotFound {
			t.Fatalf("%+v, %v", o.peerResponse, o.err)
		}
		if o := do(runRequest); o.Code != errcode.Draining || o.Sent || reads != 2 {
			t.Errorf("%+v, %v, after %d reads", o.peerResponse, o.err, reads)
		}
		time.Sleep(time.Second)
		if w.Inbound.closeIdle(); h.pool.IdleCount("10.0.0.1:82") != 1 {
			t.Errorf("%d connections kept", h.pool.IdleCount("10.0.0.1:82"))
		}
		time.Sleep(time.Second)
		if c := h.pool.Get("10.0.0.1:82"); c != nil || w.Inbound.closeIdle() != 0 {
			t.Error("an idle connection is not closed")
		}
		q.End()
	})
}

// A head that exceeds the limit of other proxies is refused before it is sent, and a backend's head above its limit is
// an error.
func TestHeadSizeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRemotePeer(t)
		defer f.end()
		o := f.client.do(context.Background(), f.addr, &peerRequest{Kind: runRequest, Target: strings.Repeat("x", maxPeerHead)}, nil, nil, time.Now().Add(time.Second))
		if o.Code != errcode.HeaderTooLarge || !o.Code.NotRun() || o.Sent {
			t.Errorf("%+v, %v", o.peerResponse, o.err)
		}
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
			io.WriteString(o, "HTTP/1.1 200 OK\r\n")
			for range maxResponseHead >> 12 {
				io.WriteString(o, "A: "+strings.Repeat("x", 4<<10)+"\r\n")
			}
			respondWithSize(o, r, 200, 3)
		})
		a := &peerRequest{Instance: "i-1", Service: "ledger", Method: "GET", Target: "/", ID: "A", RemainingMs: 1000, Header: []Field{{Name: HeaderAttemptID, Value: "A"}, {Name: "Host", Value: "h"}}}
		o = w.Inbound.execute(context.Background(), a, nil, nil)
		if o.Code != errcode.InvalidResponse || !errors.Is(o.err, errHeadTooLong) {
			t.Errorf("%+v, %v", o.peerResponse, o.err)
		}
	})
}
