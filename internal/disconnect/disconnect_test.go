package disconnect

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/simulation/network"
)

// pair is a connection of a client and a server, in virtual time.
func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	s := network.New(1)
	p := s.Machine("10.0.0.1", "north").Start()
	l, err := p.Listen("10.0.0.1:80", 0)
	if err != nil {
		t.Fatal(err)
	}
	if client, err = p.Dial(t.Context(), "10.0.0.1:80", 0); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.End)
	return client, server
}

// A close is noticed within an interval, by each who works for that peer and by nobody else; what was stopped hears of none.
func TestCloseIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair(t)
		_, other := pair(t)
		w := New(Interval)
		first, stopFirst := w.Context(server)
		second, stopSecond := w.Context(server)
		stopped, stop := w.Context(server)
		stays, stopStays := w.Context(other)
		defer stopStays()
		defer stopSecond()
		stop()
		time.Sleep(time.Second)
		if first.Err() != nil || second.Err() != nil || stays.Err() != nil {
			t.Fatal("a client that waits counts as gone")
		}
		closed := time.Now()
		client.Close()
		<-first.Done()
		<-second.Done()
		if took := time.Since(closed); took > Interval+10*time.Millisecond {
			t.Errorf("noticed after %v", took)
		}
		if !PeerClosed(first) || !PeerClosed(second) || PeerClosed(stopped) || PeerClosed(stays) {
			t.Errorf("causes: %v, %v, %v, %v", context.Cause(first), context.Cause(second), context.Cause(stopped), context.Cause(stays))
		}
		stopFirst() // again, after it ended by itself
	})
}

// Bytes of a next request hide a close until they are read, and a watcher without work has no timer.
func TestBytesHideAClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair(t)
		w := New(Interval)
		ctx, stop := w.Context(server)
		client.Write([]byte("GET"))
		client.Close()
		time.Sleep(time.Second)
		if ctx.Err() != nil {
			t.Error("bytes wait, and it counts as gone")
		}
		server.Read(make([]byte, 8))
		time.Sleep(2 * Interval)
		if !PeerClosed(ctx) {
			t.Error("the close is not noticed behind the bytes")
		}
		stop()
		if w.ticking || len(w.watched) > 0 {
			t.Error("it ticks on")
		}
	})
}

// Watches that come and go while others look leave nothing behind.
func TestComeAndGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, server := pair(t)
		w := New(Interval)
		done := make(chan error)
		for i := range 50 {
			go func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				ctx, stop := w.Context(server)
				time.Sleep(time.Duration(i%9) * 20 * time.Millisecond)
				err := ctx.Err()
				stop()
				done <- err
			}()
		}
		for range 50 {
			if err := <-done; err != nil {
				t.Error(errors.Unwrap(err), err)
			}
		}
		time.Sleep(2 * Interval)
		if w.ticking || len(w.watched) > 0 {
			t.Errorf("%d are watched, ticking %v", len(w.watched), w.ticking)
		}
	})
}
