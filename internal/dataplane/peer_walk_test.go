package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/modelcheck"
	"saltmast/internal/sock"
)

// The walk of a connection to another proxy: three requests, the first small, large or with a streamed body, and for
// the first two every action of the other proxy or the network. A request gets its own response, complete or
// recognizably cut, is sent once, and is reported as not executed only if the other side says so or never had all of
// it.

// receivedRequest is one request as received by the other side of the walk.
type receivedRequest struct {
	c       net.Conn
	in      *bufio.Reader
	request peerRequest
	late    *func()
}

func (h *receivedRequest) respond(o outcome, number uint64) bool {
	o.Number = number
	return writePeerResponse(h.c, h.c, o)
}

// okOutcome is a successful response; long: a streamed one.
func (h *receivedRequest) okOutcome(long bool) outcome {
	text := "of " + h.request.ID
	if long {
		return outcome{response: &Response{Status: 200, Body: []byte(text), Length: unknownLength, Stream: strings.NewReader(strings.Repeat("x", 2*bufferedBodyBytes))}}
	}
	return outcome{response: &Response{Status: 200, Body: []byte(text), Length: int64(len(text))}}
}

func (h *receivedRequest) respondAgain() bool { return h.respond(h.okOutcome(false), h.request.Number) }

func (h *receivedRequest) refuseAgain() bool { return h.respond(fullOutcome, h.request.Number) }

var fullOutcome = outcome{peerResponse: peerResponse{Code: errcode.Overloaded}}

// peerActions are what may happen to a request at the other side. whole: it is read completely, and may run.
var peerActions = []struct {
	name  string
	whole bool
	runs  bool
	do    func(h *receivedRequest) bool
}{
	{"answered", true, true, func(h *receivedRequest) bool { return h.respond(h.okOutcome(false), h.request.Number) }},
	{"answered with a long response", true, true, func(h *receivedRequest) bool { return h.respond(h.okOutcome(true), h.request.Number) }},
	{"answered by an earlier version", true, true, func(h *receivedRequest) bool { return h.respond(h.okOutcome(false), 0) }},
	{"answered twice", true, true, func(h *receivedRequest) bool {
		return h.respond(h.okOutcome(false), h.request.Number) && h.respondAgain()
	}},
	{"answered, and a duplicate while idle", true, true, func(h *receivedRequest) bool {
		h.respond(h.okOutcome(false), h.request.Number)
		time.Sleep(3 * time.Millisecond)
		return h.respond(h.okOutcome(false), h.request.Number)
	}},
	{"answered, and a duplicate before the next response", true, true, func(h *receivedRequest) bool {
		was := *h
		*h.late = func() { was.respond(was.okOutcome(false), was.request.Number) }
		return h.respond(h.okOutcome(false), h.request.Number)
	}},
	{"answered with a long response, and refused before the next response", true, true, func(h *receivedRequest) bool {
		was := *h
		*h.late = func() { was.respond(fullOutcome, was.request.Number) }
		return h.respond(h.okOutcome(true), h.request.Number)
	}},
	{"answered with the id of another request", true, true, func(h *receivedRequest) bool {
		return h.respond(outcome{response: &Response{Status: 200, Body: []byte("of Z"), Length: 4}}, h.request.Number+7)
	}},
	{"answered, and closed", true, true, func(h *receivedRequest) bool { h.respond(h.okOutcome(false), h.request.Number); return false }},
	{"answered, and closed while idle", true, true, func(h *receivedRequest) bool {
		h.respond(h.okOutcome(false), h.request.Number)
		time.Sleep(3 * time.Millisecond)
		return false
	}},
	{"cut in the head", true, true, func(h *receivedRequest) bool {
		h.c.Write(appendMessage(nil, peerResponse{Status: 200, Length: 4}, nil)[:9])
		return false
	}},
	{"cut in the body", true, true, func(h *receivedRequest) bool {
		h.c.Write(appendMessage(nil, peerResponse{Status: 200, Length: 50, Number: h.request.Number}, []byte("of ")))
		return false
	}},
	{"cut in a long body", true, true, func(h *receivedRequest) bool {
		o := h.okOutcome(true)
		o.response.Stream = io.MultiReader(io.LimitReader(o.response.Stream, bufferedBodyBytes+100), failingReader{})
		h.respond(o, h.request.Number)
		return false
	}},
	{"invalid response", true, true, func(h *receivedRequest) bool { h.c.Write([]byte("\x00\x00\x00\x05noise")); return true }},
	{"closed without a response", true, true, func(h *receivedRequest) bool { return false }},
	{"closed before it is read", false, false, func(h *receivedRequest) bool { h.in.Peek(1); time.Sleep(time.Millisecond); return false }},
	{"silent, and answered late", true, true, func(h *receivedRequest) bool {
		time.Sleep(2 * requestTimeout)
		return h.respond(h.okOutcome(false), h.request.Number)
	}},
	{"silent forever", true, true, func(h *receivedRequest) bool { time.Sleep(time.Second); return false }},
	{"not read", false, false, func(h *receivedRequest) bool { time.Sleep(time.Second); return false }},
	{"refused", true, false, func(h *receivedRequest) bool { return h.respond(fullOutcome, h.request.Number) }},
	{"refused twice", true, false, func(h *receivedRequest) bool { return h.respond(fullOutcome, h.request.Number) && h.refuseAgain() }},
	{"refused, and a duplicate before the next response", true, false, func(h *receivedRequest) bool {
		was := *h
		*h.late = func() { was.respond(fullOutcome, was.request.Number) }
		return h.respond(fullOutcome, h.request.Number)
	}},
}

// failingReader is a reader that fails.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBodyBroken }

type peerWalk struct {
	*remotePeer
	net         sock.Net
	beforeWorld func()
	sameNumber  bool // all requests bear the same number
	port        int
}

func newPeerWalk(t *testing.T) *peerWalk {
	f := newRemotePeer(t)
	return &peerWalk{remotePeer: f, net: f.client.pool.Net, port: 1000}
}

// runPeerWorld sends three requests, the first in one of three ways, under one script.
func runPeerWorld(t *testing.T, w *peerWalk, script []int, variant int) string {
	w.port++
	if w.beforeWorld != nil {
		w.beforeWorld()
	}
	process := w.machine.Start()
	defer process.End()
	addr := fmt.Sprintf("10.0.0.2:%d", w.port)
	l, err := process.Listen(addr, peerAckTimeout)
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	reads, runs, n := map[string]int{}, map[string]int{}, 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var late func()
				for in := bufio.NewReader(c); ; {
					if _, err := in.Peek(1); err != nil {
						return
					}
					mu.Lock()
					action := peerActions[0]
					if n < len(script) {
						action = peerActions[script[n]]
					}
					n++
					mu.Unlock()
					h := &receivedRequest{c: c, in: in, late: &late}
					if action.whole {
						if readMessage(in, &h.request) != nil {
							return
						}
						if h.request.Length == unknownLength {
							if _, err := io.Copy(io.Discard, &chunkReader{in: in}); err != nil {
								return
							}
						}
						mu.Lock()
						reads[h.request.ID]++
						if action.runs {
							runs[h.request.ID]++
						}
						mu.Unlock()
					}
					if late != nil {
						late()
						late = nil
					}
					if !action.do(h) {
						return
					}
				}
			}()
		}
	}()
	h := newPeerClient(w.net, nil)
	for i := range 3 {
		id := string(rune('A' + i))
		a := &peerRequest{Kind: runRequest, ID: id}
		var stream io.Reader
		if i == 0 {
			switch variant {
			case 1: // large
				a.Header = []Field{{Name: "A", Value: strings.Repeat("b", 100<<10)}}
			case 2: // streamed
				a.Length, stream = unknownLength, strings.NewReader(strings.Repeat("z", 100<<10))
			}
		}
		if w.sameNumber {
			h.lastNumber.Store(0)
		}
		o := h.do(context.Background(), addr, a, nil, stream, time.Now().Add(requestTimeout))
		got := ""
		if o.response != nil {
			got = string(o.response.Body)
			if o.response.Stream != nil {
				rest, err := io.ReadAll(o.response.Stream)
				o.response.Close(err == nil)
				if got += string(rest); err == nil && len(got) != 2*bufferedBodyBytes+len("of A") {
					return fmt.Sprintf("request %s: %d bytes without an error", id, len(got))
				}
			}
		}
		time.Sleep(5 * time.Millisecond) // a duplicate sent later arrives
		mu.Lock()
		readCount, runCount := reads[id], runs[id]
		mu.Unlock()
		switch {
		case got != "" && !strings.HasPrefix("of "+id+strings.Repeat("x", 2*bufferedBodyBytes), got):
			return fmt.Sprintf("request %s got %.20q", id, got)
		case readCount > 1:
			return fmt.Sprintf("request %s was sent %d times", id, readCount)
		case o.Code.NotRun() && runCount > 0:
			return fmt.Sprintf("request %s may run, but is reported as not executed: %v", id, o.Code)
		case o.Code == errcode.OK && runCount == 0:
			return fmt.Sprintf("request %s got a response without a run", id)
		}
	}
	h.pool.CloseIdle(addr)
	l.Close()
	return ""
}

var peerWalks = modelcheck.ScriptTest[*peerWalk]{Actions: len(peerActions), ActionName: func(i int) string { return peerActions[i].name }, ScriptLength: 2,
	Modes: []string{"small", "large", "stream"}, Setup: newPeerWalk, Run: runPeerWorld, Teardown: func(w *peerWalk) { w.end() }}

// Whatever happens to a request, and to the one before it, none gets another's response and none is sent twice.
func TestPeerWalk(t *testing.T) { peerWalks.Check(t) }

// The walk finds clients that don't compare numbers, that resend after a reset, and that reuse a closed connection.
func TestPeerWalkFindsFaults(t *testing.T) {
	peerWalks.CheckMutants(t, map[string]func(w *peerWalk){
		"numbers are not compared": func(w *peerWalk) { w.sameNumber = true },
		"resends after a reset":    func(w *peerWalk) { w.net = resendingNet(w.net) },
		"reuses a closed connection, and numbers are not compared": func(w *peerWalk) {
			w.sameNumber = true
			w.net, w.beforeWorld = recyclingNet(w.net)
		},
	})
}

// A request that is truncated anywhere does not run at the receiving proxy, and a truncated body is not taken as
// complete there; two pipelined requests are answered in turn.
func TestTruncatedPeerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
			if b, err := io.ReadAll(r.Body); err == nil && len(b) == 20 {
				ran.Add(1)
				respondWithID(o, r)
			}
		})
		l, err := w.process.Listen("10.0.0.1:82", peerAckTimeout)
		if err != nil {
			t.Fatal(err)
		}
		go w.ServePeers(l)
		head := func(number uint64, length int64, body string) []byte {
			return appendMessage(nil, &peerRequest{Kind: runRequest, Instance: "i-1", Service: "ledger", Method: "PUT", Target: "/a/", ID: "A", RemainingMs: 1000, Number: number,
				Length: length, Header: []Field{{Name: HeaderAttemptID, Value: "A"}, {Name: "Host", Value: "h"}}}, []byte(body))
		}
		body := strings.Repeat("x", 20)
		var pieced bytes.Buffer
		pieced.Write(head(2, unknownLength, ""))
		p := &chunkWriter{w: &pieced}
		p.write([]byte(body[:10]))
		p.write([]byte(body[10:]))
		p.end(true)
		for _, raw := range [][]byte{head(1, 20, body), pieced.Bytes()} {
			for cut := 1; cut <= len(raw); cut++ {
				ran.Store(0)
				c, err := w.process.Dial(t.Context(), "10.0.0.1:82", 0)
				if err != nil {
					t.Fatal(err)
				}
				c.Write(raw[:cut])
				if cut < len(raw) {
					c.Close()
				}
				time.Sleep(time.Second) // more than any of it takes
				if whole := cut == len(raw); whole != (ran.Load() == 1) {
					t.Errorf("truncated at %d of %d: it ran %d times", cut, len(raw), ran.Load())
				}
				c.Close()
			}
		}
		c, err := w.process.Dial(t.Context(), "10.0.0.1:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(append(head(8, 20, body), head(9, 20, body)...))
		in := bufio.NewReader(c)
		for _, want := range []uint64{8, 9} {
			var got peerResponse
			if err := readMessage(in, &got); err != nil || got.Number != want || got.Code != errcode.OK {
				t.Errorf("%+v, %v; want the response to request %d", got, err, want)
			}
			in.Discard(int(got.Length))
		}
		c.Close()
	})
}
