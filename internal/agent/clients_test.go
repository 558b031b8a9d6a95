package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// dialRaw opens a connection to an agent and writes text to it.
func dialRaw(t *testing.T, a *Agent, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(long))
	io.WriteString(c, text)
	return c
}

// status reads one answer.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func post(id, more string) string {
	return "POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Budget-Ms: 7000\r\n" + more + "\r\n"
}

// impatient has an agent make room at once.
func impatient(a *Agent) {
	conns := a.conns
	conns.RestFor, conns.MuteFor = time.Millisecond, time.Millisecond
}

// Guards against running out of descriptors: seen on a day on which clients ask once and keep their
// connection for good, and one on which they connect by hundreds and say nothing.
func TestConnectionsThatStay(t *testing.T) {
	for _, tt := range []struct{ name, say string }{{"silent", ""}, {"asked once", post(id, "")}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, echo)
			c := configOf(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING"))
			c.Sockets = 8 // 4 for clients
			a, _ := startWith(t, c, impatient)
			for i := range 12 {
				conn := dialRaw(t, a, strings.Replace(tt.say, id, fmt.Sprintf("%016x", i), 1))
				if tt.say != "" && status(t, conn) != 200 {
					t.Fatalf("request %d was not served", i)
				}
			}
			if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
				t.Errorf("status %d behind connections that stay", resp.StatusCode)
			}
		})
	}
}

// Guards against making room by closing a connection with a request on it.
func TestRoomIsNotMadeOfRequests(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool { <-gate; return echo(c, r, body) })
	c := configOf(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING"))
	c.Sockets = 2 // 1 for clients
	a, _ := startWith(t, c, impatient)
	first := dialRaw(t, a, post(id, ""))
	receive(t, p.Got)
	second := dialRaw(t, a, post(id[:15]+"2", "")) // waits in the system's queue
	if wait, ok := a.conns.Room(time.Now().Add(time.Hour)); ok {
		t.Errorf("room was made of an open request (%v)", wait)
	}
	close(gate)
	if got := status(t, first); got != 200 {
		t.Errorf("the first one got %d", got)
	}
	if got := status(t, second); got != 200 {
		t.Errorf("the second one got %d", got)
	}
}

// Guards against a request inside the body of another, and against waiting for bodies that are not owed:
// each is answered from its head alone, and its connection closed.
func TestFraming(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	a, _ := start(t, configOf(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING")), nil)
	hidden := post(id[:15]+"9", "Content-Length: 0\r\n")
	chunk := "0\r\n\r\n" + hidden
	for _, tt := range []struct {
		name, text string
		want       int
	}{
		{"length and encoding", post(id, fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunk))) + chunk, 400},
		{"encoding and length", post(id, fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(chunk))) + chunk, 400},
		{"two encodings", post(id, "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + chunk, 400},
		{"a list of encodings", post(id, "Transfer-Encoding: gzip, chunked\r\n") + chunk, 501},
		{"a space ahead of a colon", post(id, "Transfer-Encoding : chunked\r\n") + chunk, 400},
		{"a header that goes on", post(id, "X-A: b\r\n c\r\n") + hidden, 400},
		{"a chunk without a size", post(id, "Transfer-Encoding: chunked\r\n") + "zz\r\n" + hidden, 400},
		{"a chunk with a huge size", post(id, "Transfer-Encoding: chunked\r\n") + "ffffffffffffffffff\r\n" + hidden, 400},
		{"another expectation", post(id, "Expect: rain\r\nContent-Length: 0\r\n") + hidden, 417},
		{"encoding in HTTP/1.0", strings.Replace(post(id, "Connection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n"), "/1.1", "/1.0", 1) + chunk, 505},
		{"an unknown encoding", post(id, "Transfer-Encoding: gzip\r\n") + hidden, 501},
		{"two lengths", post(id, "Content-Length: 4\r\nContent-Length: 9\r\n") + hidden, 400},
		{"a negative length", post(id, "Content-Length: -1\r\n") + hidden, 400},
		{"a signed length", post(id, "Content-Length: +4\r\n") + hidden, 400},
		{"a huge length", post(id, "Content-Length: 3000000000\r\n") + hidden, 413},
		{"a length beyond numbers", post(id, "Content-Length: 99999999999999999999\r\n") + hidden, 400},
		{"an endless head", post(id, strings.Repeat("A: b\r\n", 1<<13)), 431},
		{"two ids", post(id, "X-Call-Id: "+id[:15]+"2\r\nContent-Length: 0\r\n") + hidden, 400},
		{"two budgets", post(id, "X-Budget-Ms: 1\r\n") + hidden, 400},
		{"an unsafe class with a key", post(id, "Idempotency-Key: k\r\n") + hidden, 400},
		{"an unknown class with a body that never comes", strings.Replace(post(id, "Content-Length: 100\r\n"), "settle", "x", 1), 404},
	} {
		c := dialRaw(t, a, tt.text)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: %v", tt.name, err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != tt.want {
			t.Errorf("%s: status %d, want %d", tt.name, resp.StatusCode, tt.want)
		}
		if n, err := in.Discard(1); n != 0 || isTimeout(err) {
			t.Errorf("%s: the connection goes on", tt.name)
		}
	}
	if len(p.Got) != 0 {
		t.Errorf("the backend got %d requests", len(p.Got))
	}
}

// Guards against clients that begin a request and never end it.
func TestHalfRequests(t *testing.T) {
	t.Parallel()
	a, _ := start(t, configOf(t, newLists(t).Addr), nil)
	texts := []string{"", "POST /settle HTTP/1.1\r\nHo", post(id, "Content-Length: 10\r\n") + "half"}
	var conns []net.Conn
	for _, text := range texts {
		conns = append(conns, dialRaw(t, a, text))
	}
	for i, c := range conns {
		if _, err := io.Copy(io.Discard, c); isTimeout(err) { // ends once the agent has closed it
			t.Errorf("%q was kept", texts[i])
		}
	}
}

// Guards against clients that ask once and keep their connection, for as long as it may not be closed: they
// took all, and the next request waited unseen before an idle agent.
func TestCrowdedConnectionsCloseWithTheAnswer(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	c := configOf(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING"))
	c.Sockets = 8 // 4 for clients
	a, _ := startWith(t, c, func(a *Agent) {
		a.conns.RestFor = time.Hour
		a.front.Idle = time.Hour
	})
	for i := range 6 {
		conn := dialRaw(t, a, post(fmt.Sprintf("%016x", i), ""))
		if got := status(t, conn); got != 200 {
			t.Fatalf("request %d: status %d", i, got)
		}
	}
}
