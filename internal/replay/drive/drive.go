// Package drive sends a plan of load in open loop: each request at its planned moment, whatever became of those before it. What
// it could not send in time is measured and told, never hidden by waiting for answers. It decides nothing about the plan. Start
// reading at Run.
package drive

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saltmast/internal/recording"
	"saltmast/internal/replay"
	"saltmast/internal/usage"
	"saltmast/internal/work"
)

// Options say where a plan goes and how.
type Options struct {
	Targets     []string // host:port; operations go to them in turn, all tries of one to the same
	Connections int      // that are open at once, all targets together; 1,000
	Budget      time.Duration
	Effects     map[string]replay.Effect // by class; what is missing is unsafe
	Run         uint64                   // marks the requests
	Tick        func(Progress)           // called four times a second and at the end; may be nil
	// Left is called for each try that has been sent, in their order; may be nil.
	Left func(at time.Duration, class string, repeat bool)
}

const (
	defaultConnections = 1000
	defaultBudget      = 5 * time.Second
	// maxAnswer bounds the body of an answer that is read.
	maxAnswer = 1 << 20
	// maxOps bounds the operations whose outcome is remembered for their retries and for what waits for them.
	maxOps = 1 << 18
	// lead is how far ahead of its moments the plan is made.
	lead = 4096
)

// Progress tells how far a replay is.
type Progress struct {
	At   time.Duration // since its start
	Plan time.Duration // the planned moment of the request that was sent last
	Sent int
}

// Result is what became of a plan. Late and Took are in ns.
type Result struct {
	Planned    int            `json:"planned"` // first tries, and retries that were due
	Sent       int            `json:"sent"`
	Unsent     map[string]int `json:"unsent,omitempty"` // by why: no connection was free, or none came up
	Retries    int            `json:"retries_sent"`
	Needless   int            `json:"retries_needless"` // the tries before them were not refused, or are still out
	Dependent  int            `json:"dependent"`        // held back until what they follow was answered
	Served     int            `json:"served"`
	Refused    int            `json:"refused"`
	Failed     int            `json:"failed"`
	Broken     int            `json:"broken"`  // the connection ended without a whole answer
	Overdue    int            `json:"overdue"` // no answer within the budget
	Wall       time.Duration  `json:"wall_ns"` // from the first planned moment to the last answer
	Span       time.Duration  `json:"span_ns"` // from the first planned moment to the last one that was sent
	CPU        time.Duration  `json:"cpu_ns"`
	Made       int            `json:"connections_made"`
	Partial    bool           `json:"partial"` // it was ended before the plan's end
	PlanRate   float64        `json:"planned_rate"`
	Rate       float64        `json:"achieved_rate"`
	LateP50    time.Duration  `json:"late_p50_ns"`
	LateP99    time.Duration  `json:"late_p99_ns"`
	LateMax    time.Duration  `json:"late_max_ns"`
	AnswerP50  time.Duration  `json:"answer_p50_ns"`
	AnswerP99  time.Duration  `json:"answer_p99_ns"`
	CPUPerSent time.Duration  `json:"cpu_per_sent_ns"`

	Late []Quantile `json:"late"`
}

// Quantile is one of a distribution.
type Quantile struct {
	Q  float64       `json:"q"`
	At time.Duration `json:"ns"`
}

// opKey names an operation.
type opKey struct {
	op   uint64
	copy int
}

// op is what is known of an operation.
type op struct {
	out   int  // tries that are out
	again bool // the last one ended so that another does no harm
	ended time.Time
	done  chan struct{} // closed at its first answer; nil where nothing may wait for it
}

// driver is one run.
type driver struct {
	o     Options
	conns []*conns
	work  *work.Pool
	ctx   context.Context
	start time.Time

	mu     sync.Mutex
	res    Result
	ops    map[opKey]*op
	order  []opKey // of ops, oldest first
	late   *hdrhistogram.Histogram
	took   *hdrhistogram.Histogram
	lastAt time.Duration // planned, of what was sent
	lastBy time.Duration // when that was sent
	out    sync.WaitGroup
	sent   atomic.Int64
}

// Run sends a plan until it ends with io.EOF, or until ctx ends: then the result is partial. next gives the plan in the order of
// its moments, on a goroutine of its own; any other error of it ends the run and is returned.
func Run(ctx context.Context, o Options, next func() (replay.Planned, error)) (*Result, error) {
	if o.Connections == 0 {
		o.Connections = defaultConnections
	}
	if o.Budget == 0 {
		o.Budget = defaultBudget
	}
	if len(o.Targets) == 0 {
		return nil, errors.New("no target")
	}
	cpu := usage.CPU()
	d := &driver{o: o, work: work.New(), ops: map[opKey]*op{}, late: hdrhistogram.New(1, int64(time.Hour), 3), took: hdrhistogram.New(1, int64(time.Hour), 3)}
	d.res.Unsent = map[string]int{}
	for _, t := range o.Targets {
		d.conns = append(d.conns, &conns{addr: t, most: max(1, o.Connections/len(o.Targets))})
	}
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	type step struct {
		p   replay.Planned
		err error
	}
	steps := make(chan step, lead)
	made := make(chan struct{})
	go func() {
		defer close(made)
		defer close(steps)
		for {
			p, err := next()
			select {
			case steps <- step{p, err}:
			case <-d.ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	defer exact()()
	d.start = time.Now()
	var failed error
	begun, ticked := false, time.Now()
	for s := range steps {
		if s.err != nil {
			if s.err != io.EOF {
				failed = s.err
			}
			break
		}
		if !begun { // the clock starts once the first one is there
			begun, d.start = true, time.Now().Add(-s.p.At)
		}
		if !d.pace(s.p.At) {
			break
		}
		if o.Tick != nil && time.Since(ticked) > 250*time.Millisecond {
			ticked = time.Now()
			o.Tick(Progress{time.Since(d.start), s.p.At, int(d.sent.Load())})
		}
		d.dispatch(s.p)
	}
	if ctx.Err() != nil || failed != nil {
		cancel() // what is out is not waited for
	}
	d.out.Wait()
	cancel()
	<-made
	d.work.Close()
	for _, c := range d.conns {
		d.res.Made += c.made
		c.close()
	}
	if failed != nil {
		return nil, failed
	}
	d.finish(ctx.Err() != nil, usage.CPU()-cpu)
	if o.Tick != nil {
		o.Tick(Progress{d.res.Wall, d.lastAt, d.res.Sent})
	}
	return &d.res, nil
}

// coarse is how far ahead of a moment the runtime's timer is asked to end: as late as it may be.
const coarse = 2 * time.Millisecond

// pace waits for a planned moment as exactly as the machine can; false: the run has ended. Only the one goroutine that called exact
// may use it: it holds its thread. Measured with the runtime's timers alone: half a millisecond late at the median, in steps of one,
// and times between arrivals at a distance of 0.15 to 0.5 from the recording's.
func (d *driver) pace(at time.Duration) bool {
	due := d.start.Add(at)
	if wait := time.Until(due); wait > coarse && !d.until(at-coarse) {
		return false
	}
	for wait := time.Until(due); wait > 0; wait = time.Until(due) {
		nap(wait)
	}
	return d.ctx.Err() == nil
}

// until waits for a planned moment; false: the run has ended.
func (d *driver) until(at time.Duration) bool {
	wait := time.Until(d.start.Add(at))
	if wait <= 0 {
		return d.ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// dispatch has a request sent, and does not wait for it. What it begins is known before the next request is looked at: that may
// follow it.
func (d *driver) dispatch(p replay.Planned) {
	var o *op
	if p.Try == 0 || p.After == (replay.Operation{}) {
		if o = d.begin(p); o == nil {
			return
		}
	}
	d.out.Add(1)
	d.work.Go(func() {
		defer d.out.Done()
		due := p.At
		if p.After != (replay.Operation{}) {
			var ok bool
			if due, ok = d.follow(p); !ok {
				if o != nil {
					d.end(p, o, unsent)
				}
				return
			}
		}
		if o == nil { // a retry that had to wait
			if o = d.begin(p); o == nil {
				return
			}
		}
		d.end(p, o, d.send(p, due))
	})
}

// follow waits until what a request depends on has been answered, and as long again as in the recording. It returns when the
// request is due then.
func (d *driver) follow(p replay.Planned) (time.Duration, bool) {
	d.mu.Lock()
	o := d.ops[opKey{p.After.Op, p.After.Copy}]
	d.mu.Unlock()
	if o == nil || o.done == nil {
		return p.At, true
	}
	select {
	case <-o.done:
	case <-d.ctx.Done():
		return 0, false
	}
	d.mu.Lock()
	due := o.ended.Sub(d.start) + p.Gap
	if due > p.At {
		d.res.Dependent++
	}
	d.mu.Unlock()
	due = max(due, p.At)
	return due, d.until(due)
}

// begin notes that a try goes out; nil: it need not, or may not. A retry goes only where the tries before it have ended and the
// last of them did nothing: refused, or for a class that is safe to repeat anything but served.
func (d *driver) begin(p replay.Planned) *op {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := opKey{p.Op, p.Copy}
	o := d.ops[key]
	if p.Try > 0 && (o == nil || o.out > 0 || !o.again) {
		d.res.Needless++
		return nil
	}
	d.res.Planned++
	if o == nil {
		o = &op{done: make(chan struct{})}
		d.ops[key] = o
		d.order = append(d.order, key)
		for len(d.order) > maxOps {
			delete(d.ops, d.order[0])
			d.order = d.order[1:]
		}
	}
	o.out++
	return o
}

// How a try ended.
type outcome int

const (
	served outcome = iota
	refused
	failed
	broken
	overdue
	unsent
)

// end notes how a try ended.
func (d *driver) end(p replay.Planned, o *op, how outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o.out--
	o.again = how == refused || how == unsent || how != served && d.o.Effects[p.Class] == replay.Safe
	if o.ended.IsZero() {
		o.ended = time.Now()
		close(o.done)
	}
	switch how {
	case served:
		d.res.Served++
	case refused:
		d.res.Refused++
	case failed:
		d.res.Failed++
	case broken:
		d.res.Broken++
	case overdue:
		d.res.Overdue++
	}
}

// send sends a try, once more on a new connection if a kept one was closed before anything of the request can have been read.
func (d *driver) send(p replay.Planned, due time.Duration) outcome {
	pool := d.conns[int((p.Op+uint64(p.Copy))%uint64(len(d.conns)))]
	raw := d.request(p, pool.addr)
	for fresh := false; ; fresh = true {
		c, kept, err := pool.take(d.ctx, d.o.Budget, fresh)
		if err == nil {
			c.SetDeadline(time.Now().Add(d.o.Budget))
			if _, err = c.Write(raw); err != nil {
				pool.drop(c)
				if kept {
					continue
				}
			}
		}
		if err != nil {
			why := "none came up"
			if errors.Is(err, errFull) {
				why = errFull.Error()
			}
			if d.ctx.Err() == nil {
				d.mu.Lock()
				d.res.Unsent[why]++
				d.mu.Unlock()
			}
			return unsent
		}
		sent := time.Since(d.start)
		if !fresh {
			d.note(p, due, sent)
		}
		status, closes, err := read(c)
		took := time.Since(d.start) - sent
		if err == nil {
			if closes {
				pool.drop(c)
			} else {
				pool.keep(c)
			}
			d.mu.Lock()
			d.took.RecordValue(min(max(int64(took), 1), int64(time.Hour)))
			d.mu.Unlock()
			switch {
			case status == http.StatusOK:
				return served
			case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
				return refused
			}
			return failed
		}
		pool.drop(c)
		var timeout net.Error
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			return overdue
		case kept && !fresh && errors.Is(err, errNothing):
			continue // its closing crossed the request, which the protocol has clients send once more
		}
		return broken
	}
}

// note counts a try that was sent.
func (d *driver) note(p replay.Planned, due, sent time.Duration) {
	d.sent.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.res.Sent++
	if p.Try > 0 {
		d.res.Retries++
	}
	d.late.RecordValue(min(max(int64(sent-due), 1), int64(time.Hour)))
	d.lastAt = max(d.lastAt, due)
	d.lastBy = max(d.lastBy, sent)
	if d.o.Left != nil {
		d.o.Left(sent, p.Class, p.Try > 0)
	}
}

// errNothing is the end of a connection before the first byte of an answer.
var errNothing = errors.New("closed with no answer")

// read reads one whole answer.
func read(c *conn) (status int, closes bool, err error) {
	if _, err := c.in.Peek(1); err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return 0, true, err
		}
		return 0, true, fmt.Errorf("%w: %w", errNothing, err)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && n > maxAnswer {
		err = errors.New("an answer that is too long")
	}
	return resp.StatusCode, resp.Close, err
}

// request is the bytes of a try: the protocol's headers, and one that names the operation, which agents do not pass on.
func (d *driver) request(p replay.Planned, host string) []byte {
	var b bytes.Buffer
	effect := d.o.Effects[p.Class]
	method := "POST"
	if effect == replay.Safe {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\nX-Budget-Ms: %d\r\n%s: %s\r\n", method, p.Class, host, p.ID, d.o.Budget.Milliseconds(),
		OperationHeader, OperationName(d.o.Run, p.Op, p.Copy))
	if p.Try > 0 {
		b.WriteString("X-Again: 1\r\n")
	}
	if effect == replay.Keyed {
		key := p.Key
		if key == "" {
			key = OperationName(d.o.Run, p.Op, p.Copy)
		}
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", key)
	}
	if p.Tenant != "" && plain(p.Tenant) {
		fmt.Fprintf(&b, "X-Caller: %s\r\n", p.Tenant)
	}
	if p.Route != "" {
		fmt.Fprintf(&b, "X-Route-Hash: %s\r\n", p.Route)
	}
	if effect == replay.Safe {
		b.WriteString("\r\n")
		return b.Bytes()
	}
	body := Body(p)
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

// plain reports whether a text may stand in a header.
func plain(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return len(s) <= 200
}

// OperationHeader names the operation of a request, the same for all tries of it.
const OperationHeader = "X-Replay-Operation"

// OperationName is how an operation of a run is named.
func OperationName(run, op uint64, copy int) string {
	return fmt.Sprintf("%08x-%x-%x", uint32(run), op, copy)
}

// Body is the body of a request: the made-up account, and as many bytes in all as were recorded where that is more.
func Body(p replay.Planned) []byte {
	head := []byte(`{"operation":"` + p.ID + `"`)
	if p.Account != "" {
		head = append(head, `,"account":"`+p.Account+`"`...)
	}
	const pad = `,"pad":"`
	n := min(p.Body, recording.MaxBody) - len(head) - len(pad) - len(`"}`)
	if n <= 0 {
		return append(head, '}')
	}
	head = append(head, pad...)
	head = append(head, bytes.Repeat([]byte{'.'}, n)...)
	return append(head, `"}`...)
}

// finish works out the figures.
func (d *driver) finish(partial bool, cpu time.Duration) {
	r := &d.res
	r.Partial, r.CPU = partial, cpu
	r.Wall, r.Span = time.Since(d.start), d.lastBy
	if r.Sent > 1 {
		if d.lastAt > 0 {
			r.PlanRate = float64(r.Sent) / d.lastAt.Seconds()
		}
		if d.lastBy > 0 {
			r.Rate = float64(r.Sent) / d.lastBy.Seconds()
		}
	}
	if r.Sent > 0 {
		r.CPUPerSent = cpu / time.Duration(r.Sent)
		for _, q := range []float64{0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 0.9999, 1} {
			r.Late = append(r.Late, Quantile{q, time.Duration(d.late.ValueAtQuantile(100 * q))})
		}
	}
	r.LateP50, r.LateP99, r.LateMax = time.Duration(d.late.ValueAtQuantile(50)), time.Duration(d.late.ValueAtQuantile(99)), time.Duration(d.late.Max())
	r.AnswerP50, r.AnswerP99 = time.Duration(d.took.ValueAtQuantile(50)), time.Duration(d.took.ValueAtQuantile(99))
}
