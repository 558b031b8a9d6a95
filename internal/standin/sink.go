package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// SinkConfig says what a sink does with what it takes.
type SinkConfig struct {
	Addr      string                                            // port 0 picks one
	Operation string                                            // the header that names a request's operation
	Refuse    float64                                           // share of the operations whose first try is turned away
	Arrived   func(at time.Duration, class string, repeat bool) // called for each request that has come whole, in their order; may be nil
	Unsafe    func(class string) bool                           // whether it must not run twice; nil: none
	Most      int                                               // operations that are remembered; 4 million
}

const defaultMostOps = 4 << 20

// Sink is a server that takes whatever comes and answers at once, for measuring load and not agents: it keeps count of what
// arrives and when, and a ledger of the operations that ran. It is safe for use by many.
type Sink struct {
	c     SinkConfig
	l     net.Listener
	s     *http.Server
	start time.Time

	mu    sync.Mutex
	seen  map[uint64]uint8 // operations by the sum of their names: how often they ran, and whether they were turned away
	stats SinkStats
}

// SinkStats are what a sink has seen.
type SinkStats struct {
	Requests int      `json:"requests"`
	Ran      int      `json:"ran"`     // answered 200
	Refused  int      `json:"refused"` // turned away, has not run
	Repeats  int      `json:"repeats"` // of an operation that had run; the servers of a keyed class drop them
	Twice    int      `json:"twice"`   // of these, of a class that must not run twice
	Nameless int      `json:"nameless"`
	Unknown  int      `json:"beyond_ledger"` // operations that the ledger had no room for
	First    []string `json:"first,omitempty"`
}

// Bits of Sink.seen.
const (
	opRan     = 1
	opRefused = 2
)

// NewSink returns a sink that serves.
func NewSink(c SinkConfig) (*Sink, error) {
	if c.Most == 0 {
		c.Most = defaultMostOps
	}
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, err
	}
	k := &Sink{c: c, l: l, start: time.Now(), seen: map[uint64]uint8{}}
	k.s = &http.Server{Handler: k, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: maxHead, ErrorLog: log.New(io.Discard, "", 0)}
	go k.s.Serve(l)
	return k, nil
}

// Addr is where it listens.
func (k *Sink) Addr() string { return k.l.Addr().String() }

// Stats returns the counts so far.
func (k *Sink) Stats() SinkStats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stats
}

// Close ends it.
func (k *Sink) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := k.s.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		return k.s.Close()
	} else if err != nil {
		return err
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (k *Sink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody+1)); err != nil {
		return // it has not come whole: nothing ran
	}
	class := r.URL.Path
	if len(class) > 0 && class[0] == '/' {
		class = class[1:]
	}
	if k.take(class, r.Header.Get(k.c.Operation), r.Header.Get("X-Again") == "1") {
		w.Header()["X-Rejected"] = []string{"1"}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

// take notes an arrival and reports whether it is turned away.
func (k *Sink) take(class, name string, repeat bool) (refused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stats.Requests++
	if k.c.Arrived != nil {
		k.c.Arrived(time.Since(k.start), class, repeat)
	}
	if name == "" {
		k.stats.Nameless++
		k.stats.Ran++
		return false
	}
	op := Sum([]byte(name))
	op = (op ^ op>>30) * 0xbf58476d1ce4e5b9 // its high bits differ little between names that differ little
	op = (op ^ op>>27) * 0x94d049bb133111eb
	op ^= op >> 31
	state, known := k.seen[op]
	if !known && len(k.seen) >= k.c.Most {
		k.stats.Unknown++
		k.stats.Ran++
		return false
	}
	if !known && float64(op>>11)/(1<<53) < k.c.Refuse {
		k.seen[op] = opRefused
		k.stats.Refused++
		return true
	}
	k.seen[op] = state | opRan
	if state&opRan == 0 {
		k.stats.Ran++
		return false
	}
	k.stats.Repeats++
	if k.c.Unsafe != nil && k.c.Unsafe(class) {
		k.stats.Twice++
		if len(k.stats.First) < 10 {
			k.stats.First = append(k.stats.First, fmt.Sprintf("%s of %s", name, class))
		}
	}
	return false
}
