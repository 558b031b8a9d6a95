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

// The walk of a client's connection: three things that a client may do on it, one behind the other, and what its backend does by
// the request's path. Answers come in the order of the requests, each whole or seen to be cut; only what was sent whole runs, once
// at the most; and what is answered by a promise never runs.

const debit = `{"host":"h","path-prefix":"/a/","route-kind":"mutating","deadline-s":1,"target-s":0.5,"service":"ledger","max-attempts":2}`

// patient is a client of the walk.
type patient struct {
	net.Conn
	n      int
	sent   []string // ids of the requests that went whole, and must be answered in this order if they are
	method map[string]string
	no     map[string]bool
	gone   bool // it ended its connection
	quiet  bool // it sends no more
}

func (p *patient) id() string { p.n++; return fmt.Sprint("q", p.n) }

func (p *patient) head(method, path, id, more string) string {
	return fmt.Sprintf("%s /a/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s\r\n", method, path, HeaderID, id, more)
}

func (p *patient) whole(method, path, more, body string) string {
	id := p.id()
	p.sent = append(p.sent, id)
	p.method[id] = method
	return p.head(method, path, id, more) + body
}

// never is a request that must not run.
func (p *patient) never(method, path, more, body string) string {
	id := p.id()
	p.no[id] = true
	return p.head(method, path, id, more) + body
}

var clientDeeds = []struct {
	name string
	do   func(p *patient)
}{
	{"a request", func(p *patient) { io.WriteString(p, p.whole("GET", "ok", "", "")) }},
	{"a body", func(p *patient) { io.WriteString(p, p.whole("PUT", "ok", "Content-Length: 3\r\n", "abc")) }},
	{"a body in chunks", func(p *patient) {
		io.WriteString(p, p.whole("PUT", "ok", "Transfer-Encoding: chunked\r\n", "2\r\nab\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n"))
	}},
	{"a long body", func(p *patient) {
		io.WriteString(p, p.whole("PUT", "ok", "Content-Length: 100000\r\n", strings.Repeat("x", 100000)))
	}},
	{"two requests at once", func(p *patient) { io.WriteString(p, p.whole("GET", "ok", "", "")+p.whole("GET", "ok", "", "")) }},
	{"three at once, the first fails", func(p *patient) {
		io.WriteString(p, p.whole("GET", "none", "", "")+p.whole("GET", "ok", "", "")+p.whole("HEAD", "ok", "", ""))
	}},
	{"a request, and its half closed", func(p *patient) {
		io.WriteString(p, p.whole("GET", "ok", "", ""))
		p.Conn.(interface{ CloseWrite() error }).CloseWrite()
		p.quiet = true
	}},
	{"a request, and gone", func(p *patient) { io.WriteString(p, p.whole("GET", "ok", "", "")); p.Close(); p.gone = true }},
	{"a request, and gone amid its answer", func(p *patient) {
		io.WriteString(p, p.whole("GET", "long", "", ""))
		time.Sleep(3 * time.Millisecond)
		p.Close()
		p.gone = true
	}},
	{"the last request, and one behind it", func(p *patient) {
		io.WriteString(p, p.whole("GET", "ok", "Connection: close\r\n", "")+p.never("GET", "ok", "", ""))
		p.quiet = true
	}},
	{"a head cut off", func(p *patient) {
		s := p.never("GET", "ok", "", "")
		io.WriteString(p, s[:len(s)-1])
		p.Close()
		p.gone = true
	}},
	{"a body cut off", func(p *patient) {
		io.WriteString(p, p.never("PUT", "ok", "Content-Length: 9\r\n", "abc"))
		p.Close()
		p.gone = true
	}},
	{"a long body cut off", func(p *patient) {
		io.WriteString(p, p.never("PUT", "ok", "Content-Length: 100000\r\n", strings.Repeat("x", 99999)))
		p.Close()
		p.gone = true
	}},
	{"a head that may be read in two ways, and one behind it", func(p *patient) {
		io.WriteString(p, p.never("PUT", "ok", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")+p.never("GET", "ok", "", ""))
		p.quiet = true
	}},
	{"noise", func(p *patient) { io.WriteString(p, "\x00\r\n\r\n"+p.never("GET", "ok", "", "")); p.quiet = true }},
	{"a request behind a rest", func(p *patient) { time.Sleep(12 * time.Second); io.WriteString(p, p.whole("GET", "ok", "", "")) }},
	{"a request whose answer is cut", func(p *patient) { io.WriteString(p, p.whole("GET", "cut", "", "")) }},
	{"a request whose long answer is cut", func(p *patient) { io.WriteString(p, p.whole("GET", "longcut", "", "")) }},
	{"a long answer", func(p *patient) { io.WriteString(p, p.whole("GET", "long", "", "")) }},
	{"a request that is declined", func(p *patient) { io.WriteString(p, p.whole("GET", "full", "", "")) }},
	{"a request whose backend is silent", func(p *patient) { io.WriteString(p, p.whole("GET", "silent", "", "")) }},
	{"a route that is none", func(p *patient) {
		s := p.whole("GET", "ok", "", "")
		io.WriteString(p, strings.Replace(s, "/a/", "/b/", 1))
	}},
	{"the heads of what is declined, and one behind them", func(p *patient) {
		io.WriteString(p, p.whole("HEAD", "full", "", "")+strings.Replace(p.whole("HEAD", "ok", "", ""), "/a/", "/b/", 1)+p.whole("GET", "ok", "", ""))
	}},
	{"a request with a Connection that names what is the mesh's", func(p *patient) {
		io.WriteString(p, p.whole("GET", "ok", "Connection: "+HeaderID+", host, x-own\r\nX-Own: 1\r\n", ""))
	}},
	{"a request with two ids", func(p *patient) {
		io.WriteString(p, p.whole("GET", "ok", HeaderID+": z\r\n", ""))
		p.no[p.sent[len(p.sent)-1]] = true
	}},
}

const longBody = 150 << 10

type frontWalk struct {
	*way
	mu     sync.Mutex
	runs   map[string]int
	addr   string
	worlds int
}

func newFrontWalk(t *testing.T) *frontWalk {
	w := &frontWalk{runs: map[string]int{}}
	w.way = newWay(t, debit, func(o io.Writer, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get(HeaderID)
		if _, path, _ := strings.Cut(r.URL.Path, "/a/"); path == "full" {
			fmt.Fprintf(o, "HTTP/1.1 503 x\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", HeaderID, id, declines)
			return
		}
		w.mu.Lock()
		w.runs[id]++
		w.mu.Unlock()
		time.Sleep(time.Millisecond)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", HeaderID, id, HeaderSeal)
		long := "of " + id + strings.Repeat("x", longBody)
		switch strings.TrimPrefix(r.URL.Path, "/a/") {
		case "ok":
			if r.Method == "HEAD" {
				io.WriteString(o, head+"Content-Length: 99\r\n\r\n")
				return
			}
			says(o, r)
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
	w.addr = w.front
	return w
}

// world has a client do all of a script, and reads what it gets.
func (w *frontWalk) world(t *testing.T, script []int) string {
	w.worlds++
	c, err := w.p.Dial(t.Context(), w.addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &patient{Conn: c, n: w.worlds * 100, no: map[string]bool{}, method: map[string]string{}}
	in := bufio.NewReader(c)
	at, over := 0, false // over: an answer said that it is the last, or was cut
	read := func() string {
		for ; at < len(p.sent) && !over; at++ {
			id := p.sent[at]
			r, err := http.ReadResponse(in, &http.Request{Method: p.method[id]})
			if err != nil {
				return fmt.Sprintf("request %d got no answer: %v", at, err)
			}
			over = r.Close
			b, err := io.ReadAll(r.Body)
			if got := r.Header.Get(HeaderID); got != id && (r.StatusCode != 400 || got != "") {
				return fmt.Sprintf("request %d got the answer of %q", at, got)
			}
			w.mu.Lock()
			ran := w.runs[id]
			w.mu.Unlock()
			switch s := r.StatusCode; {
			case err != nil:
				over = true
			case s == 200 && p.method[id] != "HEAD" && string(b) != "of "+id && string(b) != "of "+id+strings.Repeat("x", longBody):
				return fmt.Sprintf("request %d got %d bytes that pass for all: %.20q", at, len(b), b)
			case (s == 200) != (ran == 1) && s != 502 && s != 504, s == 503 && ran > 0:
				return fmt.Sprintf("request %d is answered %d and ran %d times", at, s, ran)
			}
		}
		return ""
	}
	for _, d := range script {
		clientDeeds[d].do(p)
		if p.gone {
			break
		}
		if d%2 == 0 { // of half of them the answers are read at once, of the others with the next
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			if why := read(); why != "" {
				return why
			}
		}
		if p.quiet {
			break
		}
	}
	if !p.gone {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if why := read(); why != "" {
			return why
		}
		c.SetReadDeadline(time.Now().Add(time.Second))
		if b, err := io.ReadAll(in); at >= len(p.sent) && len(p.no) == 0 && len(b) > 0 && !p.quiet {
			return fmt.Sprintf("%.30q came behind the last answer, %v", b, err)
		}
		c.Close()
	}
	time.Sleep(100 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.runs {
		if n > 1 || p.no[id] {
			return fmt.Sprintf("%s ran %d times", id, n)
		}
	}
	clear(w.runs)
	return ""
}

// The last deed of each script is a request, two at once, or the last request with one behind it.
var walkOfFronts = modelcheck.ScriptTest[*frontWalk]{Actions: len(clientDeeds), ActionName: func(i int) string { return clientDeeds[i].name }, ScriptLength: 2,
	Modes: []string{"a request", "two at once", "the last"}, Setup: newFrontWalk,
	Run: func(t *testing.T, w *frontWalk, script []int, way int) string {
		return w.world(t, append(script, [...]int{0, 4, 9}[way]))
	},
	Teardown: func(*frontWalk) {}}

// Whatever a client does on its connection, and its backend with a request, no answer goes to another request, and nothing runs
// that was not sent whole.
func TestWalkOfFront(t *testing.T) { walkOfFronts.Check(t) }

// swapping holds the answer to the first of requests that came at once back until the next one has gone.
type swapping struct {
	net.Conn
	two  bool
	held []byte
}

func (s *swapping) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	s.two = bytes.Count(p[:n], []byte("GET ")) == 2
	return n, err
}

func (s *swapping) Write(p []byte) (int, error) {
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

func (s *swapping) Quiet() (quiet, bytes bool) { return sock.Look(s.Conn) }

// filling brings what is cut to an end that passes for one.
type filling struct {
	net.Conn
	last []byte
}

func (f *filling) Write(p []byte) (int, error) {
	f.last = bytes.Clone(p)
	return f.Conn.Write(p)
}

func (f *filling) Close() error {
	if len(f.last) > 1000 && !bytes.HasSuffix(f.last, []byte("0\r\n\r\n")) {
		io.WriteString(f.Conn, "0\r\n\r\n")
	}
	return f.Conn.Close()
}

func (f *filling) Quiet() (quiet, bytes bool) { return sock.Look(f.Conn) }

// deaf reads on behind a head that may be read in two ways: by its length alone.
type deaf struct{ net.Conn }

func (d *deaf) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	b := bytes.Replace(p[:n], []byte("Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), []byte("X: y\r\n\r\n0\r\n"), 1)
	copy(p, b)
	return len(b), err
}

func (d *deaf) Quiet() (quiet, bytes bool) { return sock.Look(d.Conn) }

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

// Wrong fronts are found: one that answers out of order, one that ends a cut answer as if it were whole, and one that reads a head
// in one of two ways.
func TestWalkFindsWrongFronts(t *testing.T) {
	through := func(wrap func(net.Conn) net.Conn) func(w *frontWalk) {
		return func(w *frontWalk) {
			l, err := w.p.Listen("10.0.0.1:83", 0)
			if err != nil {
				panic(err)
			}
			w.addr = "10.0.0.1:83"
			go w.Serve(wrappingListener{l, wrap})
		}
	}
	walkOfFronts.CheckMutants(t, map[string]func(w *frontWalk){
		"answers out of order":     through(func(c net.Conn) net.Conn { return &swapping{Conn: c} }),
		"ends what is cut":         through(func(c net.Conn) net.Conn { return &filling{Conn: c} }),
		"reads in one of two ways": through(func(c net.Conn) net.Conn { return &deaf{c} }),
	})
}
