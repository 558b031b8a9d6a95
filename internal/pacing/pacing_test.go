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
	megabits = 8.0
	width    = megabits * 1e6 / 8 // bytes a second
	bulk     = 400_000
	small    = 1000
)

// overLink sends large messages on three connections over a narrow link, and small ones on another meanwhile. It tells how long the
// slowest small one took, and all large ones together.
func overLink(t *testing.T, p *Pacer) (slowest, all time.Duration) {
	t.Helper()
	s := network.New(1)
	from, to := s.Machine("10.0.0.1", "north"), s.Machine("10.0.0.2", "north")
	s.Narrow(from, width)
	a, b := from.Start(), to.Start()
	defer a.End()
	defer b.End()
	l, err := b.Listen("10.0.0.2:80", 0)
	if err != nil {
		t.Fatal(err)
	}
	dial := func() (sends, takes net.Conn) {
		if sends, err = a.Dial(t.Context(), "10.0.0.2:80", 0); err != nil {
			t.Fatal(err)
		}
		if takes, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		return sends, takes
	}
	begun := time.Now()
	done := make(chan int64)
	for range 3 {
		sends, takes := dial()
		go func() {
			p.Writer(sends).Write(make([]byte, bulk))
			sends.Close()
		}()
		go func() {
			n, _ := io.Copy(io.Discard, takes)
			done <- n
		}()
	}
	sends, takes := dial()
	for range 20 {
		time.Sleep(40 * time.Millisecond)
		at := time.Now()
		p.Writer(sends).Write(make([]byte, small))
		io.ReadFull(takes, make([]byte, small))
		slowest = max(slowest, time.Since(at))
	}
	for range 3 {
		if n := <-done; n != bulk {
			t.Errorf("%d of %d bytes came", n, bulk)
		}
	}
	return slowest, time.Since(begun)
}

// Small messages do not wait behind large ones, and those take little longer than the link does.
func TestSmallAheadOfLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unpaced, _ := overLink(t, New(0))
		paced, all := overLink(t, New(megabits))
		if paced > 40*time.Millisecond || unpaced < 2*paced {
			t.Errorf("the slowest small message took %v, unpaced %v", paced, unpaced)
		}
		if most := time.Duration(3 * bulk / width * 1.25 * float64(time.Second)); all > most {
			t.Errorf("the large ones took %v, more than %v", all, most)
		}
	})
}

// A link of unknown width, or a wide one, holds nothing up; what is written arrives as it was, whatever its size.
func TestUnpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, p := range []*Pacer{nil, {}, New(-1), New(10_000)} {
			begun := time.Now()
			for _, size := range []int{0, 1, chunkBytes, chunkBytes + 1, 5*chunkBytes + 3} {
				var got bytes.Buffer
				sent := bytes.Repeat([]byte("abc"), size/3+1)[:size]
				if n, err := p.Writer(&got).Write(sent); n != size || err != nil || !bytes.Equal(got.Bytes(), sent) {
					t.Errorf("%d of %d bytes, %v", n, size, err)
				}
			}
			if took := time.Since(begun); took > 0 {
				t.Errorf("held up for %v", took)
			}
		}
	})
}

// A write that fails ends a message, and says how much was written.
func TestBrokenAmid(t *testing.T) {
	r, w := io.Pipe()
	go func() {
		io.ReadFull(r, make([]byte, 2*chunkBytes))
		r.Close()
	}()
	if n, err := New(1e6).Writer(w).Write(make([]byte, 4*chunkBytes)); n != 2*chunkBytes || err != io.ErrClosedPipe {
		t.Errorf("%d bytes, %v", n, err)
	}
}
