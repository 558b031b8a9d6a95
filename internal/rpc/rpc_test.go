package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"saltmast/internal/errcode"
)

func framed(id uint32, kind uint8, p errcode.Kind, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(6+len(body)))
	b = binary.BigEndian.AppendUint32(b, id)
	return append(append(b, kind, byte(p)), body...)
}

// A frame is read whole or not at all, wherever the stream is cut. A large announced length allocates no memory before the data
// arrives.
func TestFrames(t *testing.T) {
	for _, size := range []int{0, 1, 100, 3 * initialBodyBytes / 2} {
		body := bytes.Repeat([]byte("x"), size)
		raw := framed(7, 3, errcode.NotFound, body)
		step := max(1, len(raw)/997)
		for cut := 0; cut < len(raw); cut += step {
			if f, err := readFrame(bufio.NewReader(bytes.NewReader(raw[:cut]))); err == nil || len(f.body) > 0 || cut > headerBytes && err != io.ErrUnexpectedEOF {
				t.Fatalf("cut at %d of %d: %d bytes, %v", cut, len(raw), len(f.body), err)
			}
		}
		f, err := readFrame(bufio.NewReader(bytes.NewReader(append(raw, 1, 2, 3))))
		if err != nil || f.id != 7 || f.kind != 3 || f.err != errcode.NotFound || !bytes.Equal(f.body, body) {
			t.Errorf("%d bytes: %+v, %v", size, f.id, err)
		}
	}
	for _, n := range []uint32{0, 5, MaxFrame + 1, 1<<32 - 1} {
		raw := framed(1, 1, 0, nil)
		binary.BigEndian.PutUint32(raw, n)
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(raw))); err == nil {
			t.Errorf("a length of %d was accepted", n)
		}
	}
	raw := framed(1, 1, 0, []byte("y"))
	binary.BigEndian.PutUint32(raw, MaxFrame)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	readFrame(bufio.NewReader(bytes.NewReader(raw)))
	if runtime.ReadMemStats(&after); after.TotalAlloc-before.TotalAlloc > 1<<20 {
		t.Errorf("%d bytes allocated for a frame of which one byte arrived", after.TotalAlloc-before.TotalAlloc)
	}
}

func listen(t *testing.T, addr string) net.Listener {
	t.Helper()
	l, err := Listen(nil, addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Calls under way fail when their connection ends, each once, and the next call makes a new connection.
func TestClientOverTwoConnections(t *testing.T) {
	l := listen(t, "127.0.0.1:0")
	addr := l.Addr().String()
	held := make(chan Call, 8)
	serve := func(l net.Listener) *Server {
		return Serve(l, func(c Call) {
			if c.Kind == 2 {
				held <- c // never answered
				return
			}
			c.Reply(string(c.Body), nil)
		})
	}
	s := serve(l)
	c := NewClient(nil, addr)
	defer c.Close()
	var got string
	if err := c.Call(1, "one", &got, time.Minute); err != nil || !strings.HasSuffix(got, "one") {
		t.Fatalf("%q, %v", got, err)
	}
	const n = 5
	done := make(chan error, n+1)
	for range n {
		c.Go(2, nil, func(_ []byte, err error) { done <- err })
	}
	for range n {
		<-held
	}
	s.Close()
	for range n {
		if err := <-done; errcode.Of(err) != errcode.ConnectionLost {
			t.Errorf("%v for a call whose connection ended", err)
		}
	}
	s = serve(listen(t, addr))
	defer s.Close()
	for end := time.Now().Add(20 * time.Second); ; {
		err := c.Call(1, "two", &got, time.Minute)
		if err == nil {
			break
		}
		if k := errcode.Of(err); k != errcode.ConnectionLost && k != errcode.Unreachable || time.Now().After(end) {
			t.Fatal(err)
		}
	}
	if !strings.HasSuffix(got, "two") || len(done) > 0 {
		t.Errorf("%q, %d calls ended twice", got, len(done))
	}
	c.Close()
	if err := c.Call(1, "three", &got, time.Minute); errcode.Of(err) != errcode.Unreachable {
		t.Errorf("%v for a call of a closed client", err)
	}
}

// A peer that does not read takes at most maxQueuedBytes: then its connection is closed. Senders never block. Bytes that the writer
// has taken count as queued, at whatever point it took them.
func TestPeerThatDoesNotRead(t *testing.T) {
	const frames = maxQueuedBytes>>20 + 4
	body := make([]byte, 1<<20)
	for _, first := range []int{0, 1, frames / 2, frames - 5} { // frames queued before the writer starts to write
		near, far := net.Pipe()
		defer far.Close()
		l := newLink(near)
		for range first {
			l.send(1, 1, errcode.OK, body)
		}
		if first > 0 {
			if _, err := far.Read(make([]byte, 1)); err != nil { // the writer is in the middle of a write
				t.Fatal(err)
			}
		}
		for range frames - first {
			l.send(1, 1, errcode.OK, body)
		}
		far.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := io.Copy(io.Discard, far); err != nil {
			t.Errorf("%d frames queued first: %v after %d more bytes", first, err, n)
		}
		l.mu.Lock()
		if !l.ended || l.writing+len(l.out) > maxQueuedBytes {
			t.Errorf("%d frames queued first: ended %v with %d bytes", first, l.ended, l.writing+len(l.out))
		}
		l.mu.Unlock()
	}
}

// An owner runs commands in order, and Do reports false once the owner has stopped.
func TestOwner(t *testing.T) {
	o := StartOwner(&[]int{}, 4)
	for i := range 100 {
		o.Send(func(s *[]int) { *s = append(*s, i) })
	}
	n := 0
	if !o.Do(func(s *[]int) {
		for i, x := range *s {
			if i == x {
				n++
			}
		}
	}) || n != 100 {
		t.Errorf("%d of 100 in order", n)
	}
	o.Stop()
	o.Stop()
	if o.Do(func(*[]int) {}) {
		t.Error("a command ran after Stop")
	}
}

func FuzzFrame(f *testing.F) {
	f.Add(framed(1, 2, 3, Encode(map[string]int{"a": 1})))
	f.Add([]byte{0, 0, 0, 7, 0, 0, 0, 1, 1, 0, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := bufio.NewReader(bytes.NewReader(raw))
		for at := 0; ; {
			fr, err := readFrame(in)
			if err != nil {
				return
			}
			reencoded := framed(fr.id, fr.kind, fr.err, fr.body)
			if !bytes.HasPrefix(raw[at:], reencoded) {
				t.Fatalf("read %x at %d of %x", reencoded, at, raw)
			}
			at += len(reencoded)
			var v any
			if err := Decode(fr.body, &v); err != nil && errcode.Of(err) != errcode.Malformed {
				t.Fatalf("%v", err)
			}
		}
	})
}
