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

// connect returns both ends of a connection, in virtual time.
func connect(t *testing.T) (client, server net.Conn) {
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

// A close cancels all work for that peer within an interval, no work for others, and no work that was stopped before.
func TestPeerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t)
		_, other := connect(t)
		w := New(Interval)
		first, stopFirst := w.Context(server)
		second, stopSecond := w.Context(server)
		stopped, stop := w.Context(server)
		otherWork, stopOther := w.Context(other)
		defer stopOther()
		defer stopSecond()
		stop()
		time.Sleep(time.Second)
		if first.Err() != nil || second.Err() != nil || otherWork.Err() != nil {
			t.Fatal("a waiting client counts as disconnected")
		}
		closed := time.Now()
		client.Close()
		<-first.Done()
		<-second.Done()
		if took := time.Since(closed); took > Interval+10*time.Millisecond {
			t.Errorf("detected after %v", took)
		}
		if !PeerClosed(first) || !PeerClosed(second) || PeerClosed(stopped) || PeerClosed(otherWork) {
			t.Errorf("causes: %v, %v, %v, %v", context.Cause(first), context.Cause(second), context.Cause(stopped), context.Cause(otherWork))
		}
		stopFirst() // again, after the close ended the watch
	})
}

// Bytes of a next request hide a close until they are read, and a watcher without work has no timer.
func TestUnreadBytesHideClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t)
		w := New(Interval)
		ctx, stop := w.Context(server)
		client.Write([]byte("GET"))
		client.Close()
		time.Sleep(time.Second)
		if ctx.Err() != nil {
			t.Error("disconnected, though bytes are unread")
		}
		server.Read(make([]byte, 8))
		time.Sleep(2 * Interval)
		if !PeerClosed(ctx) {
			t.Error("the close behind the bytes is not detected")
		}
		stop()
		if w.ticking || len(w.watched) > 0 {
			t.Error("the watcher still has a timer or a watch")
		}
	})
}

// Concurrent watches that start and stop leave nothing behind.
func TestConcurrentWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, server := connect(t)
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
			t.Errorf("%d watches left, ticking %v", len(w.watched), w.ticking)
		}
	})
}
