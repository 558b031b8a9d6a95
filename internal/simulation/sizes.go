package simulation

import "cmp"

// Size is how many machines a day has. A zero stands for what a small day has: 3 core machines, which all count, and 4 with a backend.
type Size struct {
	Core   int `json:"core,omitempty"`
	Voters int `json:"voters,omitempty"` // of the core: the first, which count once the roll has grown from the three that found it
	Sides  int `json:"sides,omitempty"`
	// Together has the first three of the core, which found the roll, share a zone; what is to be borne is the loss of any zone.
	Together bool `json:"together,omitempty"`
}

func (s Size) full() Size {
	s.Core = cmp.Or(s.Core, 3)
	s.Voters = min(cmp.Or(s.Voters, s.Core), s.Core)
	s.Sides = cmp.Or(s.Sides, 4)
	return s
}

// bears is how many of those that count may be lost at one time.
func (s Size) bears() int { return (s.Voters - 1) / 2 }

// voters are the core machines that are to count.
func (w *World) voters() []*coreMachine { return w.core[:w.size.Voters] }
