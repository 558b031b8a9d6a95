package pacing

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/simulation/network"
)

const (
	megabits  = 8.0
	bandwidth = megabits * 1e6 / 8 // bytes per second
	bulk      = 400_000            // bytes of a large message
	small     = 1000               // bytes of a small message
)

// sendOverLink sends large messages on three connections over a narrow link, and small ones on another meanwhile. It returns how long
// the slowest small one took, and all large ones together.
func sendOverLink(t *testing.T, p *Pacer) (slowest, all time.Duration) {
	t.Helper()
	s := network.New(1)
	from, to := s.Machine("10.0.0.1", "north"), s.Machine("10.0.0.2", "north")
	s.Narrow(from, bandwidth)
	a, b := from.Start(), to.Start()
	defer a.End()
	defer b.End()
	l, err := b.Listen("10.0.0.2:80", 0)
	if err != nil {
		t.Fatal(err)
	}
	dial := func() (sender, receiver net.Conn) {
		if sender, err = a.Dial(t.Context(), "10.0.0.2:80", 0); err != nil {
			t.Fatal(err)
		}
		if receiver, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		return sender, receiver
	}
	start := time.Now()
	done := make(chan int64)
	for range 3 {
		sender, receiver := dial()
		go func() {
			p.Writer(sender).Write(make([]byte, bulk))
			sender.Close()
		}()
		go func() {
			n, _ := io.Copy(io.Discard, receiver)
			done <- n
		}()
	}
	sender, receiver := dial()
	for range 20 {
		time.Sleep(40 * time.Millisecond)
		sent := time.Now()
		p.Writer(sender).Write(make([]byte, small))
		io.ReadFull(receiver, make([]byte, small))
		slowest = max(slowest, time.Since(sent))
	}
	for range 3 {
		if n := <-done; n != bulk {
			t.Errorf("%d of %d bytes arrived", n, bulk)
		}
	}
	return slowest, time.Since(start)
}

// Small messages do not wait behind large ones, and the large ones take little longer than the link needs for them.
func TestSmallAheadOfLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unpaced, _ := sendOverLink(t, New(0))
		paced, all := sendOverLink(t, New(megabits))
		if paced > 40*time.Millisecond || unpaced < 2*paced {
			t.Errorf("the slowest small message took %v, unpaced %v", paced, unpaced)
		}
		if limit := time.Duration(3 * bulk / bandwidth * 1.25 * float64(time.Second)); all > limit {
			t.Errorf("the large messages took %v, more than %v", all, limit)
		}
	})
}

// A link of unknown or high bandwidth delays nothing, and messages of any size arrive unchanged.
func TestUnpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, p := range []*Pacer{nil, {}, New(-1), New(10_000)} {
			start := time.Now()
			for _, size := range []int{0, 1, chunkBytes, chunkBytes + 1, 5*chunkBytes + 3} {
				var got bytes.Buffer
				sent := bytes.Repeat([]byte("abc"), size/3+1)[:size]
				if n, err := p.Writer(&got).Write(sent); n != size || err != nil || !bytes.Equal(got.Bytes(), sent) {
					t.Errorf("%d of %d bytes, %v", n, size, err)
				}
			}
			if took := time.Since(start); took > 0 {
				t.Errorf("delayed by %v", took)
			}
		}
	})
}

// A failed write ends a message and reports how many bytes were written.
func TestWriteFails(t *testing.T) {
	r, w := io.Pipe()
	go func() {
		io.ReadFull(r, make([]byte, 2*chunkBytes))
		r.Close()
	}()
	if n, err := New(1e6).Writer(w).Write(make([]byte, 4*chunkBytes)); n != 2*chunkBytes || err != io.ErrClosedPipe {
		t.Errorf("%d bytes, %v", n, err)
	}
}
