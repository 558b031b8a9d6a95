package network

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// ends are two ends of a connection between machines a and b, and what is needed to trouble them.
type ends struct {
	s    *Sea
	a, b *Machine
	p, q *Process
	x, y net.Conn // at a, at b
}

func connect(t *testing.T, quiet time.Duration) *ends {
	t.Helper()
	e := &ends{s: New(1)}
	e.a, e.b = e.s.Machine("10.0.0.1", "z1"), e.s.Machine("10.0.0.2", "z2")
	e.p, e.q = e.a.Start(), e.b.Start()
	l, err := e.q.Listen("10.0.0.2:80", 0)
	if err != nil {
		t.Fatal(err)
	}
	if e.x, err = e.p.Dial(context.Background(), "10.0.0.2:80", quiet); err != nil {
		t.Fatal(err)
	}
	if e.y, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return e
}

// packets are sockets for datagrams at a and at b.
func (e *ends) packets(t *testing.T) (at, to net.PacketConn) {
	t.Helper()
	at, err := e.p.ListenPacket("10.0.0.1:81")
	if err != nil {
		t.Fatal(err)
	}
	if to, err = e.q.ListenPacket("10.0.0.2:81"); err != nil {
		t.Fatal(err)
	}
	return at, to
}

func read(c net.Conn) (string, error) {
	b := make([]byte, 100)
	n, err := c.Read(b)
	return string(b[:n]), err
}

// Connections do what those of TCP do.
func TestSea(t *testing.T) {
	for name, f := range map[string]func(t *testing.T){
		"bytes take their time, and an end is read behind them": func(t *testing.T) {
			e := connect(t, 0)
			begun := time.Now()
			e.x.Write([]byte("hello"))
			if quiet, bytes := e.y.(*Conn).Quiet(); !quiet || bytes {
				t.Error("they are there at once")
			}
			e.x.Close()
			got, err := read(e.y)
			if took := time.Since(begun); got != "hello" || err != nil || took < crossLow || took > crossHigh {
				t.Error(got, err, took)
			}
			if _, err := read(e.y); err != io.EOF {
				t.Error(err)
			}
		},
		"a close with bytes unread resets": func(t *testing.T) {
			e := connect(t, 0)
			e.x.Write([]byte("hello"))
			time.Sleep(time.Millisecond)
			e.y.Close()
			if _, err := read(e.x); !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
		},
		"a write to a closed end is reset afterwards": func(t *testing.T) {
			e := connect(t, 0)
			e.y.Close()
			time.Sleep(time.Millisecond)
			if _, err := e.x.Write([]byte("hello")); err != nil {
				t.Error(err)
			}
			time.Sleep(2 * time.Millisecond)
			if _, err := e.x.Write([]byte("hello")); !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
		},
		"a window holds the writer up, and deadlines end the wait": func(t *testing.T) {
			e := connect(t, 0)
			e.x.SetWriteDeadline(time.Now().Add(time.Second))
			n, err := e.x.Write(make([]byte, 100<<10))
			if n != window || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(n, err)
			}
		},
		"a cut of one way passes the other, whose bytes nobody acknowledges": func(t *testing.T) {
			e := connect(t, time.Second)
			e.s.CutWay(e.b, e.a)
			e.x.Write([]byte("hello"))
			if got, err := read(e.y); got != "hello" || err != nil {
				t.Error(got, err)
			}
			begun := time.Now()
			if _, err := read(e.x); !errors.Is(err, syscall.ETIMEDOUT) || time.Since(begun) > 1100*time.Millisecond {
				t.Error(err, time.Since(begun))
			}
			e.s.JoinWay(e.b, e.a)
			e = connect(t, 0)
			e.s.CutWay(e.b, e.a)
			e.y.Write([]byte("hello"))
			e.x.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := read(e.x); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			e.x.SetReadDeadline(time.Time{})
			e.s.JoinWay(e.b, e.a)
			if got, err := read(e.x); got != "hello" || err != nil {
				t.Error(got, err)
			}
		},
		"a cut holds bytes, which come when it is over": func(t *testing.T) {
			e := connect(t, 0)
			e.s.Cut(e.a, e.b)
			e.x.Write([]byte("hello"))
			e.y.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := read(e.y); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			e.y.SetReadDeadline(time.Time{})
			e.s.Join(e.a, e.b)
			if got, err := read(e.y); got != "hello" || err != nil {
				t.Error(got, err)
			}
		},
		"a quiet ends a connection behind a cut": func(t *testing.T) {
			e := connect(t, time.Second)
			e.s.Cut(e.a, e.b)
			begun := time.Now()
			e.x.Write([]byte("hello"))
			if _, err := read(e.x); !errors.Is(err, syscall.ETIMEDOUT) || time.Since(begun) != time.Second {
				t.Error(err, time.Since(begun))
			}
		},
		"a quiet ends a connection whose window stays shut, and none on which it opens in time": func(t *testing.T) {
			e := connect(t, time.Second)
			begun := time.Now()
			go func() {
				for range 4 {
					time.Sleep(700 * time.Millisecond)
					read(e.y)
				}
			}()
			n, err := e.x.Write(make([]byte, 100<<10))
			if took := time.Since(begun); n < window || !errors.Is(err, syscall.ETIMEDOUT) || took.Round(10*time.Millisecond) != 3800*time.Millisecond {
				t.Error(n, err, took)
			}
			if _, err := io.Copy(io.Discard, e.y); !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
		},
		"power takes a machine without a word, and its return resets": func(t *testing.T) {
			e := connect(t, 0)
			e.b.PowerOff()
			e.q.End()
			e.x.SetReadDeadline(time.Now().Add(time.Minute))
			if _, err := read(e.x); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if _, err := e.p.Dial(ctx, "10.0.0.2:80", 0); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error(err)
			}
			e.x.SetReadDeadline(time.Time{})
			e.b.PowerOn()
			if _, err := read(e.x); !errors.Is(err, syscall.ECONNRESET) {
				t.Error(err)
			}
			if _, err := e.p.Dial(context.Background(), "10.0.0.2:80", 0); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Error(err)
			}
		},
		"a process that ends closes all that it had": func(t *testing.T) {
			e := connect(t, 0)
			e.q.End()
			if _, err := read(e.x); err != io.EOF {
				t.Error(err)
			}
			if _, err := e.q.Listen("10.0.0.2:81", 0); err == nil {
				t.Error("it listens")
			}
		},
		"a narrow link passes bytes one behind the other, and drops datagrams that would wait long": func(t *testing.T) {
			e := connect(t, 0)
			e.s.Narrow(e.b, 10_000)
			begun := time.Now()
			e.x.Write(make([]byte, 5_000-overhead))
			e.x.Write(make([]byte, 5_000-overhead))
			out, in := e.packets(t)
			out.WriteTo([]byte("lost"), in.LocalAddr())
			for n := 0; n < 10_000-2*overhead; {
				k, err := e.y.Read(make([]byte, 20_000))
				if n += k; err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(begun); took < time.Second || took > time.Second+crossHigh {
				t.Error(took)
			}
			out.WriteTo([]byte("there"), in.LocalAddr())
			b := make([]byte, 10)
			if n, _, err := in.ReadFrom(b); err != nil || string(b[:n]) != "there" {
				t.Error(string(b[:n]), err)
			}
		},
		"lost packets are sent again, in order, and lost datagrams are not": func(t *testing.T) {
			e := connect(t, 0)
			out, in := e.packets(t)
			e.s.Lossy(e.a, 0.3)
			begun := time.Now()
			for i := range 100 {
				out.WriteTo([]byte{byte(i)}, in.LocalAddr())
				e.x.Write([]byte{byte(i)})
			}
			for i := range 100 {
				b := []byte{0}
				if _, err := io.ReadFull(e.y, b); err != nil || b[0] != byte(i) {
					t.Fatal(i, b, err)
				}
			}
			if took := time.Since(begun); took < resend {
				t.Error("nothing was late:", took)
			}
			in.SetReadDeadline(time.Now().Add(time.Second))
			came := 0
			for _, _, err := in.ReadFrom(make([]byte, 10)); err == nil; _, _, err = in.ReadFrom(make([]byte, 10)) {
				came++
			}
			if came < 50 || came > 90 {
				t.Error(came, "datagrams came")
			}
		},
		"a frozen machine reads when it goes on": func(t *testing.T) {
			e := connect(t, time.Second)
			e.b.Freeze(true)
			e.x.Write([]byte("hello"))
			time.AfterFunc(5*time.Second, func() { e.b.Freeze(false) })
			begun := time.Now()
			if got, err := read(e.y); got != "hello" || err != nil || time.Since(begun) != 5*time.Second {
				t.Error(got, err, time.Since(begun))
			}
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
}
