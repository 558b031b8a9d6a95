package simulation

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
)

// backend is one life of a stand-in for an application.
type backend struct {
	m        *tugMachine
	id       string
	p        *network.Process
	capacity int
	speed    float64

	mu       sync.Mutex
	running  int
	waiting  []chan struct{}
	draining bool
	ended    chan struct{}
	count    int
	r        *rand.Rand
}

const backendQueue = 4

// startBackend begins another life of the machine's backend.
func (m *tugMachine) startBackend() {
	m.lives++
	b := &backend{m: m, id: fmt.Sprintf("i-%d%02d", m.n+1, m.lives), p: m.m.Start(), ended: make(chan struct{})}
	b.r = m.w.rand("backend " + b.id)
	b.capacity = 4 + b.r.IntN(4)
	b.speed = 0.6 + b.r.Float64()
	l, err := b.p.Listen(net.JoinHostPort(m.m.IP, portApp), 0)
	if err != nil {
		panic(err)
	}
	m.mu.Lock()
	m.backend = b
	m.mu.Unlock()
	go b.serve(l)
	m.w.people.Go(b.beats)
}

// endBackend ends it at once.
func (m *tugMachine) endBackend() {
	m.mu.Lock()
	b := m.backend
	m.backend = nil
	m.mu.Unlock()
	if b != nil {
		b.end()
	}
}

func (b *backend) end() {
	close(b.ended)
	b.p.End()
}

// release lets the backend leave in order and begins a new life. It takes some seconds.
func (m *tugMachine) release() {
	m.depart()
	if m.w.pause(600 * time.Millisecond) {
		m.startBackend()
	}
}

// depart lets the backend leave in order.
func (m *tugMachine) depart() {
	w := m.w
	m.mu.Lock()
	b := m.backend
	m.mu.Unlock()
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	told := false
	for range 6 {
		if told = b.beat(); told || !w.pause(400*time.Millisecond) {
			break
		}
	}
	if told {
		w.log.AddLeave(checker.Leave{Instance: b.id, Machine: m.name, At: w.now()})
	}
	w.pause(w.log.Bounds.Drain + 300*time.Millisecond)
	call(b.p, net.JoinHostPort(m.m.IP, portControl), "DELETE", "/v1/instances/"+b.id, nil, time.Second)
	m.endBackend()
}

func (b *backend) beats() {
	for {
		b.beat()
		t := time.NewTimer(1300 * time.Millisecond)
		select {
		case <-t.C:
		case <-b.ended:
			t.Stop()
			return
		case <-b.m.w.ending:
			t.Stop()
			return
		}
	}
}

// beat tells of itself, and reports whether that was acknowledged.
func (b *backend) beat() bool {
	b.mu.Lock()
	b.count++
	state, count := "serving", b.count
	if b.draining {
		state = "draining"
	}
	b.mu.Unlock()
	if f := b.m.w.flaw.Beat; f != nil && f(b.m, state) {
		return true
	}
	addr, service := net.JoinHostPort(b.m.m.IP, portApp), b.m.service
	if f := b.m.w.flaw.Told; f != nil {
		service = f(b.m)
	}
	body := text(map[string]any{"address": addr, "node-info": map[string]any{"service": service, "version": "v1", "zone": b.m.m.Zone, "capacity": b.capacity},
		"status": map[string]any{"state": state, "call-count": count, "warmup-left-s": 0}})
	status, _, _ := call(b.p, net.JoinHostPort(b.m.m.IP, portControl), "PUT", "/v1/instances/"+b.id, []byte(body), time.Second)
	return status/100 == 2
}

func (b *backend) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.conn(c)
	}
}

// float draws.
func (b *backend) float() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.r.Float64()
}

// enter waits for a slot; false: there is no room.
func (b *backend) enter() bool {
	b.mu.Lock()
	if b.running < b.capacity {
		b.running++
		b.mu.Unlock()
		return true
	}
	if len(b.waiting) >= backendQueue {
		b.mu.Unlock()
		return false
	}
	ch := make(chan struct{})
	b.waiting = append(b.waiting, ch)
	b.mu.Unlock()
	select {
	case <-ch:
		return true
	case <-b.ended:
		return false
	}
}

func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 {
		close(b.waiting[0])
		b.waiting = b.waiting[1:]
		return
	}
	b.running--
}

// conn serves one connection: one request at a time.
func (b *backend) conn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	w := b.m.w
	var late []byte // an extra answer, that comes ahead of the next
	for {
		b.rests(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		run := &checker.Run{ID: r.Header.Get("Violetlatch-Attempt-Id"), Key: r.Header.Get("Violetlatch-Operation-Key"), Machine: b.m.name,
			Service: b.m.service, Instance: b.id, Host: r.Host, Path: r.URL.RequestURI(), Method: r.Method, Body: sum(body),
			Caller: r.Header.Get("Violetlatch-Caller-Service"), At: w.now()}
		w.log.AddRun(run)
		decline := func(status int) bool {
			run.Declined, run.Status, run.End, run.Done = true, status, w.now(), true
			msg := fmt.Appendf(nil, "HTTP/1.1 %d Declined\r\nVioletlatch-Attempt-Id: %s\r\nVioletlatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, run.ID)
			if len(late) > 0 {
				msg = append(late, msg...)
				late = nil
			}
			if w.fault.Copies > 0 && b.float() < w.fault.Copies {
				id := fmt.Sprintf("Violetlatch-Attempt-Id: %s\r\n", run.ID)
				if b.float() < 0.3 {
					id = ""
				}
				late = fmt.Appendf(nil, "HTTP/1.1 %d Declined\r\n%sVioletlatch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
			}
			_, err := c.Write(msg)
			return err == nil
		}
		if to := r.Header.Get("Violetlatch-Target-Instance"); to != "" && to != b.id {
			if !decline(421) {
				return
			}
			continue
		}
		if run.ID == "" {
			decline(400)
			return
		}
		if b.float() < b.faults().Full || !b.enter() {
			if !decline(503) {
				return
			}
			continue
		}
		go1 := b.work(c, in, r, run, &late)
		b.leave()
		if f := w.flaw.Twice; f != nil && f(b.m, &request{method: r.Method, path: r.URL.Path}) {
			again := *run
			w.log.AddRun(&again)
		}
		if !go1 {
			return
		}
	}
}

// holds waits, and reports whether the connection was there all the time: a backend drops what nobody waits for.
func holds(c net.Conn, in *bufio.Reader, wait time.Duration) bool {
	end := time.Now().Add(wait)
	c.SetReadDeadline(end)
	defer c.SetReadDeadline(time.Time{})
	if _, err := in.Peek(1); err != nil {
		return isLate(err)
	}
	time.Sleep(time.Until(end)) // a next request waits behind this one
	return true
}

// work runs one request and answers it. It reports whether the connection goes on.
func (b *backend) work(c net.Conn, in *bufio.Reader, r *http.Request, run *checker.Run, late *[]byte) bool {
	w := b.m.w
	took := time.Duration((4 + 30*b.float()*b.float()) * b.speed * b.m.w.work * float64(time.Millisecond))
	if b.float() < 0.01 {
		took += 150 * time.Millisecond
	}
	if w.tail > 0 && b.float() < w.tail {
		took += longRun
	}
	took = b.strained(took)
	run.Would = run.At + took
	if !holds(c, in, took) {
		run.Dropped, run.End = true, w.now()
		return false
	}
	failed := b.calls(run, r.Header.Get("Violetlatch-Deadline-Remaining"))
	run.End = w.now()
	select {
	case <-b.ended:
		run.Broke = true
		return false
	default:
	}
	w.sealMu.Lock()
	w.seals++
	run.Seal = fmt.Sprintf("%s.%d.%d", b.id, w.seals, sum64([]byte(run.ID))%1000)
	w.sealMu.Unlock()
	size := 50 + int(b.float()*1500)
	if strings.HasPrefix(run.Path, "/chart/") {
		size = 60_000 + int(b.float()*150_000)
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte('A' + (i*7+len(run.Seal)+int(run.At/1000))%26)
	}
	run.Status, run.Sent = 200, sum(body)
	fault := b.float()
	f := b.faults()
	if fault -= f.Fail; fault < 0 {
		run.Status = 500
	}
	if failed != 0 {
		run.Status = failed
	}
	head := fmt.Sprintf("HTTP/1.1 %d Answer\r\nVioletlatch-Attempt-Id: %s\r\nVioletlatch-Server-Seal: %s\r\nKeep-Alive: timeout=5\r\n", run.Status, run.ID, run.Seal)
	msg := []byte(head)
	chunked := b.float() < 0.1
	if chunked {
		msg = append(msg, "Transfer-Encoding: chunked\r\n\r\n"...)
		for p := body; len(p) > 0; {
			k := min(len(p), 900)
			msg = fmt.Appendf(msg, "%x\r\n%s\r\n", k, p[:k])
			p = p[k:]
		}
		msg = append(msg, "0\r\n\r\n"...)
	} else {
		msg = fmt.Appendf(msg, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	if fault >= 0 {
		if fault -= f.Lose; fault < 0 {
			run.Broke = true
			return false
		}
		if fault -= f.Cut; fault < 0 {
			run.Broke = true
			c.Write(msg[:len(head)+(len(msg)-len(head))/2])
			return false
		}
	}
	if len(*late) > 0 {
		msg = append(*late, msg...)
		*late = nil
	}
	if run.Status == 500 && f.Copies > 0 && b.float() < f.Copies {
		*late = msg
	}
	if fault >= 0 && fault < f.Late {
		*late = fmt.Appendf(nil, "%sContent-Length: 4\r\n\r\nlate", head)
	}
	if _, err := c.Write(msg); err != nil {
		run.Broke = true // to the caller it is: nobody took it
		return false
	}
	run.Done = true
	run.End = w.now()
	return true
}
