package agent

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"saltmast/internal/bodybuffer"
)

// noise is a body that no two of which are alike.
func noise(n int, seed uint64) []byte {
	out := make([]byte, n)
	r := rand.NewChaCha8([32]byte{byte(seed)})
	r.Read(out)
	return out
}

// inChunks frames a body in chunks with extensions and a trailer.
func inChunks(body []byte, size int) []byte {
	var out bytes.Buffer
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&out, "%X;of=\"%d\"\r\n%s\r\n", n, n, body[:n])
		body = body[n:]
	}
	out.WriteString("0\r\nX-Trailer: t\r\n\r\n")
	return out.Bytes()
}

// bodiesAgent is an agent that keeps 64 KiB and little more: what is larger passes.
func bodiesAgent(t *testing.T, servers ...string) (*Agent, *capture) {
	t.Helper()
	c := configOf(t, newLists(t).Addr, servers...)
	c.MemoryMB = 8 // a body of 64 KiB + 128 KiB at the most is kept
	return start(t, c, nil)
}

// settled reports whether nothing is held of bodies any more.
func settled(t *testing.T, a *Agent) {
	t.Helper()
	until(t, "the account to be empty", func() bool { held, passing := a.bodies.Usage(); return held == 0 && passing == 0 })
}

// Bodies arrive unchanged, kept or passed, however they are framed and cut.
func TestBodiesArriveUnchanged(t *testing.T) {
	t.Parallel()
	sums := make(chan [32]byte, 10)
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		sums <- sha256.Sum256(body)
		sum := sha256.Sum256(body)
		return echo(c, r, sum[:])
	})
	a, _ := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	for i, tt := range []struct {
		name string
		size int
		head string
		raw  func([]byte) []byte
	}{
		{"none", 0, "Content-Length: 0\r\n", func(b []byte) []byte { return b }},
		{"kept, a length", 64 << 10, "", nil},
		{"kept beyond 64 KiB", 150 << 10, "", nil},
		{"passed, a length", 3 << 20, "", nil},
		{"kept, in chunks", 1000, "Transfer-Encoding: chunked\r\n", func(b []byte) []byte { return inChunks(b, 7) }},
		{"kept, grown in chunks", 150 << 10, "transfer-encoding: Chunked\r\n", func(b []byte) []byte { return inChunks(b, 5000) }},
		{"passed, in chunks", 2 << 20, "TRANSFER-ENCODING: chunked\r\n", func(b []byte) []byte { return inChunks(b, 70000) }},
		{"no chunk", 0, "Transfer-Encoding: chunked\r\n", func(b []byte) []byte { return inChunks(b, 1) }},
	} {
		body := noise(tt.size, uint64(i))
		raw, head := body, tt.head
		if tt.raw != nil {
			raw = tt.raw(body)
		} else {
			head = fmt.Sprintf("content-length: %d\r\n", len(body))
		}
		c := dialRaw(t, a, "\r\n"+post(idOf(i), head))
		go c.Write(raw)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		got, err := io.ReadAll(resp.Body)
		want := sha256.Sum256(body)
		if err != nil || resp.StatusCode != 200 || string(got) != "did "+string(want[:]) || receive(t, sums) != want {
			t.Errorf("%s: status %d, %v: not what was sent", tt.name, resp.StatusCode, err)
		}
		if resp.Close {
			t.Errorf("%s: the connection ends", tt.name)
		}
	}
	settled(t, a)
}

// Answers arrive unchanged too, in every framing, and as an answer that is not whole where the backend breaks off.
func TestLongAnswers(t *testing.T) {
	t.Parallel()
	long := noise(2<<20, 1)
	longest := noise(bodybuffer.MaxBody, 2)
	p := newPeer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		switch r.URL.Path {
		case "/look/length":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(longest))
			c.Write(longest)
			return true
		case "/look/chunks":
			io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			c.Write(inChunks(long, 1<<20))
			return true
		case "/look/close":
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			c.Write(long)
		case "/look/short-close":
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nshort")
		case "/look/break-length":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
			c.Write(long[:1<<20])
		case "/look/break-chunks":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			raw := inChunks(long, 1<<20)
			c.Write(raw[:len(raw)-2])
		case "/look/reset":
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			c.Write(long[:1<<20])
			c.(*net.TCPConn).SetLinger(0)
		}
		return false
	})
	a, logged := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	for i, tt := range []struct {
		path  string
		want  []byte
		whole bool
	}{
		{"length", longest, true}, {"chunks", long, true}, {"close", long, true}, {"short-close", []byte("short"), true},
		{"break-length", nil, false}, {"break-chunks", nil, false}, {"reset", nil, false},
	} {
		c := dialRaw(t, a, fmt.Sprintf("GET http://api.internal/look/%s HTTP/1.1\r\nhOST: x\r\nx-call-ID: %s\r\nX-BUDGET-MS: 7000\r\n\r\n", tt.path, idOf(i)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("%s: %v", tt.path, err)
		}
		got, err := io.ReadAll(resp.Body)
		if (err == nil) != tt.whole || resp.StatusCode != 200 || tt.whole && !bytes.Equal(got, tt.want) {
			t.Errorf("%s: status %d, %d bytes, %v", tt.path, resp.StatusCode, len(got), err)
		}
	}
	if logged.Has("bug") {
		t.Error(logged.String())
	}
}

// A client that stops reading holds one connection to a backend, and the agent serves others meanwhile. When it leaves, the
// backend's connection closes.
func TestClientStopsReading(t *testing.T) {
	t.Parallel()
	over := make(chan error, 1)
	p := newPeer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.URL.Path != "/look/long" {
			return echo(c, r, nil)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodybuffer.MaxBody)
		_, err := c.Write(make([]byte, bodybuffer.MaxBody))
		over <- err
		return false
	})
	a, _ := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	c := dialRaw(t, a, "GET /look/long HTTP/1.1\r\nHost: x\r\nX-Call-Id: "+idOf(1)+"\r\nX-Budget-Ms: 7000\r\n\r\n")
	if _, err := io.ReadFull(c, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	for i := range 10 {
		look(t, a, 10+i)
	}
	c.Close()
	if err := receive(t, over); err == nil {
		t.Error("all was written to a client that had left")
	}
}

// Slow readers of long answers, as many as there are connections to backends, leave short requests theirs.
func TestSlowReadersLeaveConnections(t *testing.T) {
	t.Parallel()
	p := newPeer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		if r.URL.Path != "/look/long" {
			return echo(c, r, nil)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodybuffer.MaxBody)
		c.Write(make([]byte, bodybuffer.MaxBody))
		return false
	})
	c := configOf(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING"))
	c.Sockets = 64 // 32 for clients, 24 to backends
	a, _ := start(t, c, nil)
	var slow []net.Conn
	for i := range 12 {
		conn := dialRaw(t, a, "GET /look/long HTTP/1.1\r\nHost: x\r\nX-Call-Id: "+idOf(i)+"\r\nX-Budget-Ms: 7000\r\n\r\n")
		if _, err := io.ReadFull(conn, make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
		slow = append(slow, conn)
	}
	if open, lent := a.ups[0].Open(), a.ups[0].Lent(); lent != 12 || open > 1 {
		t.Errorf("%d connections to backends are held and %d lent", open, lent)
	}
	for i := range 10 {
		look(t, a, 100+i)
	}
	for _, conn := range slow {
		conn.Close()
	}
	until(t, "the lent ones to come back", func() bool { return a.ups[0].Lent() == 0 })
}

// rawPeer hands each connection with its first request's head read to do.
func rawPeer(t *testing.T, do func(c net.Conn, in *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if line == "\r\n" {
						break
					}
				}
				do(c, in)
			}()
		}
	}()
	return l.Addr().String()
}

// big is a request whose body passes; its body is the caller's to write.
func big(t *testing.T, a *Agent, n, length int, budget string) net.Conn {
	t.Helper()
	return dialRaw(t, a, fmt.Sprintf("POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: %s\r\nContent-Length: %d\r\n\r\n", idOf(n), budget, length))
}

// A body that passes and breaks before its last byte has not run: refused, also where it must not run twice, and sent to
// nobody else. A backend that answers before the whole body is in, or closes then, ends it likewise.
func TestPassingBodyBreaks(t *testing.T) {
	t.Parallel()
	const size = 4 << 20
	for _, tt := range []struct {
		name string
		do   func(c net.Conn, in *bufio.Reader)
		want int
	}{
		{"the backend closes", func(c net.Conn, in *bufio.Reader) { io.CopyN(io.Discard, in, 100000) }, 503},
		{"the backend resets", func(c net.Conn, in *bufio.Reader) {
			io.CopyN(io.Discard, in, 100000)
			c.(*net.TCPConn).SetLinger(0)
		}, 503},
		{"turned away before the end", func(c net.Conn, in *bufio.Reader) {
			io.CopyN(io.Discard, in, 100000)
			io.WriteString(c, "HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, in)
		}, 503},
		{"an error before the end", func(c net.Conn, in *bufio.Reader) {
			io.CopyN(io.Discard, in, 100000)
			io.WriteString(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, in)
		}, 502},
		{"a break after the end", func(c net.Conn, in *bufio.Reader) { io.CopyN(io.Discard, in, size) }, 502},
		{"served", func(c net.Conn, in *bufio.Reader) {
			io.CopyN(io.Discard, in, size)
			io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
		}, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			came := make(chan struct{}, 10)
			addr := rawPeer(t, func(c net.Conn, in *bufio.Reader) { came <- struct{}{}; tt.do(c, in) })
			a, logged := bodiesAgent(t, entry("s0", addr, "SERVING"))
			c := big(t, a, 1, size, "7000")
			go c.Write(noise(size, 1))
			if got := status(t, c); got != tt.want {
				t.Errorf("status %d, want %d", got, tt.want)
			}
			if len(came) != 1 {
				t.Errorf("it went out %d times", len(came))
			}
			settled(t, a)
			if logged.Has("bug") {
				t.Error(logged.String())
			}
		})
	}
}

// Where no connection came up nothing of the body has been read: it goes elsewhere.
func TestPassingBodyGoesOnAfterNoConnection(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	dead, err := net.Listen("tcp", "127.0.0.77:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	a, _ := bodiesAgent(t, entry("s0", dead.Addr().String(), "SERVING"), entry("s1", p.Addr(), "SERVING"))
	for i := range 4 {
		c := big(t, a, i, 1<<20, "7000")
		go c.Write(noise(1<<20, 1))
		if got := status(t, c); got != 200 {
			t.Errorf("status %d", got)
		}
	}
}

// A kept body is sent again, whole, after its attempt broke.
func TestKeptBodyIsSentAgain(t *testing.T) {
	t.Parallel()
	bodies := make(chan []byte, 10)
	var later atomic.Bool
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		bodies <- body
		if !later.Swap(true) {
			return false
		}
		return echo(c, r, nil)
	})
	a, _ := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	body := noise(100<<10, 3)
	resp, _ := ask(t, a, "POST", "/hold", string(body), "X-Call-Id", id, "X-Budget-Ms", "7000", "Idempotency-Key", "k")
	if resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	for range 2 {
		if !bytes.Equal(receive(t, bodies), body) {
			t.Error("an attempt with another body")
		}
	}
}

// A client whose body takes longer than it will wait for the answer is served: its time counts from its last byte. One that
// brings half and leaves, or more than it may, takes its attempt along: nothing has run.
func TestPassingBodyThatIsSlow(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	got := make(chan int64, 10)
	addr := rawPeer(t, func(c net.Conn, in *bufio.Reader) {
		got <- -1
		n, _ := io.CopyN(io.Discard, in, size)
		got <- n
		if n == size {
			io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone")
		}
	})
	silent := newPeer(t, hang)
	a, _ := bodiesAgent(t, entry("s0", addr, "SERVING"))
	other, _ := bodiesAgent(t, entry("s0", silent.Addr(), "SERVING"))
	body := noise(size, 2)
	slow := big(t, a, 1, size, "1000")
	slow.Write(body[:size/2])
	if n := receive(t, got); n != -1 {
		t.Fatal(n)
	}
	// Longer than its budget passes: as long as it takes another agent to give one with the same budget up.
	if resp, _ := ask(t, other, "POST", "/settle", "", "X-Call-Id", id, "X-Budget-Ms", "1000"); resp.StatusCode != 502 {
		t.Fatal(resp.Status)
	}
	slow.Write(body[size/2:])
	if n := receive(t, got); n != size {
		t.Errorf("%d bytes came", n)
	}
	if s := status(t, slow); s != 200 {
		t.Errorf("status %d", s)
	}
	half := big(t, a, 2, size, "7000")
	half.Write(body[:size/2])
	receive(t, got)
	half.Close()
	if n := receive(t, got); n >= size {
		t.Errorf("%d bytes of a half body came", n)
	}
	settled(t, a)
}

func TestTooLargeInChunks(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	a, _ := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	c := dialRaw(t, a, post(id, "Transfer-Encoding: chunked\r\n"))
	go func() {
		piece := []byte("100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n")
		for range bodybuffer.MaxBody>>20 + 1 {
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}()
	if got := status(t, c); got != 413 {
		t.Errorf("status %d", got)
	}
	if len(p.Got) != 0 {
		t.Error("it ran")
	}
	settled(t, a)
}

// A client that waits for leave to send its body gets it, once its head has been taken; one that is turned away does not.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	a, _ := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	c := dialRaw(t, a, post(id, "Expect: 100-Continue\r\nContent-Length: 4\r\n"))
	in := bufio.NewReader(c)
	if line, err := in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatal(line, err)
	}
	in.ReadString('\n')
	io.WriteString(c, "body")
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if got := status(t, dialRaw(t, a, strings.Replace(post(id, "Expect: 100-continue\r\nContent-Length: 4\r\n"), "settle", "none", 1))); got != 404 {
		t.Errorf("status %d", got)
	}
}

// Requests that come one behind the other, cut at every byte, are answered in their order.
func TestPipelinedAndCut(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	a, _ := bodiesAgent(t, entry("s0", p.Addr(), "SERVING"))
	var text strings.Builder
	for i := range 5 {
		fmt.Fprintf(&text, "%s%d", post(idOf(i), "Content-Length: 1\r\n"), i)
		text.WriteString("\r\n") // which some clients send behind a body
	}
	c := dialRaw(t, a, "")
	go func() {
		for i := range text.Len() {
			c.Write([]byte(text.String()[i : i+1]))
		}
	}()
	in := bufio.NewReader(c)
	for i := range 5 {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || string(body) != fmt.Sprint("did ", i) {
			t.Errorf("answer %d: %d %q", i, resp.StatusCode, body)
		}
	}
}

// Many bodies at once, together far over what may be held: the account keeps its bounds, those beyond what may pass are
// refused at once with nothing run.
func TestManyLargeBodies(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	addr := rawPeer(t, func(c net.Conn, in *bufio.Reader) {
		<-gate
		io.Copy(io.Discard, io.LimitReader(in, 1<<20))
		io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
	})
	c := configOf(t, newLists(t).Addr, entry("s0", addr, "SERVING"))
	c.MemoryMB, c.Sockets = 8, 64 // 24 connections to backends, 12 bodies that pass
	a, _ := start(t, c, nil)
	statuses := make(chan int, 30)
	for i := range 16 {
		conn := big(t, a, i, 1<<20, "7000")
		go conn.Write(noise(1<<20, uint64(i)))
		go func() { statuses <- status(t, conn) }()
	}
	for range 4 {
		if got := receive(t, statuses); got != 503 {
			t.Errorf("one too many got %d", got)
		}
	}
	if held, passing := a.bodies.Usage(); held > 1<<20 || passing > 12 {
		t.Errorf("%d bytes held, %d pass", held, passing)
	}
	close(gate)
	for range 12 {
		if got := receive(t, statuses); got != 200 {
			t.Errorf("one that passes got %d", got)
		}
	}
	settled(t, a)
}
