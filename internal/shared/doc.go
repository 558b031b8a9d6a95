// Package shared is what agents share, as values that are merged: counts and a fleet budget as rights. It does no I/O,
// knows no wall clock and judges nobody; time is passed in, on the agent's own monotonic clock, and no two machines'
// clocks are ever compared. Messages carry durations and turns, never times. Start reading at Value, then at Holder.
//
// A Value is a join: merging is commutative, associative and idempotent, so that what is lost comes again, what comes
// twice counts once, and the order is of no matter. A Holder is not merged: its rights are at exactly one agent at a time.
//
// What holds for an agent that hears nothing: its counts are its own, the rest is old and says how old; it spends what it
// holds itself, less what it has lent, and nothing that was lent to it for longer than the lease.
package shared

import (
	"cmp"
	"errors"
	"fmt"
)

// Agent is one start of one agent. Incarnations are drawn, not ordered: a restarted agent is another one.
type Agent struct {
	Name        string
	Incarnation uint64
}

func (a Agent) String() string { return fmt.Sprintf("%s/%x", a.Name, a.Incarnation) }

// Compare orders agents, for what must come in one order.
func (a Agent) Compare(b Agent) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

const (
	// NameBytes and LabelBytes bound names of agents and labels of counts.
	NameBytes, LabelBytes = 64, 64
	// maxLabels is how many labels one agent may have in one window; what comes beyond them counts as Others.
	maxLabels = 64
	// Others is the label of what found no place.
	Others = "others"
	// maxCount bounds one count: a sum of 2048 of them still fits. No agent gets there: it is a bound on nonsense.
	maxCount = 1 << 53
	// maxTurn is beyond any that a fleet gets to: 8 million years of seconds. maxLeap is how far one message may lead:
	// 136 years of seconds, so that an agent that joins an old fleet is taken along, and nonsense is not.
	maxTurn, maxLeap = 1 << 48, 1 << 32
)

// ErrBad says that a message or a state is none, whole or in part; nothing of it has been merged.
var ErrBad = errors.New("not a state of this version")
