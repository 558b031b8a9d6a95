// Package quorum implements the client side of a quorum of voters: it keeps a client to each voter of the newest known voter
// set, sends a call to all of them and collects the responses. The packages consensus and idempotency decide what the
// responses mean.
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

// Client holds a client to each voter of the newest known voter set.
type Client struct {
	net      sock.Net
	mu       sync.Mutex
	voterSet messages.VoterSet
	clients  []*rpc.Client
	updated  chan struct{} // closed when a newer voter set is taken

	fetching atomic.Bool
}

// New returns a Client that knows no voters yet. A nil network means that of the system.
func New(network sock.Net) *Client { return &Client{net: network, updated: make(chan struct{})} }

// VoterSet returns the newest known voter set.
func (c *Client) VoterSet() messages.VoterSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voterSet
}

// Update takes a voter set if it is newer than the known one, and reports whether it was.
func (c *Client) Update(voterSet messages.VoterSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if voterSet.Epoch <= c.voterSet.Epoch {
		return false
	}
	old := map[string]*rpc.Client{}
	for _, client := range c.clients {
		old[client.Addr()] = client
	}
	c.voterSet, c.clients = voterSet, nil
	for _, v := range voterSet.Voters {
		client := old[v.Addr]
		if client == nil {
			client = rpc.NewClient(c.net, v.Addr)
		}
		delete(old, v.Addr)
		c.clients = append(c.clients, client)
	}
	for _, client := range old {
		client.Close()
	}
	close(c.updated)
	c.updated = make(chan struct{})
	return true
}

// NewerThan returns a channel that is closed once a voter set newer than that of epoch is known.
func (c *Client) NewerThan(epoch uint64) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.voterSet.Epoch > epoch {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return c.updated
}

const (
	fetchWait  = 250 * time.Millisecond // how long the voter may hold the call
	retryDelay = 20 * time.Millisecond
)

// FetchVoterSet asks the voter with the given index, which reported that an epoch has ended, for the newest voter set. The
// voter holds the call until it knows. It runs in the background, one fetch at a time.
func (c *Client) FetchVoterSet(voter int, epoch uint64) {
	client := c.VoterClient(voter)
	if client == nil || !c.fetching.CompareAndSwap(false, true) {
		return
	}
	call := messages.WatchCall{Have: configuration.Ballot{N: 1 << 62}, HoldMs: uint32(fetchWait.Milliseconds()), Epoch: epoch}
	go func() {
		defer c.fetching.Store(false)
		var watched messages.WatchReply
		if client.Call(messages.Watch, call, &watched, 2*fetchWait) == nil {
			c.Update(watched.VoterSet)
		}
	}()
}

// AwaitNewer is called after a vote failed because an epoch had ended. It waits until a newer voter set is known, but only
// briefly, since members of the newest one may not have taken over yet. It reports whether there is time to retry before end.
func (c *Client) AwaitNewer(epoch uint64, end time.Time) bool {
	t := time.NewTimer(min(retryDelay, time.Until(end)))
	defer t.Stop()
	select {
	case <-c.NewerThan(epoch):
	case <-t.C:
	}
	return time.Now().Before(end)
}

// VoterClient returns the client to the voter with the given index, or nil if there is none.
func (c *Client) VoterClient(voter int) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if voter >= len(c.clients) {
		return nil
	}
	return c.clients[voter]
}

// Close closes the clients to all voters.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, client := range c.clients {
		client.Close()
	}
}

// Response is the answer of one voter to a Broadcast.
type Response struct {
	Voter int // index in the voter set
	Body  []byte
	Err   error
}

// Broadcast sends one call to all voters and passes each response to each, one at a time, until each returns true, all have
// responded, or wait has elapsed. message builds the call for a voter; a nil body skips that voter. Later responses are
// dropped.
func (c *Client) Broadcast(kind uint8, message func(voter int) []byte, wait time.Duration, each func(Response) (enough bool)) error {
	c.mu.Lock()
	clients := c.clients
	c.mu.Unlock()
	if len(clients) == 0 {
		return errcode.New(errcode.NoQuorum, "nobody known that counts")
	}
	if wait <= 0 {
		return errcode.New(errcode.NoQuorum, "no time is left")
	}
	responses := make(chan Response, len(clients))
	pending := map[int]uint32{} // call IDs by voter
	why := ""                   // the last failure
	for i, client := range clients {
		if body := message(i); body != nil {
			pending[i] = client.Go(kind, body, func(b []byte, err error) { responses <- Response{i, b, err} })
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for len(pending) > 0 {
		select {
		case response := <-responses:
			delete(pending, response.Voter)
			if response.Err != nil {
				why = fmt.Sprintf(": %s: %v", clients[response.Voter].Addr(), response.Err)
			}
			if each(response) {
				return nil // responses still to come are dropped; each connection detects a silent peer by itself
			}
		case <-t.C:
			for i, id := range pending {
				clients[i].Cancel(id)
			}
			return errcode.New(errcode.NoQuorum, "no majority within %v%s", wait.Round(time.Millisecond), why)
		}
	}
	return errcode.New(errcode.NoQuorum, "no majority%s", why)
}
