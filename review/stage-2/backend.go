package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const host = "stage.example"

// Headers of the protocol.
const (
	headerAttempt  = "Violetlatch-Attempt-Id"
	headerLeft     = "Violetlatch-Deadline-Remaining"
	headerKey      = "Violetlatch-Operation-Key"
	headerSeal     = "Violetlatch-Server-Seal"
	headerTarget   = "Violetlatch-Target-Instance"
	headerNotRun   = "Violetlatch-Not-Executed"
	headerCaller   = "Violetlatch-Caller-Service"
	headerContinue = "Content-Length"
)

// arrival is one request that reached a backend.
type arrival struct {
	id, key, instance string
	at                time.Time
	ran               bool // it began to run
	ended             bool // its answer was sent
}

// backend stands for an application. It does what the pages say of a sound one.
type backend struct {
	x        *machine
	id       string
	capacity int
	work     time.Duration
	l        net.Listener
	count    int // of beats
	stopBeat chan struct{}
	control  string // where it reports

	mu       sync.Mutex
	state    string
	arrivals []*arrival
	conns    map[net.Conn]bool
	running  int
	ended    bool
	seals    int
	acks     []time.Time // of beats
}

// startBackend starts a backend on a sidecar machine, which reports to control every beatInterval.
func startBackend(x *machine, id, control string, work time.Duration) (*backend, error) {
	l, err := net.Listen("tcp4", x.addr(portApp))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	b := &backend{x: x, id: id, capacity: 18, work: work, control: control, l: l, state: "serving", stopBeat: make(chan struct{}), conns: map[net.Conn]bool{}}
	go b.accept()
	go func() {
		for {
			b.report(b.nextReport())
			select {
			case <-time.After(beatInterval):
			case <-b.stopBeat:
				return
			}
		}
	}()
	return b, nil
}

// nextReport returns the body of the next beat.
func (b *backend) nextReport() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count++
	raw, _ := json.Marshal(map[string]any{"address": b.x.addr(portApp),
		"node-info": map[string]any{"service": b.x.service, "version": "v1", "zone": b.x.zone, "capacity": b.capacity},
		"status":    map[string]any{"state": b.state, "call-count": b.count, "warmup-left-s": 0}})
	return string(raw)
}

// report sends a beat, and reports whether it was acknowledged.
func (b *backend) report(body string) bool {
	status, _, err := call(http.MethodPut, "http://"+b.control+"/v1/instances/"+b.id, body)
	if err != nil || status/100 != 2 {
		return false
	}
	b.mu.Lock()
	b.acks = append(b.acks, time.Now())
	b.mu.Unlock()
	return true
}

// reportAndGo sends a beat and returns the connection without waiting for the answer. Closing it is what a crash does to it.
func (b *backend) reportAndGo(body string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp4", b.control, time.Second)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "PUT /v1/instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", b.id, b.control, len(body), body)
	return c, err
}

// acknowledgedAfter returns how many beats were acknowledged after a time.
func (b *backend) acknowledgedAfter(t time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.acks {
		if at.After(t) {
			n++
		}
	}
	return n
}

// end ends the backend: its connections close and its port refuses.
func (b *backend) end() {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return
	}
	b.ended = true
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.l.Close()
}

func (b *backend) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go func() {
			b.serve(c)
			c.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		}()
	}
}

func (b *backend) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(10 * time.Second)) // idle connections are closed
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !b.answer(c, r) {
			return
		}
	}
}

// answer works on one request and reports whether the connection goes on.
func (b *backend) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(headerAttempt)
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nVioletlatch-Responder-Id: %s\r\nContent-Length: 0\r\n\r\n", b.id)
		return err == nil
	}
	decline := func(status int) bool {
		io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d No\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, headerAttempt, id, headerNotRun)
		return err == nil
	}
	if id == "" {
		return decline(400)
	}
	a := &arrival{id: id, key: r.Header.Get(headerKey), instance: b.id, at: time.Now()}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	busy := b.running >= b.capacity
	target := r.Header.Get(headerTarget)
	if target == "" || target == b.id {
		if !busy {
			a.ran = true
			b.running++
			b.seals++
		}
	}
	seal := b.id + "." + strconv.Itoa(b.seals)
	b.mu.Unlock()
	switch {
	case target != "" && target != b.id:
		return decline(421)
	case busy:
		return decline(503)
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	io.Copy(io.Discard, r.Body)
	time.Sleep(b.work)
	body := "done " + r.Method + " " + r.RequestURI + " " + seal + "\n"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\n%s: %d\r\n\r\n%s", headerAttempt, id, headerSeal, seal, headerContinue, len(body), body)
	if err == nil {
		b.mu.Lock()
		a.ended = true
		b.mu.Unlock()
	}
	return err == nil
}

// request is one try of a client.
type request struct {
	method, path, id, key string
	left                  time.Duration
	sent                  time.Time
	status                int
	seal, body            string
	err                   error
	answered              time.Time
}

// try sends one try on a connection of its own and reads the answer.
func try(x *machine, q *request) {
	q.sent = time.Now()
	defer func() { q.answered = time.Now() }()
	c, err := net.DialTimeout("tcp4", x.addr(portOutbound), time.Second)
	if err != nil {
		q.err = err
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(q.left + time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, host, headerAttempt, q.id, headerLeft, q.left.Milliseconds())
	if q.key != "" {
		text += headerKey + ": " + q.key + "\r\n"
	}
	if q.method != http.MethodGet {
		text += "Content-Length: 5\r\n\r\nhello"
	} else {
		text += "\r\n"
	}
	if _, q.err = io.WriteString(c, text); q.err != nil {
		return
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		q.err = err
		return
	}
	body, err := io.ReadAll(r.Body)
	q.status, q.seal, q.body, q.err = r.StatusCode, r.Header.Get(headerSeal), string(body), err
}
