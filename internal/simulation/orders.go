package simulation

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
)

// Operators as the operators' pages have them: up to eight orders under way at once, hundreds in a day; any agent may be asked, 307 is
// followed twice, answers are lost on their way and the order is sent again to any agent, with other orders in between.

// office is several operators who share the numbers of their versions, so that no two orders say one number of one item.
type office struct {
	w       *World
	all     []*operator
	version atomic.Int64
	sent    atomic.Int64
	acked   atomic.Int64
	under   atomic.Int64                // way, now
	most    atomic.Int64                // under way at one time, about
	lastBy  atomic.Pointer[coreMachine] // that acknowledged last
	deaf    atomic.Int64                // answers of a thousand that are lost besides
}

// office opens one with n operators, each at a machine of its own.
func (w *World) office(n int) *office {
	f := &office{w: w}
	f.version.Store(10)
	for i := range n {
		f.all = append(f.all, w.operator(fmt.Sprintf("10.9.1.%d", 10+i)))
	}
	return f
}

func (f *office) close() {
	f.w.note("office")("orders", fmt.Sprintf("%d sent, %d acknowledged, %d under way at once", f.sent.Load(), f.acked.Load(), f.most.Load()))
	for _, o := range f.all {
		o.p.End()
	}
}

// next is a number that no order has.
func (f *office) next() int { return int(f.version.Add(1)) }

const (
	followed  = 2               // redirections that a caller follows
	patience  = time.Second     // for one answer
	orderMost = 9 * time.Second // for one order, with all its tries
)

// patch sends a change once, wherever it is told to go, twice at the most. by: who answered.
func (f *office) patch(o *operator, c *coreMachine, body []byte) (status int, by *coreMachine) {
	for n := 0; ; n++ {
		a, err := exchangeOnce(o.p, net.JoinHostPort(c.m.IP, portControl), body, patience)
		if err != nil {
			return 0, c
		}
		if a.status != http.StatusTemporaryRedirect || n == followed {
			return a.status, c
		}
		next := f.at(a.header.Get("Location"))
		if next == nil {
			f.w.must(fmt.Errorf("%.3f %s sends a caller to %q", f.w.now().Seconds(), c.name, a.header.Get("Location")))
			return a.status, c
		}
		c = next
	}
}

// at is the core machine that a location names; nil: none.
func (f *office) at(location string) *coreMachine {
	for _, c := range f.w.core {
		if strings.HasPrefix(location, "http://"+net.JoinHostPort(c.m.IP, portControl)+"/") {
			return c
		}
	}
	return nil
}

func exchangeOnce(on *network.Process, addr string, body []byte, wait time.Duration) (*answer, error) {
	end := time.Now().Add(wait)
	c, err := dialFor(on, addr, wait)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(end)
	r := request{method: "PATCH", host: addr, path: "/v1/configuration", body: body, header: [][2]string{{"Content-Type", "application/json"}, {"Connection", "close"}}}
	if _, err := c.Write(r.bytes()); err != nil {
		return nil, err
	}
	return readAnswer(newReader(c))
}

// order sends a change until it is answered or its time is up. Some of its answers are lost: the operator knows nothing of them, and sends
// the same order again, to any agent, after a while in which others go on. It gives who acknowledged it; nil: nobody that it knows of.
func (f *office) order(o *operator, r *rand.Rand, c *checker.Call, lose float64) *coreMachine {
	w := f.w
	if n := o.calls.Add(1); w.leaves(fmt.Sprintf("order %d of %s", n, o.m.IP), names(c.Items)) {
		return nil
	}
	f.sent.Add(1)
	f.under.Add(1)
	defer f.under.Add(-1)
	for n := f.under.Load(); n > f.most.Load(); {
		f.most.Store(n)
	}
	c.Sent = w.now()
	w.log.AddCall(c)
	b := body(c.Items)
	end := c.Sent + orderMost
	pause, others := 50*time.Millisecond, 0
	var failed *coreMachine // callers go on to another agent
	for w.now() < end {
		to := w.core[r.IntN(len(w.core))]
		for to == failed {
			to = w.core[r.IntN(len(w.core))]
		}
		status, by := f.patch(o, to, b)
		failed = nil
		if status == 0 || status >= 500 {
			failed = to
		}
		if w.flaw.Forgets && c.Taken > 0 && status != 0 {
			status = http.StatusConflict
		}
		took := status/100 == 2
		refused := status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
		switch {
		case took && c.Taken == 0:
			c.Taken = w.now()
		case refused && c.Refused == 0:
			c.Refused = w.now()
		}
		if took {
			f.lastBy.Store(by)
		}
		if status != 0 && r.Float64() < max(lose, float64(f.deaf.Load())/1000) { // its answer is lost
			lose /= 2
			if !w.pause(time.Duration(r.IntN(2500)) * time.Millisecond) {
				return nil
			}
			continue
		}
		if status != 0 {
			c.Status = status
		}
		switch {
		case took:
			c.Acked = w.now()
			f.acked.Add(1)
			return by
		case refused:
			if others++; others >= 3 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
				return nil
			}
		}
		if !w.pause(pause) {
			return nil
		}
		pause = min(2*pause, 800*time.Millisecond)
	}
	return nil
}

// draw is an order of any sort: a route that clients use is moved or split, or a route that nobody uses is made, changed or dropped.
func (f *office) draw(r *rand.Rand, of int) *checker.Call {
	services := [][]string{{"pump"}, {"ledger"}, {"pump", "ledger"}}[r.IntN(3)]
	v := f.next()
	switch r.IntN(6) {
	case 0: // all operators want the same route
		return &checker.Call{Items: []checker.Item{with(routes[0], func(x *route) { x.services = services }).item(v)}}
	case 1:
		return &checker.Call{Items: []checker.Item{with(routes[4], func(x *route) { x.services = services }).item(v)}}
	}
	at := of
	if r.IntN(4) == 0 {
		at = r.IntN(len(f.all))
	}
	x := route{name: fmt.Sprintf("r-own%d-%d", at, r.IntN(3)), kind: "idempotent", services: services, deadline: 1 + float64(r.IntN(3)), target: 0.3, attempts: 2}
	x.prefix = "/" + x.name + "/"
	items := []checker.Item{x.item(v)}
	if r.IntN(5) == 0 {
		items = []checker.Item{drop(x.name, v)}
	}
	if r.IntN(4) == 0 { // and another in the same call
		y := x
		y.name, y.prefix = x.name+"b", "/"+x.name+"b/"
		items = append(items, y.item(v))
	}
	return &checker.Call{Items: items}
}

// work has all operators send orders of all sorts until a time of the day, each the next some time after the last, half of them at one moment
// with others. What it gives waits for
// the last of them.
func (f *office) work(until, gap time.Duration, lose float64) (wait func()) {
	done := make(chan struct{}, len(f.all))
	for i, o := range f.all {
		r := f.w.rand(fmt.Sprint("office ", i))
		go func() {
			defer func() { done <- struct{}{} }()
			for f.w.now() < until {
				wait := time.Duration(r.ExpFloat64() * float64(gap))
				if r.IntN(2) == 0 { // at one moment with others
					wait += gap - (f.w.now()+wait)%gap
				}
				if !f.w.pause(wait) {
					return
				}
				f.order(o, r, f.draw(r, i), lose)
			}
		}()
	}
	return func() {
		for range f.all {
			<-done
		}
	}
}
