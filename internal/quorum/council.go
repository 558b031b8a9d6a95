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

// Client is the clients to the pursers of the newest roll that was heard of.
type Client struct {
	net      sock.Net
	mu       sync.Mutex
	voterSet messages.Roll
	clients  []*rpc.Client
	updated  chan struct{} // closed when a newer roll is taken

	fetching atomic.Bool
}

// New returns one that knows of nobody. n: nil for the system's network.
func New(n sock.Net) *Client { return &Client{net: n, updated: make(chan struct{})} }

// VoterSet is the newest roll.
func (c *Client) VoterSet() messages.Roll {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voterSet
}

// Update takes a roll if it is newer, and reports whether it was.
func (c *Client) Update(r messages.Roll) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Epoch <= c.voterSet.Epoch {
		return false
	}
	old := map[string]*rpc.Client{}
	for _, cl := range c.clients {
		old[cl.Addr()] = cl
	}
	c.voterSet, c.clients = r, nil
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
	close(c.updated)
	c.updated = make(chan struct{})
	return true
}

// NewerThan is closed once there is a newer roll than that of epoch.
func (c *Client) NewerThan(epoch uint64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.voterSet.Epoch > epoch {
		over := make(chan struct{})
		close(over)
		return over
	}
	return c.updated
}

const (
	fetchWait  = 250 * time.Millisecond
	retryDelay = 20 * time.Millisecond
)

// FetchVoterSet asks the voter of a place, which said that an epoch has ended, who counts now. It holds the call until it knows. One
// such call is under way at a time.
func (c *Client) FetchVoterSet(place int, epoch uint64) {
	cl := c.VoterClient(place)
	if cl == nil || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	call := messages.WatchCall{Have: configuration.Ballot{N: 1 << 62}, HoldMs: uint32(fetchWait.Milliseconds()), Epoch: epoch}
	go func() {
		defer c.fetching.Store(false)
		var w messages.Watched
		if cl.Call(messages.Watch, call, &w, 2*fetchWait) == nil {
			c.Update(w.Roll)
		}
	}()
}

// AwaitNewer waits after a vote that failed since an epoch had ended, until a newer roll is known or for a moment: members of the
// newest may have yet to take their office over. It reports whether to ask again before end.
func (c *Client) AwaitNewer(epoch uint64, end time.Time) bool {
	t := time.NewTimer(min(retryDelay, time.Until(end)))
	defer t.Stop()
	select {
	case <-c.NewerThan(epoch):
	case <-t.C:
	}
	return time.Now().Before(end)
}

// VoterClient is the client to the voter of a place; nil: there is none.
func (c *Client) VoterClient(place int) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if place >= len(c.clients) {
		return nil
	}
	return c.clients[place]
}

// Close ends all clients.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.Close()
	}
}

// Response is what one member answered.
type Response struct {
	Voter int
	Body  []byte
	Err   error
}

// Broadcast sends one call to all members and hands their answers to each, one by one, until that says enough, all have answered
// or wait is over. message gives it for a member; nil: it gets none. Answers that come later are dropped.
func (c *Client) Broadcast(kind uint8, message func(place int) []byte, wait time.Duration, each func(Response) (enough bool)) error {
	c.mu.Lock()
	clients := c.clients
	c.mu.Unlock()
	if len(clients) == 0 {
		return errcode.New(errcode.CoreOut, "nobody known that counts")
	}
	if wait <= 0 {
		return errcode.New(errcode.CoreOut, "no time is left")
	}
	ch := make(chan Response, len(clients))
	ids := map[int]uint32{}
	why := "" // of the last that failed
	for i, cl := range clients {
		if body := message(i); body != nil {
			ids[i] = cl.Go(kind, body, func(b []byte, err error) { ch <- Response{i, b, err} })
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for len(ids) > 0 {
		select {
		case told := <-ch:
			delete(ids, told.Voter)
			if told.Err != nil {
				why = fmt.Sprintf(": %s: %v", clients[told.Voter].Addr(), told.Err)
			}
			if each(told) {
				return nil // the others' answers are dropped as they come; a peer that says nothing is noticed by its own link
			}
		case <-t.C:
			for i, id := range ids {
				clients[i].Forget(id)
			}
			return errcode.New(errcode.CoreOut, "no majority within %v%s", wait.Round(time.Millisecond), why)
		}
	}
	return errcode.New(errcode.CoreOut, "no majority%s", why)
}
