// Package quorum speaks with those that count: it holds a client to each purser of the roll, sends one call to all of them
// and gathers the answers. What the answers mean is decided by the rooms ballot and tally.
package quorum

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// Council is the clients to the pursers of the newest roll that was heard of.
type Council struct {
	net     sock.Net
	mu      sync.Mutex
	roll    messages.Roll
	clients []*rpc.Client
	newer   chan struct{} // closed when a newer roll is taken

	learning atomic.Bool
}

// New returns one that knows of nobody. n: nil for the system's network.
func New(n sock.Net) *Council { return &Council{net: n, newer: make(chan struct{})} }

// Roll is the newest roll.
func (c *Council) Roll() messages.Roll {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roll
}

// Take takes a roll if it is newer, and reports whether it was.
func (c *Council) Take(r messages.Roll) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Epoch <= c.roll.Epoch {
		return false
	}
	old := map[string]*rpc.Client{}
	for _, cl := range c.clients {
		old[cl.Addr()] = cl
	}
	c.roll, c.clients = r, nil
	for _, v := range r.Voters {
		cl := old[v.Addr]
		if cl == nil {
			cl = rpc.NewClient(c.net, v.Addr)
		}
		delete(old, v.Addr)
		c.clients = append(c.clients, cl)
	}
	for _, cl := range old {
		cl.Close()
	}
	close(c.newer)
	c.newer = make(chan struct{})
	return true
}

// Newer is closed once there is a newer roll than that of epoch.
func (c *Council) Newer(epoch uint64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roll.Epoch > epoch {
		over := make(chan struct{})
		close(over)
		return over
	}
	return c.newer
}

const (
	learnTime = 250 * time.Millisecond
	againTime = 20 * time.Millisecond
)

// Learn asks the voter of a place, which said that an epoch has ended, who counts now. It holds the call until it knows. One
// such call is under way at a time.
func (c *Council) Learn(place int, epoch uint64) {
	cl := c.Client(place)
	if cl == nil || !c.learning.CompareAndSwap(false, true) {
		return
	}
	call := messages.WatchCall{Have: configuration.Ballot{N: 1 << 62}, HoldMs: uint32(learnTime.Milliseconds()), Epoch: epoch}
	go func() {
		defer c.learning.Store(false)
		var w messages.Watched
		if cl.Call(messages.Watch, call, &w, 2*learnTime) == nil {
			c.Take(w.Roll)
		}
	}()
}

// Await waits after a vote that failed since an epoch had ended, until a newer roll is known or for a moment: members of the
// newest may have yet to take their office over. It reports whether to ask again before end.
func (c *Council) Await(epoch uint64, end time.Time) bool {
	t := time.NewTimer(min(againTime, time.Until(end)))
	defer t.Stop()
	select {
	case <-c.Newer(epoch):
	case <-t.C:
	}
	return time.Now().Before(end)
}

// Client is the client to the voter of a place; nil: there is none.
func (c *Council) Client(place int) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if place >= len(c.clients) {
		return nil
	}
	return c.clients[place]
}

// Close ends all clients.
func (c *Council) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.Close()
	}
}

// Told is what one member answered.
type Told struct {
	Place int
	Body  []byte
	Err   error
}

// Gather sends one call to all members and hands their answers to each, one by one, until that says enough, all have answered
// or wait is over. message gives it for a member; nil: it gets none. Answers that come later are dropped.
func (c *Council) Gather(kind uint8, message func(place int) []byte, wait time.Duration, each func(Told) (enough bool)) error {
	c.mu.Lock()
	clients := c.clients
	c.mu.Unlock()
	if len(clients) == 0 {
		return errcode.New(errcode.NoQuorum, "nobody known that counts")
	}
	if wait <= 0 {
		return errcode.New(errcode.NoQuorum, "no time is left")
	}
	ch := make(chan Told, len(clients))
	ids := map[int]uint32{}
	why := "" // of the last that failed
	for i, cl := range clients {
		if body := message(i); body != nil {
			ids[i] = cl.Go(kind, body, func(b []byte, err error) { ch <- Told{i, b, err} })
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for len(ids) > 0 {
		select {
		case told := <-ch:
			delete(ids, told.Place)
			if told.Err != nil {
				why = fmt.Sprintf(": %s: %v", clients[told.Place].Addr(), told.Err)
			}
			if each(told) {
				return nil // the others' answers are dropped as they come; a peer that says nothing is noticed by its own link
			}
		case <-t.C:
			for i, id := range ids {
				clients[i].Forget(id)
			}
			return errcode.New(errcode.NoQuorum, "no majority within %v%s", wait.Round(time.Millisecond), why)
		}
	}
	return errcode.New(errcode.NoQuorum, "no majority%s", why)
}
