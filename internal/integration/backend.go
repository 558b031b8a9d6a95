package integration

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/dataplane"
)

// Header lines by which a client asks a backend for something out of the ordinary: the mesh passes them on like any other.
const (
	HeaderFault = "X-Fault"   // see the faults
	HeaderWork  = "X-Work-Ms" // the work takes so long
	HeaderSize  = "X-Size"    // so many bytes answer
)

// The faults of a backend.
const (
	FaultExtraBefore = "extra-before" // an answer of another id comes ahead of the right one
	FaultExtraAfter  = "extra-after"  // or behind it
	FaultExtraLate   = "extra-late"   // or a while later, where the next one is awaited
	FaultCut         = "cut"          // the answer ends amid its body
	FaultCutLong     = "cut-long"     // and late in a long one
	FaultCutChunks   = "cut-chunks"   // and between two chunks of one
	FaultUnsealed    = "unsealed"
	FaultEncoded     = "encoded"
	FaultNoise       = "noise" // bytes that are no answer
	FaultOtherID     = "other-id"
)

const (
	beatTime = 250 * time.Millisecond
	lateTime = 3 * time.Millisecond
)

// Backend stands for an application: it speaks HTTP/1.1 by hand, has a number of places, counts what runs, and beats.
type Backend struct {
	Service  string
	Capacity int
	addr     string
	zone     string
	control  string
	l        net.Listener
	ended    chan struct{}
	running  sync.WaitGroup
	calls    atomic.Uint64 // of this life
	runs     atomic.Int64
	strange  atomic.Int64 // requests that the mesh should not have let pass
	working  atomic.Int64

	mu      sync.Mutex
	id      string
	byID    map[string]int
	byKey   map[string]int
	begun   map[string]int // by path
	callers map[string]int
	conns   map[net.Conn]bool
}

// NewBackend starts one that beats to the control-plane address from now on.
func NewBackend(service, addr, zone, control string) (*Backend, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	b := &Backend{Service: service, Capacity: 32, addr: addr, zone: zone, control: control, l: l, ended: make(chan struct{}),
		byID: map[string]int{}, byKey: map[string]int{}, begun: map[string]int{}, callers: map[string]int{}, conns: map[net.Conn]bool{}}
	b.id = "i-" + service + "-1"
	b.running.Go(b.accept)
	b.running.Go(b.beats)
	return b, nil
}

// Close ends it.
func (b *Backend) Close() {
	close(b.ended)
	b.l.Close()
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.running.Wait()
}

// Runs is how many requests ran.
func (b *Backend) Runs() int { return int(b.runs.Load()) }

// Begun is how many requests of a path have begun to run.
func (b *Backend) Begun(path string) int { b.mu.Lock(); defer b.mu.Unlock(); return b.begun[path] }

// RunsOf is how many times the request of an attempt id ran.
func (b *Backend) RunsOf(id string) int { b.mu.Lock(); defer b.mu.Unlock(); return b.byID[id] }

// RunsOfKey is how many times the operation of a key ran.
func (b *Backend) RunsOfKey(key string) int { b.mu.Lock(); defer b.mu.Unlock(); return b.byKey[key] }

// Callers is how many requests came from a service.
func (b *Backend) Callers(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callers[service]
}

// Strange is how many requests came that break what the mesh owes its backends.
func (b *Backend) Strange() int { return int(b.strange.Load()) }

func (b *Backend) beats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-b.ended
		cancel()
	}()
	tick := time.NewTicker(beatTime)
	defer tick.Stop()
	for {
		b.beat(ctx, client)
		select {
		case <-tick.C:
		case <-b.ended:
			return
		}
	}
}

func (b *Backend) beat(ctx context.Context, client *http.Client) {
	b.mu.Lock()
	id := b.id
	b.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address":   b.addr,
		"node-info": map[string]any{"service": b.Service, "version": "v1", "zone": b.zone, "capacity": b.Capacity},
		"status":    map[string]any{"state": "serving", "call-count": b.calls.Add(1), "warmup-left-s": 0},
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.control+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	if a, err := client.Do(r); err == nil { // where nobody takes it, the next one is on its way soon
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
}

func (b *Backend) accept() {
	for {
		c, err := b.l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[c] = true
		b.mu.Unlock()
		b.running.Go(func() {
			b.serve(c)
			c.Close()
			b.mu.Lock()
			delete(b.conns, c)
			b.mu.Unlock()
		})
	}
}

func (b *Backend) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !b.answer(c, r) {
			return
		}
	}
}

// answer works on one request, and reports whether its connection goes on.
func (b *Backend) answer(c net.Conn, r *http.Request) bool {
	id, key := r.Header.Get(dataplane.HeaderAttemptID), r.Header.Get(dataplane.HeaderOperationKey)
	b.mu.Lock()
	me := b.id
	b.mu.Unlock()
	notRun := func(status int) bool {
		io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d No\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, dataplane.HeaderAttemptID, id, dataplane.HeaderNotExecuted)
		return err == nil
	}
	left, err := strconv.ParseFloat(r.Header.Get(dataplane.HeaderDeadlineRemaining), 64)
	if err != nil || left <= 0 || id == "" || r.Header.Get(dataplane.HeaderCallerService) == "" {
		b.strange.Add(1)
		return notRun(400)
	}
	if want := r.Header.Get(dataplane.HeaderTargetInstance); want != "" && want != me {
		return notRun(421)
	}
	if b.working.Add(1) > int64(b.Capacity) {
		b.working.Add(-1)
		return notRun(503)
	}
	defer b.working.Add(-1)
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil { // what does not come whole does not run
		return false
	}
	b.mu.Lock()
	b.begun[r.RequestURI]++
	b.mu.Unlock()
	if ms, err := strconv.Atoi(r.Header.Get(HeaderWork)); err == nil {
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-b.ended:
			return false
		}
	}
	n := b.runs.Add(1)
	b.mu.Lock()
	b.byID[id]++
	if key != "" {
		b.byKey[key]++
	}
	b.callers[r.Header.Get(dataplane.HeaderCallerService)]++
	b.mu.Unlock()

	seal := fmt.Sprintf("%s.%d", me, n)
	body := []byte(fmt.Sprintf("%s %s %s %d %x %d\n", b.Service, r.Method, r.RequestURI, size, sum.Sum(nil)[:8], n))
	if s, err := strconv.Atoi(r.Header.Get(HeaderSize)); err == nil {
		body = bytes.Repeat([]byte("0123456789abcdef"), s/16+1)[:s]
	}
	head := func(id, seal, more string) string {
		h := "HTTP/1.1 200 OK\r\n" + dataplane.HeaderAttemptID + ": " + id + "\r\n" + more
		if seal != "" {
			h += dataplane.HeaderServerSeal + ": " + seal + "\r\n"
		}
		return h
	}
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	other := head("some-other", "of.another", "") + "Content-Length: 6\r\n\r\nother\n"
	put := func(text string, body []byte) bool {
		_, err := c.Write(append([]byte(text), body...))
		return err == nil
	}
	switch r.Header.Get(HeaderFault) {
	case "":
		return put(head(id, seal, "")+length, body)
	case FaultExtraBefore:
		return put(other+head(id, seal, "")+length, body)
	case FaultExtraAfter:
		return put(head(id, seal, "")+length, append(body, other...))
	case FaultExtraLate:
		if !put(head(id, seal, "")+length, body) {
			return false
		}
		time.Sleep(lateTime)
		return put(other, nil)
	case FaultCut, FaultCutLong:
		put(head(id, seal, "")+length, body[:len(body)/2])
	case FaultCutChunks:
		put(head(id, seal, "")+"Transfer-Encoding: chunked\r\n\r\n", fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body))
	case FaultUnsealed:
		return put(head(id, "", "")+length, body)
	case FaultEncoded:
		return put(head(id, seal, "Content-Encoding: br\r\n")+length, body)
	case FaultNoise:
		put("\x00\x01 noise\r\n\r\n", nil)
	case FaultOtherID:
		put(other, nil)
	}
	return false
}
