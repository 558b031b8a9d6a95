// Package idempotency keeps operation keys: a key is claimed with a majority of members before its request is sent, and whoever
// holds the claim alone may run it. It is pure: a Ledger is one member's part, a Vote what a claimant gathers, a Book what a
// proxy knows of the operations that passed through it.
package idempotency

import (
	"time"

	"saltmast/internal/consensus"
)

// ID names one claim: the n-th of one life of a claimant, and where that can be asked.
type ID struct {
	_    struct{} `cbor:",toarray"`
	Life uint64
	N    uint64
	At   string // host:port where the claimant answers for it
}

// IsZero reports whether it names none.
func (id ID) IsZero() bool { return id.Life == 0 && id.N == 0 }

// Ledger is one member's record of who holds which key.
type Ledger struct {
	Window time.Duration // a claim is kept for so long at least
	held   map[string]ID
	order  []entry // oldest first; may name claims that were released
}

type entry struct {
	key string
	id  ID
	at  time.Duration
}

// NewLedger returns an empty one.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{Window: window, held: map[string]ID{}}
}

// Claim grants a key to whoever comes first. The grant counts once it is on disk.
func (l *Ledger) Claim(now time.Duration, key string, id ID) (holder ID, granted bool) {
	if h, ok := l.held[key]; ok {
		return h, h == id
	}
	l.held[key] = id
	l.order = append(l.order, entry{key, id, now})
	return id, true
}

// Restore takes a claim that another member told, for a member that lost its own. Where two told different claims of one key,
// this member may have granted either before its loss, and that one may have won: then nobody holds it, and nobody gets it.
// It gives who holds the key then, and whether that is news.
func (l *Ledger) Restore(now time.Duration, key string, id ID) (holder ID, news bool) {
	h, ok := l.held[key]
	switch {
	case !ok:
		l.Claim(now, key, id)
		return id, true
	case h != id && !h.IsZero():
		l.held[key] = ID{}
		l.order = append(l.order, entry{key, ID{}, now})
		return ID{}, true
	}
	return h, false
}

// Release gives a key back, if id holds it.
func (l *Ledger) Release(key string, id ID) bool {
	if id.IsZero() || l.held[key] != id {
		return false
	}
	delete(l.held, key)
	return true
}

// Expire forgets up to most claims that are older than the window, and returns their keys.
func (l *Ledger) Expire(now time.Duration, most int) (keys []string) {
	n := 0
	for ; n < len(l.order) && n < most && now-l.order[n].at > l.Window; n++ {
		if e := l.order[n]; l.held[e.key] == e.id {
			delete(l.held, e.key)
			keys = append(keys, e.key)
		}
	}
	l.order = l.order[n:]
	if n > 0 && len(l.order) == 0 {
		l.order = nil
	}
	return keys
}

// Len is how many keys are held.
func (l *Ledger) Len() int { return len(l.held) }

// All calls each for every claim.
func (l *Ledger) All(each func(key string, id ID)) {
	for k, id := range l.held {
		each(k, id)
	}
}

// Grant is one member's answer to a claim.
type Grant struct {
	Vouch  consensus.Origin `cbor:"1,keyasint"`
	Given  bool             `cbor:"2,keyasint"`
	Holder ID               `cbor:"3,keyasint"` // who has it where it was not given
}

// Verdict of a vote.
type Verdict uint8

// The verdicts.
const (
	Open  Verdict = iota // more answers are wanted
	Won                  // a majority granted it: the request may be sent
	Lost                 // another holds it
	Split                // neither this nor any other can get a majority: nobody runs
)

// Vote gathers the grants for one claim.
type Vote struct {
	Voters int
	given  []consensus.Origin
	denied map[ID]int
	heard  int
}

// Add takes one member's answer.
func (v *Vote) Add(g Grant) {
	v.heard++
	if g.Given {
		v.given = append(v.given, g.Vouch)
		return
	}
	if v.denied == nil {
		v.denied = map[ID]int{}
	}
	v.denied[g.Holder]++
}

// Missed takes note that one member will not answer.
func (v *Vote) Missed() { v.heard++ }

// Verdict is where the vote stands, and who holds the key where it is lost.
func (v *Vote) Verdict() (Verdict, ID) {
	need := consensus.Majority(v.Voters)
	if len(consensus.Countable(v.given)) >= need {
		return Won, ID{}
	}
	var most ID
	for id, n := range v.denied {
		if m := v.denied[most]; n > m || n == m && (id.Life < most.Life || id.Life == most.Life && id.N < most.N) {
			most = id
		}
	}
	if v.denied[most] >= need {
		return Lost, most
	}
	if v.heard < v.Voters {
		return Open, ID{}
	}
	if len(v.denied) > 0 {
		return Split, most
	}
	return Open, ID{} // too few answered: whoever waits gives up by time
}
