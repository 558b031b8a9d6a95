package links

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

const long = 10 * time.Second

// listen accepts connections, says nothing and tells of each one that the other side has ended.
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
	c, err := p.Dial(context.Background(), key, addr, time.Now().Add(long))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func wait(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(long):
		t.Fatal("no connection ended")
	}
}

// Guards against what only grows: nothing is kept of a backend without connections.
func TestPoolForgets(t *testing.T) {
	addr, ended := listen(t)
	p := New(time.Minute, long, 0)
	c := dial(t, p, "s0", addr)
	if !c.IdleSince().IsZero() || c.Key() != "s0" {
		t.Errorf("a fresh connection by %q rests since %v", c.Key(), c.IdleSince())
	}
	p.Release(c)
	if p.IdleCount("s0") != 1 || p.IdleCount("s1") != 0 || p.OpenCount() != 1 {
		t.Errorf("%d idle, %d open", p.IdleCount("s0"), p.OpenCount())
	}
	p.Retire("s0")
	p.Retire("s1")
	wait(t, ended)
	if n := len(p.groups); n != 0 || p.OpenCount() != 0 || p.IdleCount("s0") != 0 {
		t.Errorf("%d groups and %d connections are left", n, p.OpenCount())
	}
}

// A connection rests no longer than its server has announced, nor than the pool lets it.
func TestReleaseFor(t *testing.T) {
	for _, tt := range []struct {
		name    string
		maxIdle time.Duration
		rest    time.Duration
		slept   time.Duration
		good    bool
	}{
		{"in time", time.Hour, time.Minute, time.Minute - 1, true},
		{"over its own", time.Hour, time.Minute, time.Minute, false},
		{"over the pool's", time.Minute, time.Hour, time.Minute, false},
		{"none", time.Hour, 0, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, ended := listen(t)
			now := time.Now()
			p := New(tt.maxIdle, long, 0)
			p.Now = func() time.Time { return now }
			c := dial(t, p, "s0", addr)
			p.ReleaseFor(c, tt.rest)
			now = now.Add(tt.slept)
			if got := p.Get("s0"); (got == c) != tt.good || (got == nil) == tt.good {
				t.Errorf("taken: %v", got)
			}
			if tt.good {
				p.Close(c)
			}
			wait(t, ended)
			if p.OpenCount() != 0 {
				t.Errorf("%d connections are open", p.OpenCount())
			}
		})
	}
}

// The sweep comes in time for one that may rest less than those given back before it, and leaves these; a later Release undoes
// an earlier announcement.
func TestSweepByAnnouncement(t *testing.T) {
	addr, ended := listen(t)
	p := New(time.Hour, long, 0)
	a, b, c := dial(t, p, "s0", addr), dial(t, p, "s0", addr), dial(t, p, "s0", addr)
	p.ReleaseFor(c, time.Minute)
	if p.Get("s0") != c {
		t.Fatal("not taken")
	}
	p.Release(c)
	p.Release(a)
	p.ReleaseFor(b, time.Millisecond)
	wait(t, ended)
	if n := p.IdleCount("s0"); n != 2 {
		t.Errorf("%d are idle, want 2", n)
	}
	p.mu.Lock()
	if left := time.Until(p.due); left > time.Hour || left < time.Hour-long {
		t.Errorf("the next sweep is due in %v", left)
	}
	p.mu.Unlock()
	p.CloseIdle("s0")
	if p.OpenCount() != 0 {
		t.Errorf("%d connections are open", p.OpenCount())
	}
}

// Control sees each socket before it connects, and what it refuses is not dialled.
func TestControl(t *testing.T) {
	addr, ended := listen(t)
	p := New(time.Minute, long, 0)
	no, seen := error(nil), 0
	p.Control = func(fd uintptr) error { seen++; return no }
	p.Close(dial(t, p, "s0", addr))
	wait(t, ended)
	no = errors.New("no")
	if _, err := p.Dial(context.Background(), "s0", addr, time.Now().Add(long)); !errors.Is(err, no) || seen != 2 || p.OpenCount() != 0 {
		t.Errorf("%v, %d seen, %d open", err, seen, p.OpenCount())
	}
}
