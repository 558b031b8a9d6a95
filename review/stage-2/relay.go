package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// relay is a network proxy between a backend and the control-plane address of its machine. It passes calls on one by one, and may hold
// one that it has received whole for a while, whether or not the sender still waits.
type relay struct {
	l       net.Listener
	to      string
	mu      sync.Mutex
	hold    chan struct{} // if not nil, the next call is held until this is closed
	got     chan struct{} // closed when a held call has been received whole
	arrived chan heldCall // what became of a held call
}

// heldCall is a held call that was passed on.
type heldCall struct {
	received, delivered time.Time
	status              int
	err                 error
}

func startRelay(x *machine) (*relay, error) {
	l, err := net.Listen("tcp4", net.JoinHostPort(x.ip, "0"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	r := &relay{l: l, to: x.addr(portControl), arrived: make(chan heldCall, 1)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *relay) addr() string { return r.l.Addr().String() }

// holdNext makes the relay hold the next call until release is closed. received is closed once the relay has all of it.
func (r *relay) holdNext(release chan struct{}) (received chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold, r.got = release, make(chan struct{})
	return r.got
}

func (r *relay) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	held := heldCall{received: time.Now()}
	r.mu.Lock()
	hold := r.hold
	if hold != nil {
		close(r.got)
		r.hold = nil
	}
	r.mu.Unlock()
	if hold != nil {
		<-hold
	}
	held.delivered = time.Now()
	status, answer, err := call(q.Method, "http://"+r.to+q.URL.Path, string(bytes.TrimSpace(body)))
	if hold != nil {
		held.status, held.err = status, err
		r.arrived <- held
	}
	if err == nil {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, len(answer), answer)
	}
}
