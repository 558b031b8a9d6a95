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

// The walk of a connection of a hop: three asks, the first small, large or with a body that goes on as it comes, and at each of the
// first two each thing that the proxy at the other end or the network may do to it. An ask gets its own answer, whole or told to
// be cut, is sent once, and is told not to have run only where the other end says so or never had it whole.

// hopped is one ask as the other end of the walk has it.
type hopped struct {
	c    net.Conn
	in   *bufio.Reader
	a    ask
	late *func()
}

func (h *hopped) tell(o outcome, number uint64) bool {
	o.Number = number
	return writeTold(h.c, h.c, o)
}

// good is the answer to it; long: one that goes on as it comes.
func (h *hopped) good(long bool) outcome {
	text := "of " + h.a.ID
	if long {
		return outcome{answer: &Answer{Status: 200, Body: []byte(text), Length: pieces, Rest: strings.NewReader(strings.Repeat("x", 2*keepBytes))}}
	}
	return outcome{answer: &Answer{Status: 200, Body: []byte(text), Length: int64(len(text))}}
}

func (h *hopped) again() bool { return h.tell(h.good(false), h.a.Number) }

func (h *hopped) refuse() bool { return h.tell(full, h.a.Number) }

var full = outcome{told: told{Code: errcode.Overloaded}}

// gateDeeds are what may happen to an ask at the other end. whole: it is read whole, and its request may run.
var gateDeeds = []struct {
	name  string
	whole bool
	runs  bool
	do    func(h *hopped) bool
}{
	{"answered", true, true, func(h *hopped) bool { return h.tell(h.good(false), h.a.Number) }},
	{"answered at length", true, true, func(h *hopped) bool { return h.tell(h.good(true), h.a.Number) }},
	{"answered by an earlier version", true, true, func(h *hopped) bool { return h.tell(h.good(false), 0) }},
	{"answered twice", true, true, func(h *hopped) bool { return h.tell(h.good(false), h.a.Number) && h.again() }},
	{"answered, and again at rest", true, true, func(h *hopped) bool {
		h.tell(h.good(false), h.a.Number)
		time.Sleep(3 * time.Millisecond)
		return h.tell(h.good(false), h.a.Number)
	}},
	{"answered, and again in the next one's place", true, true, func(h *hopped) bool {
		was := *h
		*h.late = func() { was.tell(was.good(false), was.a.Number) }
		return h.tell(h.good(false), h.a.Number)
	}},
	{"answered at length, and refused in the next one's place", true, true, func(h *hopped) bool {
		was := *h
		*h.late = func() { was.tell(full, was.a.Number) }
		return h.tell(h.good(true), h.a.Number)
	}},
	{"answered as another", true, true, func(h *hopped) bool {
		return h.tell(outcome{answer: &Answer{Status: 200, Body: []byte("of Z"), Length: 4}}, h.a.Number+7)
	}},
	{"answered, and closed", true, true, func(h *hopped) bool { h.tell(h.good(false), h.a.Number); return false }},
	{"answered, and closed at rest", true, true, func(h *hopped) bool {
		h.tell(h.good(false), h.a.Number)
		time.Sleep(3 * time.Millisecond)
		return false
	}},
	{"cut in the head", true, true, func(h *hopped) bool {
		h.c.Write(appendMessage(nil, told{Status: 200, Length: 4}, nil)[:9])
		return false
	}},
	{"cut in the body", true, true, func(h *hopped) bool {
		h.c.Write(appendMessage(nil, told{Status: 200, Length: 50, Number: h.a.Number}, []byte("of ")))
		return false
	}},
	{"cut at length", true, true, func(h *hopped) bool {
		o := h.good(true)
		o.answer.Rest = io.MultiReader(io.LimitReader(o.answer.Rest, keepBytes+100), failing{})
		h.tell(o, h.a.Number)
		return false
	}},
	{"spoilt", true, true, func(h *hopped) bool { h.c.Write([]byte("\x00\x00\x00\x05noise")); return true }},
	{"closed without an answer", true, true, func(h *hopped) bool { return false }},
	{"closed before it is read", false, false, func(h *hopped) bool { h.in.Peek(1); time.Sleep(time.Millisecond); return false }},
	{"silent, and answered late", true, true, func(h *hopped) bool { time.Sleep(2 * askLeft); return h.tell(h.good(false), h.a.Number) }},
	{"silent for good", true, true, func(h *hopped) bool { time.Sleep(time.Second); return false }},
	{"not taken", false, false, func(h *hopped) bool { time.Sleep(time.Second); return false }},
	{"refused", true, false, func(h *hopped) bool { return h.tell(full, h.a.Number) }},
	{"refused twice", true, false, func(h *hopped) bool { return h.tell(full, h.a.Number) && h.refuse() }},
	{"refused, and again in the next one's place", true, false, func(h *hopped) bool {
		was := *h
		*h.late = func() { was.tell(full, was.a.Number) }
		return h.tell(full, h.a.Number)
	}},
}

// failing is a reader that fails.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errBroken }

type hopWalk struct {
	*far
	net   sock.Net
	begin func()
	same  bool // all asks bear one number
	port  int
}

func newHopWalk(t *testing.T) *hopWalk {
	f := newFar(t)
	return &hopWalk{far: f, net: f.h.pool.Net, port: 1000}
}

// hopWorld makes three asks, the first of a kind, under one script.
func hopWorld(t *testing.T, w *hopWalk, script []int, way int) string {
	w.port++
	if w.begin != nil {
		w.begin()
	}
	q := w.m.Start()
	defer q.End()
	addr := fmt.Sprintf("10.0.0.2:%d", w.port)
	l, err := q.Listen(addr, hopQuiet)
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
					d := gateDeeds[0]
					if n < len(script) {
						d = gateDeeds[script[n]]
					}
					n++
					mu.Unlock()
					h := &hopped{c: c, in: in, late: &late}
					if d.whole {
						if readMessage(in, &h.a) != nil {
							return
						}
						if h.a.Length == pieces {
							if _, err := io.Copy(io.Discard, &pieceReader{in: in}); err != nil {
								return
							}
						}
						mu.Lock()
						reads[h.a.ID]++
						if d.runs {
							runs[h.a.ID]++
						}
						mu.Unlock()
					}
					if late != nil {
						late()
						late = nil
					}
					if !d.do(h) {
						return
					}
				}
			}()
		}
	}()
	h := newHops(w.net, nil)
	for i := range 3 {
		id := string(rune('A' + i))
		a := &ask{Kind: run, ID: id}
		var stream io.Reader
		if i == 0 {
			switch way {
			case 1: // large
				a.Header = []Field{{Name: "A", Value: strings.Repeat("b", 100<<10)}}
			case 2: // a stream
				a.Length, stream = pieces, strings.NewReader(strings.Repeat("z", 100<<10))
			}
		}
		if w.same {
			h.made.Store(0)
		}
		o := h.do(context.Background(), addr, a, nil, stream, time.Now().Add(askLeft))
		got := ""
		if o.answer != nil {
			got = string(o.answer.Body)
			if o.answer.Rest != nil {
				rest, err := io.ReadAll(o.answer.Rest)
				o.answer.Close(err == nil)
				if got += string(rest); err == nil && len(got) != 2*keepBytes+len("of A") {
					return fmt.Sprintf("ask %s: %d bytes that pass for all", id, len(got))
				}
			}
		}
		time.Sleep(5 * time.Millisecond) // what comes at rest, comes
		mu.Lock()
		r, k := reads[id], runs[id]
		mu.Unlock()
		switch {
		case got != "" && !strings.HasPrefix("of "+id+strings.Repeat("x", 2*keepBytes), got):
			return fmt.Sprintf("ask %s got %.20q", id, got)
		case r > 1:
			return fmt.Sprintf("ask %s was sent %d times", id, r)
		case o.Code.NotRun() && k > 0:
			return fmt.Sprintf("ask %s may run, and is told not to: %v", id, o.Code)
		case o.Code == errcode.OK && k == 0:
			return fmt.Sprintf("ask %s is answered by no run", id)
		}
	}
	h.pool.CloseIdle(addr)
	l.Close()
	return ""
}

var walkOfHops = modelcheck.Walk[*hopWalk]{Deeds: len(gateDeeds), Deed: func(i int) string { return gateDeeds[i].name }, Length: 2,
	Ways: []string{"small", "large", "stream"}, Begin: newHopWalk, World: hopWorld, End: func(w *hopWalk) { w.end() }}

// Whatever happens to an ask, and to the one before it, none gets another's answer and none is sent twice.
func TestWalkOfHops(t *testing.T) { walkOfHops.Holds(t) }

// Wrong hops are found: those that compare no numbers, that send again after a reset, and that use a connection again that was
// thrown away.
func TestWalkFindsWrongHops(t *testing.T) {
	walkOfHops.Finds(t, map[string]func(w *hopWalk){
		"numbers are not compared":  func(w *hopWalk) { w.same = true },
		"sends again after a reset": func(w *hopWalk) { w.net = sendsAgain(w.net) },
		"uses again what was thrown away, and compares no numbers": func(w *hopWalk) {
			w.same = true
			w.net, w.begin = usesAgain(w.net)
		},
	})
}

// An ask that is cut anywhere does not run at the gate that it goes to, nor does a body that broke off come to its end there; two
// that come at once are answered in turn.
func TestAskCutAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
			if b, err := io.ReadAll(r.Body); err == nil && len(b) == 20 {
				ran.Add(1)
				says(o, r)
			}
		})
		l, err := w.p.Listen("10.0.0.1:82", hopQuiet)
		if err != nil {
			t.Fatal(err)
		}
		go w.ServeGate(l)
		head := func(number uint64, length int64, body string) []byte {
			return appendMessage(nil, &ask{Kind: run, Instance: "i-1", Service: "ledger", Method: "PUT", Target: "/a/", ID: "A", Left: 1000, Number: number,
				Length: length, Header: []Field{{Name: HeaderID, Value: "A"}, {Name: "Host", Value: "h"}}}, []byte(body))
		}
		body := strings.Repeat("x", 20)
		var pieced bytes.Buffer
		pieced.Write(head(2, pieces, ""))
		p := &pieceWriter{w: &pieced}
		p.write([]byte(body[:10]))
		p.write([]byte(body[10:]))
		p.end(true)
		for _, raw := range [][]byte{head(1, 20, body), pieced.Bytes()} {
			for cut := 1; cut <= len(raw); cut++ {
				ran.Store(0)
				c, err := w.p.Dial(t.Context(), "10.0.0.1:82", 0)
				if err != nil {
					t.Fatal(err)
				}
				c.Write(raw[:cut])
				if cut < len(raw) {
					c.Close()
				}
				time.Sleep(time.Second) // more than any of it takes
				if whole := cut == len(raw); whole != (ran.Load() == 1) {
					t.Errorf("cut at %d of %d: it ran %d times", cut, len(raw), ran.Load())
				}
				c.Close()
			}
		}
		c, err := w.p.Dial(t.Context(), "10.0.0.1:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(append(head(8, 20, body), head(9, 20, body)...))
		in := bufio.NewReader(c)
		for _, want := range []uint64{8, 9} {
			var got told
			if err := readMessage(in, &got); err != nil || got.Number != want || got.Code != errcode.OK {
				t.Errorf("%+v, %v; want the answer to ask %d", got, err, want)
			}
			in.Discard(int(got.Length))
		}
		c.Close()
	})
}
