package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/idempotency"
)

// However many early answers come ahead of the one to a request, within a bound, it gets that one.
func TestEarlyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
			io.WriteString(o, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", n))
			says(o, r)
		})
		for n = range maxEarly {
			if r, body, err := w.ask(t, "GET /a/1 HTTP/1.1", nil); err != nil || r.StatusCode != 200 || body != "of r-1" {
				t.Fatalf("behind %d: %v, %q, %v", n, r, body, err)
			}
		}
		n = 2 * maxEarly
		if r, _, err := w.ask(t, "GET /a/1 HTTP/1.1", nil); err != nil || r.StatusCode != 502 {
			t.Errorf("behind %d: %v, %v", n, r, err)
		}
	})
}

// The kept answer to the first request of a key goes to a repeat that is a HEAD without its body: what came behind the head would
// be read as the next answer.
func TestKeptAnswerToAHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, strings.Replace(lookup, "idempotent", "deduplicated", 1), func(io.Writer, *http.Request) { t.Error("it ran again") })
		id := idempotency.ID{Incarnation: 7, N: 1}
		w.book.Do(func(b *idempotency.Cache[*Answer]) {
			b.Begin(w.now(), "k", id)
			b.Finish("k", id, idempotency.Done, &Answer{Status: 200, Header: []Field{{Name: HeaderID, Value: "A"}}, Body: []byte("kept"), Length: 4}, 4, "")
		})
		c, err := w.p.Dial(t.Context(), w.front, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		in := bufio.NewReader(c)
		for i, method := range []string{"HEAD", "POST", "HEAD", "POST"} {
			fmt.Fprintf(c, "%s /a/ HTTP/1.1\r\nHost: h\r\n%s: r-%d\r\n%s: k\r\nContent-Length: 0\r\n\r\n", method, HeaderID, i, HeaderKey)
			r, err := http.ReadResponse(in, &http.Request{Method: method})
			if err != nil {
				t.Fatalf("%s: %v", method, err)
			}
			if b, err := io.ReadAll(r.Body); err != nil || r.Header.Get(HeaderID) != fmt.Sprint("r-", i) || method == "POST" && string(b) != "kept" {
				t.Errorf("%s: %v, %q, %v", method, r, b, err)
			}
		}
	})
}

// A long answer that stops in its middle holds its place at the backend for the time of its request, and for stallTime at least:
// then it is cut, over a hop as well.
func TestLongAnswerThatStops(t *testing.T) {
	for _, left := range []time.Duration{time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const size = 4 * keepBytes
			w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
				fmt.Fprintf(o, "HTTP/1.1 200 x\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderID, r.Header.Get(HeaderID), HeaderSeal, size,
					strings.Repeat("x", size/2))
				time.Sleep(2 * time.Minute)
			})
			f := newFar(t)
			defer f.end()
			go func() {
				c, in := f.accept(t)
				var a ask
				readMessage(in, &a)
				c.Write(appendMessage(nil, told{Status: 200, Length: size, Number: a.Number}, make([]byte, size/2)))
				time.Sleep(2 * time.Minute)
				c.Close()
			}()
			for name, read := range map[string]func() (int, error){
				"here": func() (int, error) {
					_, b, err := w.ask(t, fmt.Sprintf("GET /a/1 HTTP/1.1\n%s: %d", HeaderLeft, left.Milliseconds()), nil)
					return len(b), err
				},
				"over a hop": func() (int, error) {
					o := f.h.do(context.Background(), f.addr, &ask{Kind: run}, nil, nil, time.Now().Add(left))
					b, err := io.ReadAll(o.answer.Rest)
					o.answer.Close(err == nil)
					return len(o.answer.Body) + len(b), err
				},
			} {
				begun := time.Now()
				n, err := read()
				if took, least := time.Since(begun), max(left, stallTime); err == nil || n != size/2 || took < least || took > least+time.Second {
					t.Errorf("%s, %v: %d bytes, %v after %v", name, left, n, err, took)
				}
			}
			if running, waiting := w.Gate.load(); running+waiting != 0 {
				t.Errorf("%d run and %d wait at rest", running, waiting)
			}
			time.Sleep(3 * time.Minute)
		})
	}
}

// An ask that waited at a gate until its proxy had given it up, as behind a freeze of the gate's machine, does not run.
func TestAskThatWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := 0
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) { ran++; says(o, r) })
		l, err := w.p.Listen("10.0.0.1:82", hopQuiet)
		if err != nil {
			t.Fatal(err)
		}
		go w.ServeGate(l)
		for _, given := range []bool{true, false} {
			for range 2 {
				w.Gate.enter(context.Background(), &ask{Instance: "i-1", Service: "ledger"})
			}
			c, err := w.p.Dial(t.Context(), "10.0.0.1:82", 0)
			if err != nil {
				t.Fatal(err)
			}
			c.Write(appendMessage(nil, &ask{Kind: run, Instance: "i-1", Service: "ledger", Method: "GET", Target: "/a/", ID: "A", Left: 60000, Hold: 30000,
				Header: []Field{{Name: HeaderID, Value: "A"}, {Name: "Host", Value: "h"}}}, nil))
			time.Sleep(time.Second)
			if given {
				c.Close()
			}
			time.Sleep(20 * time.Second)
			w.Gate.exit(0)
			w.Gate.exit(0)
			time.Sleep(time.Second)
			if running, waiting := w.Gate.load(); (ran == 0) != given || running+waiting != 0 || w.Gate.Counts.GivenUp.Load() != 1 {
				t.Errorf("given up: %v: it ran %d times; %d run and %d wait", given, ran, running, waiting)
			}
			c.Close()
		}
	})
}
