package integration

import (
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestStop stops a tug under traffic: every request that was sent on an open connection is answered.
func TestStop(t *testing.T) {
	t.Parallel()
	m := up(t)
	a, b := m.side("alpha"), m.side("beta")
	var stopping, out atomic.Bool // a is asked to stop; the platform sends no more clients there
	var sent, unanswered, good atomic.Int64
	var clients sync.WaitGroup
	client := func(at *Machine, each bool, r Request) {
		clients.Go(func() {
			var c *Conn
			for {
				if c == nil {
					if at == a && out.Load() {
						return
					}
					var err error
					if c, err = Dial(at.Outbound()); err != nil {
						if at == a && stopping.Load() { // a client that comes too late knows that nothing was taken
							return
						}
						t.Errorf("a client of %s: %v", at.Name, err)
						return
					}
				}
				r.ID = ""
				sent.Add(1)
				got := c.Ask(r)
				switch {
				case got.Err != nil:
					unanswered.Add(1)
					t.Errorf("a client of %s, each %t, %s: %v", at.Name, each, r.Path, got.Err)
					got.Close = true
				case got.Good():
					good.Add(1)
				}
				if got.Close || each || out.Load() && at == b {
					c.Close()
					c = nil
					if out.Load() {
						return
					}
				}
			}
		})
	}
	for _, service := range []string{"alpha", "beta"} {
		for _, x := range []*Machine{a, b} {
			for _, work := range []string{"0", "5"} {
				r := Request{Method: "POST", Path: "/free/" + service + "/s", Body: []byte("body"), Header: []string{HeaderWork + ": " + work}}
				client(x, false, r)
				client(x, true, r)
			}
		}
	}
	Await(t, "traffic", func() bool { return good.Load() > 200 })
	// Two that are at work in the moment of the signal: of the tug's own client, and over a hop.
	slow := make(chan Answer, 2)
	for _, x := range []*Machine{a, b} {
		go func() {
			slow <- Ask(x.Outbound(), Request{Path: "/free/alpha/slow", Header: []string{HeaderWork + ": 1200"}, Left: 7 * time.Second})
		}()
	}
	Await(t, "both are at work", func() bool { return a.Backend.Begun("/free/alpha/slow") == 2 })
	stopping.Store(true)
	a.Tug.Signal(syscall.SIGTERM)
	a.Tug.AwaitSaid(t, 0, "stopping", "")
	Await(t, "it is not ready", func() bool { return !a.Ready() })
	after := sent.Load()
	Await(t, "clients of it are answered still", func() bool { return sent.Load() > after+20 })
	out.Store(true)
	clients.Wait()
	for range 2 {
		if got := <-slow; !got.Good() {
			t.Errorf("at work when the tug was stopped: %v", got)
		}
	}
	if s := a.Tug.Wait(); s.ExitCode() != 0 {
		t.Errorf("the tug ended with %v", s)
	}
	t.Logf("%d sent, %d good, %d unanswered", sent.Load(), good.Load(), unanswered.Load())
}
