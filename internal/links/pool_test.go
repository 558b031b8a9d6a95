package links

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

const timeout = 10 * time.Second

// listen accepts connections, sends nothing, and reports on ended each one that the other side closes.
func listen(t *testing.T) (addr string, ended chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended = make(chan struct{}, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(io.Discard, c)
				c.Close()
				ended <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), ended
}

func dial(t *testing.T, p *Pool, key, addr string) *Conn {
	t.Helper()
	c, err := p.Dial(context.Background(), key, addr, time.Now().Add(timeout))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func waitEnded(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(timeout):
		t.Fatal("no connection ended")
	}
}

// Guards against a leak: nothing is kept of a backend without connections.
func TestPoolForgets(t *testing.T) {
	addr, ended := listen(t)
	p := New(time.Minute, timeout, 0)
	c := dial(t, p, "s0", addr)
	if !c.IdleSince().IsZero() || c.Key() != "s0" {
		t.Errorf("a fresh connection of %q is idle since %v", c.Key(), c.IdleSince())
	}
	p.Release(c)
	if p.IdleCount("s0") != 1 || p.IdleCount("s1") != 0 || p.OpenCount() != 1 {
		t.Errorf("%d idle, %d open", p.IdleCount("s0"), p.OpenCount())
	}
	p.Retire("s0")
	p.Retire("s1")
	waitEnded(t, ended)
	if n := len(p.groups); n != 0 || p.OpenCount() != 0 || p.IdleCount("s0") != 0 {
		t.Errorf("%d groups and %d connections are left", n, p.OpenCount())
	}
}

// A connection is idle no longer than its server announced, nor than the pool allows.
func TestReleaseFor(t *testing.T) {
	for _, tt := range []struct {
		name    string
		maxIdle time.Duration
		rest    time.Duration // announced by the server
		slept   time.Duration
		usable  bool
	}{
		{"in time", time.Hour, time.Minute, time.Minute - 1, true},
		{"over the server's bound", time.Hour, time.Minute, time.Minute, false},
		{"over the pool's bound", time.Minute, time.Hour, time.Minute, false},
		{"none", time.Hour, 0, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, ended := listen(t)
			now := time.Now()
			p := New(tt.maxIdle, timeout, 0)
			p.Now = func() time.Time { return now }
			c := dial(t, p, "s0", addr)
			p.ReleaseFor(c, tt.rest)
			now = now.Add(tt.slept)
			if got := p.Get("s0"); (got == c) != tt.usable || (got == nil) == tt.usable {
				t.Errorf("Get: %v", got)
			}
			if tt.usable {
				p.Close(c)
			}
			waitEnded(t, ended)
			if p.OpenCount() != 0 {
				t.Errorf("%d connections are open", p.OpenCount())
			}
		})
	}
}

// The sweep is in time for a connection that may be idle for less than those given back before it, and leaves those; a later Release
// overrides an earlier ReleaseFor.
func TestSweepAfterReleaseFor(t *testing.T) {
	addr, ended := listen(t)
	p := New(time.Hour, timeout, 0)
	a, b, c := dial(t, p, "s0", addr), dial(t, p, "s0", addr), dial(t, p, "s0", addr)
	p.ReleaseFor(c, time.Minute)
	if p.Get("s0") != c {
		t.Fatal("Get did not return the released connection")
	}
	p.Release(c)
	p.Release(a)
	p.ReleaseFor(b, time.Millisecond)
	waitEnded(t, ended)
	if n := p.IdleCount("s0"); n != 2 {
		t.Errorf("%d idle, want 2", n)
	}
	p.mu.Lock()
	if left := time.Until(p.due); left > time.Hour || left < time.Hour-timeout {
		t.Errorf("the next sweep is due in %v", left)
	}
	p.mu.Unlock()
	p.CloseIdle("s0")
	if p.OpenCount() != 0 {
		t.Errorf("%d connections are open", p.OpenCount())
	}
}

// Control is called on each socket before it connects, and its error fails the dial.
func TestControl(t *testing.T) {
	addr, ended := listen(t)
	p := New(time.Minute, timeout, 0)
	refusal, seen := error(nil), 0
	p.Control = func(fd uintptr) error { seen++; return refusal }
	p.Close(dial(t, p, "s0", addr))
	waitEnded(t, ended)
	refusal = errors.New("no")
	if _, err := p.Dial(context.Background(), "s0", addr, time.Now().Add(timeout)); !errors.Is(err, refusal) || seen != 2 || p.OpenCount() != 0 {
		t.Errorf("%v, %d seen, %d open", err, seen, p.OpenCount())
	}
}
