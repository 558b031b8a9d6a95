package dataplane

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"saltmast/internal/modelcheck"
	"saltmast/internal/sock"
)

// The walk of a client connection: three actions of a client, one after the other, and a backend that acts by the
// request's path. Responses come in the order of the requests, each complete or recognizably cut; only requests that
// were sent completely run, at most once; and those that are reported as not executed never run.

const mutatingRoute = `{"host":"h","path-prefix":"/a/","route-kind":"mutating","deadline-s":1,"target-s":0.5,"service":"ledger","max-attempts":2}`

// scriptedClient is a client of the walk.
type scriptedClient struct {
	net.Conn
	requests   int
	complete   []string // ids of the requests that were sent completely, answered in this order if at all
	method     map[string]string
	mustNotRun map[string]bool
	closed     bool // it closed its connection
	finished   bool // it sends no more
}

func (p *scriptedClient) id() string { p.requests++; return fmt.Sprint("q", p.requests) }

func (p *scriptedClient) head(method, path, id, more string) string {
	return fmt.Sprintf("%s /a/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s\r\n", method, path, HeaderAttemptID, id, more)
}

func (p *scriptedClient) completeRequest(method, path, more, body string) string {
	id := p.id()
	p.complete = append(p.complete, id)
	p.method[id] = method
	return p.head(method, path, id, more) + body
}

// invalidRequest returns a request that must not run.
func (p *scriptedClient) invalidRequest(method, path, more, body string) string {
	id := p.id()
	p.mustNotRun[id] = true
	return p.head(method, path, id, more) + body
}

var clientActions = []struct {
	name string
	do   func(p *scriptedClient)
}{
	{"a request", func(p *scriptedClient) { io.WriteString(p, p.completeRequest("GET", "ok", "", "")) }},
	{"a body", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("PUT", "ok", "Content-Length: 3\r\n", "abc"))
	}},
	{"a body in chunks", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("PUT", "ok", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n"))
	}},
	{"a long body", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("PUT", "ok", "Content-Length: 100000\r\n", strings.Repeat("x", 100000)))
	}},
	{"two pipelined requests", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "ok", "", "")+p.completeRequest("GET", "ok", "", ""))
	}},
	{"three pipelined requests, the first fails", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "none", "", "")+p.completeRequest("GET", "ok", "", "")+p.completeRequest("HEAD", "ok", "", ""))
	}},
	{"a request, and a half close", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "ok", "", ""))
		p.Conn.(interface{ CloseWrite() error }).CloseWrite()
		p.finished = true
	}},
	{"a request, and a close", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "ok", "", ""))
		p.Close()
		p.closed = true
	}},
	{"a request, and a close in the middle of its response", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "long", "", ""))
		time.Sleep(3 * time.Millisecond)
		p.Close()
		p.closed = true
	}},
	{"the last request, and one after it", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "ok", "Connection: close\r\n", "")+p.invalidRequest("GET", "ok", "", ""))
		p.finished = true
	}},
	{"a truncated head", func(p *scriptedClient) {
		s := p.invalidRequest("GET", "ok", "", "")
		io.WriteString(p, s[:len(s)-1])
		p.Close()
		p.closed = true
	}},
	{"a truncated body", func(p *scriptedClient) {
		io.WriteString(p, p.invalidRequest("PUT", "ok", "Content-Length: 9\r\n", "abc"))
		p.Close()
		p.closed = true
	}},
	{"a truncated long body", func(p *scriptedClient) {
		io.WriteString(p, p.invalidRequest("PUT", "ok", "Content-Length: 100000\r\n", strings.Repeat("x", 99999)))
		p.Close()
		p.closed = true
	}},
	{"an ambiguous head, and a request after it", func(p *scriptedClient) {
		io.WriteString(p, p.invalidRequest("PUT", "ok", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")+p.invalidRequest("GET", "ok", "", ""))
		p.finished = true
	}},
	{"an invalid head", func(p *scriptedClient) {
		io.WriteString(p, "\x00\r\n\r\n"+p.invalidRequest("GET", "ok", "", ""))
		p.finished = true
	}},
	{"a request after an idle time", func(p *scriptedClient) {
		time.Sleep(12 * time.Second)
		io.WriteString(p, p.completeRequest("GET", "ok", "", ""))
	}},
	{"a request whose response is cut", func(p *scriptedClient) { io.WriteString(p, p.completeRequest("GET", "cut", "", "")) }},
	{"a request whose long response is cut", func(p *scriptedClient) { io.WriteString(p, p.completeRequest("GET", "longcut", "", "")) }},
	{"a long response", func(p *scriptedClient) { io.WriteString(p, p.completeRequest("GET", "long", "", "")) }},
	{"a request that is declined", func(p *scriptedClient) { io.WriteString(p, p.completeRequest("GET", "full", "", "")) }},
	{"a request whose backend is silent", func(p *scriptedClient) { io.WriteString(p, p.completeRequest("GET", "silent", "", "")) }},
	{"an unknown route", func(p *scriptedClient) {
		s := p.completeRequest("GET", "ok", "", "")
		io.WriteString(p, strings.Replace(s, "/a/", "/b/", 1))
	}},
	{"HEAD requests that are declined, and a request after them", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("HEAD", "full", "", "")+strings.Replace(p.completeRequest("HEAD", "ok", "", ""), "/a/", "/b/", 1)+p.completeRequest("GET", "ok", "", ""))
	}},
	{"a request with a Connection header that names mesh headers", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "ok", "Connection: "+HeaderAttemptID+", host, x-own\r\nX-Own: 1\r\n", ""))
	}},
	{"a request with two ids", func(p *scriptedClient) {
		io.WriteString(p, p.completeRequest("GET", "ok", HeaderAttemptID+": z\r\n", ""))
		p.mustNotRun[p.complete[len(p.complete)-1]] = true
	}},
}

const longBody = 150 << 10

type clientWalk struct {
	*testProxy
	mu     sync.Mutex
	runs   map[string]int
	addr   string
	worlds int
}

func newClientWalk(t *testing.T) *clientWalk {
	w := &clientWalk{runs: map[string]int{}}
	w.testProxy = newTestProxy(t, mutatingRoute, func(o io.Writer, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get(HeaderAttemptID)
		if _, path, _ := strings.Cut(r.URL.Path, "/a/"); path == "full" {
			fmt.Fprintf(o, "HTTP/1.1 503 x\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", HeaderAttemptID, id, declines)
			return
		}
		w.mu.Lock()
		w.runs[id]++
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", HeaderAttemptID, id, HeaderServerSeal)
		long := "of " + id + strings.Repeat("x", longBody)
		switch strings.TrimPrefix(r.URL.Path, "/a/") {
		case "ok":
			if r.Method == "HEAD" {
				io.WriteString(o, head+"Content-Length: 99\r\n\r\n")
				return
			}
			respondWithID(o, r)
		case "long":
			fmt.Fprintf(o, "%sContent-Length: %d\r\n\r\n%s", head, len(long), long)
		case "cut":
			io.WriteString(o, head+"Content-Length: 30\r\n\r\nof ")
			o.(io.Closer).Close()
		case "longcut":
			fmt.Fprintf(o, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(long), long[:longBody/2])
			o.(io.Closer).Close()
		case "none":
			o.(io.Closer).Close()
		case "silent":
			time.Sleep(3 * time.Second)
		}
	})
	w.addr = w.clientAddr
	return w
}

// runWorld runs a script of client actions and checks the responses.
func (w *clientWalk) runWorld(t *testing.T, script []int) string {
	w.worlds++
	c, err := w.process.Dial(t.Context(), w.addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &scriptedClient{Conn: c, requests: w.worlds * 100, mustNotRun: map[string]bool{}, method: map[string]string{}}
	in := bufio.NewReader(c)
	next, ended := 0, false // ended: a response was the last on the connection, or was cut
	read := func() string {
		for ; next < len(p.complete) && !ended; next++ {
			id := p.complete[next]
			r, err := http.ReadResponse(in, &http.Request{Method: p.method[id]})
			if err != nil {
				return fmt.Sprintf("request %d got no response: %v", next, err)
			}
			ended = r.Close
			b, err := io.ReadAll(r.Body)
			if got := r.Header.Get(HeaderAttemptID); got != id && (r.StatusCode != 400 || got != "") {
				return fmt.Sprintf("request %d got the response to %q", next, got)
			}
			w.mu.Lock()
			ran := w.runs[id]
			w.mu.Unlock()
			switch s := r.StatusCode; {
			case err != nil:
				ended = true
			case s == 200 && p.method[id] != "HEAD" && string(b) != "of "+id && string(b) != "of "+id+strings.Repeat("x", longBody):
				return fmt.Sprintf("request %d got a wrong body of %d bytes without an error: %.20q", next, len(b), b)
			case (s == 200) != (ran == 1) && s != 502 && s != 504, s == 503 && ran > 0:
				return fmt.Sprintf("request %d got status %d and ran %d times", next, s, ran)
			}
		}
		return ""
	}
	for _, d := range script {
		clientActions[d].do(p)
		if p.closed {
			break
		}
		if d%2 == 0 { // for half of the actions the responses are read at once, for the others with the next
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if why := read(); why != "" {
				return why
			}
		}
		if p.finished {
			break
		}
	}
	if !p.closed {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if why := read(); why != "" {
			return why
		}
		c.SetReadDeadline(time.Now().Add(time.Second))
		if b, err := io.ReadAll(in); next >= len(p.complete) && len(p.mustNotRun) == 0 && len(b) > 0 && !p.finished {
			return fmt.Sprintf("%.30q followed the last response, %v", b, err)
		}
		c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.runs {
		if n > 1 || p.mustNotRun[id] {
			return fmt.Sprintf("%s ran %d times", id, n)
		}
	}
	clear(w.runs)
	return ""
}

// The last action of each script is a request, two pipelined ones, or the last request with another one after it.
var clientWalks = modelcheck.ScriptTest[*clientWalk]{Actions: len(clientActions), ActionName: func(i int) string { return clientActions[i].name }, ScriptLength: 2,
	Modes: []string{"a request", "two pipelined", "the last"}, Setup: newClientWalk,
	Run: func(t *testing.T, w *clientWalk, script []int, way int) string {
		return w.runWorld(t, append(script, [...]int{0, 4, 9}[way]))
	},
	Teardown: func(*clientWalk) {}}

// Whatever a client does on its connection, and its backend with a request, no response goes to another request, and
// nothing runs that was not sent completely.
func TestClientWalk(t *testing.T) { clientWalks.Check(t) }

// reorderingConn holds back the response to the first of two pipelined requests until the next one is written.
type reorderingConn struct {
	net.Conn
	two  bool
	held []byte
}

func (s *reorderingConn) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.two = bytes.Count(p[:n], []byte("GET ")) == 2
	return n, err
}

func (s *reorderingConn) Write(p []byte) (int, error) {
	if s.two {
		s.two = false
		s.held = bytes.Clone(p)
		return len(p), nil
	}
	n, err := s.Conn.Write(p)
	if s.held != nil {
		s.Conn.Write(s.held)
		s.held = nil
	}
	return n, err
}

func (s *reorderingConn) Quiet() (quiet, bytes bool) { return sock.Look(s.Conn) }

// completingConn appends a valid end to a response that was cut.
type completingConn struct {
	net.Conn
	last []byte
}

func (f *completingConn) Write(p []byte) (int, error) {
	f.last = bytes.Clone(p)
	return f.Conn.Write(p)
}

func (f *completingConn) Close() error {
	if len(f.last) > 1000 && !bytes.HasSuffix(f.last, []byte("0\r\n\r\n")) {
		io.WriteString(f.Conn, "0\r\n\r\n")
	}
	return f.Conn.Close()
}

func (f *completingConn) Quiet() (quiet, bytes bool) { return sock.Look(f.Conn) }

// lenientConn accepts a head with two contradictory lengths, and uses the Content-Length alone.
type lenientConn struct{ net.Conn }

func (d *lenientConn) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	b := bytes.Replace(p[:n], []byte("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), []byte("X: y\r\n\r\n0\r\n"), 1)
	copy(p, b)
	return len(b), err
}

func (d *lenientConn) Quiet() (quiet, bytes bool) { return sock.Look(d.Conn) }

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

// The walk finds a proxy that answers out of order, one that ends a cut response as if it were complete, and one that
// accepts an ambiguous head.
func TestClientWalkFindsFaults(t *testing.T) {
	through := func(wrap func(net.Conn) net.Conn) func(w *clientWalk) {
		return func(w *clientWalk) {
			l, err := w.process.Listen("10.0.0.1:83", 0)
			if err != nil {
				panic(err)
			}
			w.addr = "10.0.0.1:83"
			go w.Serve(wrappingListener{l, wrap})
		}
	}
	clientWalks.CheckMutants(t, map[string]func(w *clientWalk){
		"responses out of order":    through(func(c net.Conn) net.Conn { return &reorderingConn{Conn: c} }),
		"completes a cut response":  through(func(c net.Conn) net.Conn { return &completingConn{Conn: c} }),
		"accepts an ambiguous head": through(func(c net.Conn) net.Conn { return &lenientConn{c} }),
	})
}
