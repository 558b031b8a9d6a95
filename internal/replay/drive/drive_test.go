package drive

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"saltmast/internal/replay"
	"saltmast/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// of gives a plan one by one.
func of(all ...replay.Planned) func() (replay.Planned, error) {
	return func() (replay.Planned, error) {
		if len(all) == 0 {
			return replay.Planned{}, io.EOF
		}
		p := all[0]
		all = all[1:]
		return p, nil
	}
}

func request(op uint64, try int) replay.Planned {
	return replay.Planned{Class: "sale-settle", ID: fmt.Sprintf("%08x%08x", op, try), Op: op, Try: try, Account: "replay-1", Body: 200}
}

// target is a server that a test answers for: each request that has come whole is handed to do, with how many came before it.
func target(t *testing.T, do func(n int, c net.Conn, r *http.Request) (stays bool)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var all []net.Conn
	var serving sync.WaitGroup
	n := 0
	serving.Add(1)
	go func() {
		defer serving.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			all = append(all, c)
			mu.Unlock()
			serving.Add(1)
			go func() {
				defer serving.Done()
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					mu.Lock()
					mine := n
					n++
					mu.Unlock()
					if !do(mine, c, r) {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		for _, c := range all {
			c.Close()
		}
		mu.Unlock()
		serving.Wait()
	})
	return l.Addr().String()
}

func say(c net.Conn, status int) bool {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: 3\r\n\r\nok\n", status)
	return true
}

func run(t *testing.T, o Options, all ...replay.Planned) *Result {
	t.Helper()
	r, err := Run(context.Background(), o, of(all...))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// What is sent is the protocol's, by the class's effect, and nothing of it is the recording's.
func TestWhatIsSent(t *testing.T) {
	got := make(chan *http.Request, 10)
	addr := target(t, func(_ int, c net.Conn, r *http.Request) bool { got <- r; return say(c, 200) })
	effects := map[string]replay.Effect{"look": replay.Safe, "hold": replay.Keyed, "settle": replay.Unsafe}
	r := run(t, Options{Targets: []string{addr}, Effects: effects, Run: 7, Connections: 1},
		replay.Planned{Class: "look", ID: "00000000000000a1", Op: 1, Tenant: "acme", Route: "r1", Body: 10})
	q := <-got
	if q.Method != "GET" || q.URL.Path != "/look" || q.Header.Get("X-Call-Id") != "00000000000000a1" || q.Header.Get("X-Caller") != "acme" ||
		q.Header.Get("X-Route-Hash") != "r1" || q.ContentLength != 0 || q.Header.Get("X-Again") != "" || q.Header.Get(OperationHeader) != "00000007-1-0" {
		t.Errorf("%s %s %v", q.Method, q.URL, q.Header)
	}
	if r.Sent != 1 || r.Served != 1 || r.Planned != 1 {
		t.Errorf("%+v", r)
	}
	run(t, Options{Targets: []string{addr}, Effects: effects}, replay.Planned{Class: "hold", ID: "00000000000000a2", Op: 1, Key: "k", Account: "replay-9", Body: 500})
	if q = <-got; q.Method != "POST" || q.Header.Get("Idempotency-Key") != "k" || q.ContentLength != 500 {
		t.Errorf("%s %s %v, %d bytes", q.Method, q.URL, q.Header, q.ContentLength)
	}
	run(t, Options{Targets: []string{addr}, Effects: effects}, replay.Planned{Class: "settle", ID: "00000000000000a3", Op: 1, Key: "k", Tenant: "a\r\nX-Evil: 1"})
	if q = <-got; q.Method != "POST" || q.Header.Get("Idempotency-Key") != "" || q.Header.Get("X-Caller") != "" || q.Header.Get("X-Evil") != "" {
		t.Errorf("%s %s %v", q.Method, q.URL, q.Header)
	}
}

// Open loop: what is not answered holds nothing up. No request is answered here before all of them have come.
func TestNothingWaitsForAnswers(t *testing.T) {
	const n = 40
	var all sync.WaitGroup
	all.Add(n)
	addr := target(t, func(_ int, c net.Conn, _ *http.Request) bool { all.Done(); all.Wait(); return say(c, 200) })
	var plan []replay.Planned
	for i := range n {
		plan = append(plan, request(uint64(i+1), 0))
	}
	if r := run(t, Options{Targets: []string{addr}}, plan...); r.Sent != n || r.Served != n || r.Made != n {
		t.Errorf("%+v", r)
	}
}

// What an answer says is read off the wire.
func TestAnswers(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(c net.Conn) bool
		want outcome
	}{
		{"served", func(c net.Conn) bool { return say(c, 200) }, served},
		{"refused", func(c net.Conn) bool { return say(c, 503) }, refused},
		{"refused by 429", func(c net.Conn) bool { return say(c, 429) }, refused},
		{"failed", func(c net.Conn) bool { return say(c, 502) }, failed},
		{"no answer", func(c net.Conn) bool { return false }, broken},
		{"half a head", func(c net.Conn) bool { io.WriteString(c, "HTTP/1.1 503 X\r\nContent-Le"); return false }, broken},
		{"half a body", func(c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nok")
			return false
		}, broken},
		{"noise", func(c net.Conn) bool { io.WriteString(c, "\x16\x03\x01\r\n\r\n"); return false }, broken},
		{"over a megabyte", func(c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%s", maxAnswer+1, strings.Repeat("x", maxAnswer+1))
			return true
		}, broken},
	} {
		addr := target(t, func(_ int, c net.Conn, _ *http.Request) bool { return tt.end(c) })
		r := run(t, Options{Targets: []string{addr}}, request(1, 0))
		got := map[outcome]int{served: r.Served, refused: r.Refused, failed: r.Failed, broken: r.Broken, overdue: r.Overdue}
		if got[tt.want] != 1 || r.Served+r.Refused+r.Failed+r.Broken+r.Overdue != 1 || r.Sent != 1 {
			t.Errorf("%s: %+v", tt.name, r)
		}
	}
}

// A retry goes out only where the tries before it have ended, and the last of them did nothing.
func TestRetries(t *testing.T) {
	for _, tt := range []struct {
		how   outcome
		again map[replay.Effect]bool
	}{
		{served, map[replay.Effect]bool{replay.Safe: false, replay.Keyed: false, replay.Unsafe: false, "": false}},
		{refused, map[replay.Effect]bool{replay.Safe: true, replay.Keyed: true, replay.Unsafe: true, "": true}},
		{unsent, map[replay.Effect]bool{replay.Safe: true, replay.Keyed: true, replay.Unsafe: true, "": true}},
		{failed, map[replay.Effect]bool{replay.Safe: true, replay.Keyed: false, replay.Unsafe: false, "": false}},
		{broken, map[replay.Effect]bool{replay.Safe: true, replay.Keyed: false, replay.Unsafe: false, "": false}},
		{overdue, map[replay.Effect]bool{replay.Safe: true, replay.Keyed: false, replay.Unsafe: false, "": false}},
	} {
		for effect, want := range tt.again {
			d := &driver{o: Options{Effects: map[string]replay.Effect{"sale-settle": effect}}, ops: map[opKey]*op{}}
			first := request(1, 0)
			o := d.begin(first)
			if d.begin(request(1, 1)) != nil {
				t.Errorf("outcome %d, %s: a retry went out while the first try was", tt.how, effect)
			}
			d.end(first, o, tt.how)
			if got := d.begin(request(1, 1)) != nil; got != want {
				t.Errorf("outcome %d, %s: another try went out: %v, want %v", tt.how, effect, got, want)
			}
			if d.begin(request(2, 1)) != nil {
				t.Errorf("a retry of what was never sent went out")
			}
		}
	}
	// What is remembered is bounded, and a retry of what was forgotten is not sent.
	d := &driver{ops: map[opKey]*op{}}
	for i := range maxOps + 10 {
		p := request(uint64(i+1), 0)
		d.end(p, d.begin(p), refused)
	}
	if len(d.ops) > maxOps || d.begin(request(1, 1)) != nil || d.begin(request(maxOps, 1)) == nil {
		t.Errorf("%d operations are remembered, %d allowed", len(d.ops), maxOps)
	}
}

// Against a stand-in that turns the first try of each operation away, each recorded retry goes out and runs once; against one
// that serves, none goes out.
func TestRetriesAtAStandIn(t *testing.T) {
	for _, refuse := range []float64{0, 1} {
		k, err := standin.NewSink(standin.SinkConfig{Addr: "127.0.0.1:0", Operation: OperationHeader, Refuse: refuse, Unsafe: func(string) bool { return true }})
		if err != nil {
			t.Fatal(err)
		}
		retry := request(1, 1)
		retry.After = replay.Operation{Op: 1} // as soon as the first try is answered
		r := run(t, Options{Targets: []string{k.Addr()}}, request(1, 0), retry)
		s := k.Stats()
		k.Close()
		if want := int(refuse); r.Retries != want || r.Needless != 1-want || s.Ran != 1 || s.Twice != 0 || s.Refused != want {
			t.Errorf("refuse %v: %+v, %+v", refuse, r, s)
		}
	}
}

// Connections are bounded, and what finds none is told and not held back. Odd operations go to a target that answers nothing
// before three even ones, each of which follows one that found no connection, have reached the other target.
func TestNoConnectionIsFree(t *testing.T) {
	came, free := make(chan struct{}, 10), make(chan struct{})
	full := target(t, func(_ int, c net.Conn, _ *http.Request) bool { came <- struct{}{}; <-free; return say(c, 200) })
	other := target(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 2 {
			close(free)
		}
		return say(c, 200)
	})
	var plan []replay.Planned
	for _, op := range []uint64{1, 3, 5, 7, 9, 11, 13} {
		plan = append(plan, request(op, 0))
	}
	for _, op := range []uint64{9, 11, 13} {
		p := request(op+1, 0)
		p.After = replay.Operation{Op: op}
		plan = append(plan, p)
	}
	steps, all := 0, of(plan...)
	r, err := Run(context.Background(), Options{Targets: []string{other, full}, Connections: 8}, func() (replay.Planned, error) {
		if steps++; steps == 5 {
			for range 4 {
				<-came
			}
		}
		return all()
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.Unsent[errFull.Error()] != 3 || r.Sent != 7 || r.Served != 7 {
		t.Errorf("%+v", r)
	}
}

// Of a browser's page, what followed an answer waits for it, also where that takes longer than it did.
func TestFollowsAnAnswer(t *testing.T) {
	var order []string
	first, second := make(chan struct{}), make(chan struct{})
	addr := target(t, func(n int, c net.Conn, r *http.Request) bool {
		order = append(order, r.Header.Get("X-Call-Id")[:8])
		switch n {
		case 0:
			close(first)
			<-second
		case 1:
			close(second)
		}
		return say(c, 200)
	})
	follows := request(2, 0)
	follows.After = replay.Operation{Op: 1}
	steps := 0
	r, err := Run(context.Background(), Options{Targets: []string{addr}}, func() (replay.Planned, error) {
		steps++
		switch steps {
		case 1:
			return request(1, 0), nil
		case 2:
			<-first
			return follows, nil
		case 3:
			return request(3, 0), nil
		}
		return replay.Planned{}, io.EOF
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := []string{"00000001", "00000003", "00000002"}; !slices.Equal(order, want) || r.Dependent != 1 {
		t.Errorf("came in the order %v, want %v; %d waited", order, want, r.Dependent)
	}
}

// A target that says nothing costs the budget and no more; one that is not there is told as such.
func TestSilentAndAbsentTargets(t *testing.T) {
	addr := target(t, func(_ int, c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false })
	if r := run(t, Options{Targets: []string{addr}, Budget: 50 * time.Millisecond}, request(1, 0)); r.Overdue != 1 || r.Sent != 1 {
		t.Errorf("%+v", r)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if r := run(t, Options{Targets: []string{l.Addr().String()}}, request(1, 0)); r.Unsent["none came up"] != 1 || r.Sent != 0 {
		t.Errorf("%+v", r)
	}
}

// A kept connection that is closed as a request crosses it: the request goes once more, on a new one, and counts once.
func TestClosedAsItCame(t *testing.T) {
	addr := target(t, func(n int, c net.Conn, _ *http.Request) bool {
		if n == 1 {
			return false // without a byte
		}
		return say(c, 200)
	})
	second := request(2, 0)
	second.After = replay.Operation{Op: 1}
	if r := run(t, Options{Targets: []string{addr}, Connections: 1}, request(1, 0), second); r.Sent != 2 || r.Served != 2 || r.Broken != 0 {
		t.Errorf("%+v", r)
	}
}

// An end in the middle leaves nothing running and is told.
func TestEndedInTheMiddle(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	addr := target(t, func(_ int, c net.Conn, _ *http.Request) bool { cancel(); return say(c, 200) })
	late := request(2, 0)
	late.At = time.Hour
	r, err := Run(ctx, Options{Targets: []string{addr}}, of(request(1, 0), late))
	if err != nil || !r.Partial || r.Sent != 1 {
		t.Errorf("%+v, %v", r, err)
	}
	wrong := errors.New("disk")
	if _, err := Run(context.Background(), Options{Targets: []string{addr}}, func() (replay.Planned, error) { return replay.Planned{}, wrong }); err != wrong {
		t.Errorf("error %v", err)
	}
	if _, err := Run(context.Background(), Options{}, of()); err == nil || !strings.Contains(err.Error(), "no target") {
		t.Errorf("error %v", err)
	}
}
