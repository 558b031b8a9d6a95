package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that a backend has run.
type Run struct {
	At       time.Time
	ID, Key  string
	Instance string
	Path     string
}

// Backend is a stand-in for an application as the protocol page describes it: it beats, runs requests and leaves.
type Backend struct {
	on       *Machine
	Capacity int
	Instance string
	l        net.Listener
	calls    atomic.Uint64
	state    atomic.Value // "serving" or "draining"
	stop     chan struct{}
	halted   chan struct{} // closed when no more beats are sent
	work     func(path string) time.Duration
	trouble  *trouble // answers some long requests early; nil: none

	mu      sync.Mutex
	working int
	conns   map[net.Conn]bool
	Runs    []Run
}

// trouble has a backend answer a share of its requests, long ones alone, before they are in, and read on later.
type trouble struct {
	until    time.Time
	share    float64 // of its answers in this time, at the most
	readOn   time.Duration
	answers  int
	answered map[string]bool // the ids of those that it answered early
}

// early reports whether a request of so many bytes is answered early. The caller holds the backend's lock.
func (t *trouble) early(id string, size int64) bool {
	if t == nil || time.Now().After(t.until) {
		return false
	}
	t.answers++
	if size <= longRequest || float64(len(t.answered)+1) > t.share*float64(t.answers) {
		return false
	}
	t.answered[id] = true
	return true
}

const longRequest = 64 << 10 // bytes; of one that is answered early, so many are read before

var lives atomic.Int64

// newBackend starts a backend in a new life.
func newBackend(x *Machine, work func(path string) time.Duration) (*Backend, error) {
	l, err := net.Listen("tcp4", x.Addr(app))
	if err != nil {
		return nil, err
	}
	b := &Backend{on: x, Capacity: 18, Instance: fmt.Sprintf("i-%s-%d", x.Service, lives.Add(1)), l: l, stop: make(chan struct{}), halted: make(chan struct{}), work: work, conns: map[net.Conn]bool{}}
	b.state.Store("serving")
	go b.accept()
	x.m.rec.Note("backend %s begins on %s", b.Instance, x.Name)
	return b, nil
}

// beats sends beats until the backend stops them.
func (b *Backend) beats() {
	defer close(b.halted)
	for {
		b.beat(b.calls.Add(1), b.state.Load().(string))
		select {
		case <-time.After(heartbeat):
		case <-b.stop:
			return
		}
	}
}

// beat sends one beat and returns its status, 0 for none.
func (b *Backend) beat(count uint64, state string) int {
	body, _ := json.Marshal(map[string]any{
		"address":   b.on.Addr(app),
		"node-info": map[string]any{"service": b.on.Service, "version": "v1", "zone": b.on.Zone, "capacity": b.Capacity},
		"status":    map[string]any{"state": state, "call-count": count, "warmup-left-s": 0},
	})
	status := call("PUT", "http://"+b.on.Addr(control)+"/v1/instances/"+b.Instance, body)
	b.on.m.rec.Note("backend %s: beat %d, %s: answer %d", b.Instance, count, state, status)
	return status
}

// leave sends DELETE and returns its status.
func (b *Backend) leave() int {
	status := call("DELETE", "http://"+b.on.Addr(control)+"/v1/instances/"+b.Instance, nil)
	b.on.m.rec.Note("backend %s: DELETE: answer %d", b.Instance, status)
	return status
}

// call makes one call within a second and returns the status of its answer, 0 for none.
func call(method, url string, body []byte) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// end ends the backend: what runs is cut.
func (b *Backend) end() {
	b.on.m.rec.Note("backend %s ends", b.Instance)
	b.l.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *Backend) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		c.(*net.TCPConn).SetReadBuffer(64 << 10) // "every link has ... small windows"
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		go func() {
			in := bufio.NewReader(c)
			for b.answer(c, in) {
			}
			c.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		}()
	}
}

// answer serves one request of a connection, and reports whether the connection goes on.
func (b *Backend) answer(c net.Conn, in *bufio.Reader) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	id, key := r.Header.Get("Violetlatch-Attempt-Id"), r.Header.Get("Violetlatch-Operation-Key")
	if r.Method == "GET" && r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nVioletlatch-Responder-Id: %s\r\nContent-Length: 0\r\n\r\n", b.Instance)
		return err == nil
	}
	b.mu.Lock()
	early := b.trouble.early(id, r.ContentLength)
	b.mu.Unlock()
	n := int64(1 << 62)
	if early {
		n = longRequest
	}
	if _, err := io.CopyN(io.Discard, r.Body, n); err != nil && err != io.EOF {
		return false
	}
	arrived := time.Now()
	declined := func(status int) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d No\r\nVioletlatch-Attempt-Id: %s\r\nVioletlatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
		return err == nil
	}
	if id == "" {
		return declined(400)
	}
	if want := r.Header.Get("Violetlatch-Target-Instance"); want != "" && want != b.Instance {
		b.on.m.rec.Note("backend %s: request %s is meant for %s: 421", b.Instance, id, want)
		return declined(421)
	}
	b.mu.Lock()
	if b.working >= b.Capacity {
		b.mu.Unlock()
		return declined(503)
	}
	b.working++
	count := len(b.Runs) + 1
	b.Runs = append(b.Runs, Run{time.Now(), id, key, b.Instance, r.URL.Path})
	b.mu.Unlock()
	b.on.m.rec.Note("backend %s: runs request %s, key %q, deadline %s", b.Instance, id, key, r.Header.Get("Violetlatch-Deadline-Remaining"))
	work, status := b.work(r.URL.Path), "200 OK"
	if ms, err := strconv.ParseFloat(r.Header.Get("Violetlatch-Deadline-Remaining"), 64); err == nil {
		if left := time.Duration(ms*1e6) - time.Since(arrived); work > left { // it ends its work at the deadline
			work, status = left, "504 Late"
		}
	}
	time.Sleep(work)
	b.mu.Lock()
	b.working--
	b.mu.Unlock()
	body := "body of " + id + " by " + b.Instance + "\n"
	if _, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nVioletlatch-Attempt-Id: %s\r\nVioletlatch-Server-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", status, id, b.Instance, strconv.Itoa(count), len(body), body); err != nil {
		return false
	}
	if !early {
		return true
	}
	b.on.m.rec.Note("backend %s: has answered request %s early, %s", b.Instance, id, status)
	time.Sleep(b.trouble.readOn)
	rest, err := io.Copy(io.Discard, r.Body)
	b.on.m.rec.Note("backend %s: has read on for request %s: %d bytes, error %v", b.Instance, id, rest, err)
	return err == nil
}

// runs returns the requests that have run.
func (b *Backend) runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run{}, b.Runs...)
}
