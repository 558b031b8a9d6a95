// Package council speaks with those that count: it holds a client to each purser of the roll, sends one call to all of them
// and gathers the answers. What the answers mean is decided by the rooms ballot and tally.
package council

import (
	"sync"
	"time"

	"saltmast/internal/codebook"
	"saltmast/internal/plight"
	"saltmast/internal/signal"
	"saltmast/internal/sock"
)

// Council is the clients to the pursers of the newest roll that was heard of.
type Council struct {
	net     sock.Net
	mu      sync.Mutex
	roll    codebook.Roll
	clients []*signal.Client
}

// New returns one that knows of nobody. n: nil for the system's network.
func New(n sock.Net) *Council { return &Council{net: n} }

// Roll is the newest roll.
func (c *Council) Roll() codebook.Roll {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roll
}

// Take takes a roll if it is newer, and reports whether it was.
func (c *Council) Take(r codebook.Roll) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Epoch <= c.roll.Epoch {
		return false
	}
	old := map[string]*signal.Client{}
	for _, cl := range c.clients {
		old[cl.Addr()] = cl
	}
	c.roll, c.clients = r, nil
	for _, v := range r.Voters {
		cl := old[v.Addr]
		if cl == nil {
			cl = signal.NewClient(c.net, v.Addr)
		}
		delete(old, v.Addr)
		c.clients = append(c.clients, cl)
	}
	for _, cl := range old {
		cl.Close()
	}
	return true
}

// Client is the client to the voter of a place; nil: there is none.
func (c *Council) Client(place int) *signal.Client {
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
		return plight.New(plight.CoreOut, "nobody known that counts")
	}
	ch := make(chan Told, len(clients))
	ids := map[int]uint32{}
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
			if each(told) {
				return nil // the others' answers are dropped as they come; a peer that says nothing is noticed by its own link
			}
		case <-t.C:
			for i, id := range ids {
				clients[i].Forget(id)
			}
			return plight.New(plight.CoreOut, "no majority within %v", wait)
		}
	}
	return plight.New(plight.CoreOut, "no majority")
}
