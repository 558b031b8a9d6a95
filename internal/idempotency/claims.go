// Package idempotency implements idempotency keys: a key is claimed with a majority of the voters before its request is sent, and
// only the holder of the claim may execute the request. The package does no I/O: a ClaimTable is the state of one voter, a
// GrantCounter counts the answers to one claim, and a Cache holds the operations that passed through one proxy.
package idempotency

import (
	"time"

	"saltmast/internal/consensus"
)

// ID identifies one claim: the N-th of one run of a claimant.
type ID struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // identifies the run of the claimant's process
	N           uint64
	Addr        string // host:port where the claimant answers questions about it
}

// IsZero reports whether id identifies no claim.
func (id ID) IsZero() bool { return id.Incarnation == 0 && id.N == 0 }

// ClaimTable is one voter's record of the holders of keys.
type ClaimTable struct {
	Window  time.Duration // how long a claim is kept at least
	holders map[string]ID
	order   []claimEntry // oldest first; may list claims that were released
}

type claimEntry struct {
	key string
	id  ID
	at  time.Duration
}

// NewClaimTable returns an empty table.
func NewClaimTable(window time.Duration) *ClaimTable {
	return &ClaimTable{Window: window, holders: map[string]ID{}}
}

// Claim grants a key to the first claimant. The grant counts once it is on disk.
func (t *ClaimTable) Claim(now time.Duration, key string, id ID) (holder ID, granted bool) {
	if h, ok := t.holders[key]; ok {
		return h, h == id
	}
	t.holders[key] = id
	t.order = append(t.order, claimEntry{key, id, now})
	return id, true
}

// Restore adds a claim reported by another voter, for a voter that lost its own claims. If two voters report different claims of
// one key, this voter may have granted either before the loss, and that claim may have won: the key then has no holder, and is
// granted to nobody. Restore returns the holder of the key and whether the table changed.
func (t *ClaimTable) Restore(now time.Duration, key string, id ID) (holder ID, changed bool) {
	h, ok := t.holders[key]
	switch {
	case !ok:
		t.Claim(now, key, id)
		return id, true
	case h != id && !h.IsZero():
		t.holders[key] = ID{}
		t.order = append(t.order, claimEntry{key, ID{}, now})
		return ID{}, true
	}
	return h, false
}

// Release removes the claim of a key if id holds it.
func (t *ClaimTable) Release(key string, id ID) bool {
	if id.IsZero() || t.holders[key] != id {
		return false
	}
	delete(t.holders, key)
	return true
}

// Expire removes up to limit claims that are older than the window, and returns their keys.
func (t *ClaimTable) Expire(now time.Duration, limit int) (keys []string) {
	n := 0
	for ; n < len(t.order) && n < limit && now-t.order[n].at > t.Window; n++ {
		if e := t.order[n]; t.holders[e.key] == e.id {
			delete(t.holders, e.key)
			keys = append(keys, e.key)
		}
	}
	t.order = t.order[n:]
	if n > 0 && len(t.order) == 0 {
		t.order = nil
	}
	return keys
}

// Len returns the number of claimed keys.
func (t *ClaimTable) Len() int { return len(t.holders) }

// All calls visit for every claim.
func (t *ClaimTable) All(visit func(key string, id ID)) {
	for k, id := range t.holders {
		visit(k, id)
	}
}

// Grant is one voter's answer to a claim.
type Grant struct {
	Origin  consensus.Origin `cbor:"1,keyasint"`
	Granted bool             `cbor:"2,keyasint"`
	Holder  ID               `cbor:"3,keyasint"` // of the key, if it was not granted
}

// Result is the result of a claim.
type Result uint8

// The results of a claim.
const (
	Pending Result = iota // more answers are needed
	Won                   // a majority granted it: the request may be sent
	Lost                  // another claim holds the key
	Split                 // neither this nor any other claim can get a majority: the request is not executed
)

// GrantCounter counts the answers to one claim.
type GrantCounter struct {
	Voters   int
	granted  []consensus.Origin
	denied   map[ID]int // by the holder named
	answered int        // including voters that will not answer
}

// Add counts one voter's answer.
func (c *GrantCounter) Add(g Grant) {
	c.answered++
	if g.Granted {
		c.granted = append(c.granted, g.Origin)
		return
	}
	if c.denied == nil {
		c.denied = map[ID]int{}
	}
	c.denied[g.Holder]++
}

// AddMissing counts a voter that will not answer.
func (c *GrantCounter) AddMissing() { c.answered++ }

// Result returns the result so far and, if the claim is lost or split, the holder that most voters named.
func (c *GrantCounter) Result() (Result, ID) {
	majority := consensus.Majority(c.Voters)
	if len(consensus.Countable(c.granted)) >= majority {
		return Won, ID{}
	}
	var top ID
	for id, n := range c.denied {
		if m := c.denied[top]; n > m || n == m && (id.Incarnation < top.Incarnation || id.Incarnation == top.Incarnation && id.N < top.N) {
			top = id
		}
	}
	if c.denied[top] >= majority {
		return Lost, top
	}
	if c.answered < c.Voters {
		return Pending, ID{}
	}
	if len(c.denied) > 0 {
		return Split, top
	}
	return Pending, ID{} // too few answers: the caller gives up by its timeout
}
