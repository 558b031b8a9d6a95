package consensus

import "saltmast/internal/configuration"

// Order is one call of an operator as it came to an agent. It may have been sent before, to any agent, and that copy may still
// be under way.
type Order struct {
	Items []configuration.Item
	Since configuration.Version // the newest refusal that the agent knew of when the order came
}

// NewOrder is an order of a call's items that came to an agent which knows that stands was chosen.
func NewOrder(items []configuration.Item, stands configuration.Set) Order {
	last, _ := stands.Get(refusals)
	return Order{Items: items, Since: last.Version}
}

// Verdict on an order.
type Verdict uint8

// The verdicts. Each may be told once what the Outcome proposes was chosen.
const (
	Acknowledged Verdict = iota
	Conflicts            // a number of it was taken with another content
	Invalid              // the whole would be, or could never have been, valid
	Unclear              // whether it was taken can't be told, or a copy of it was refused after it came
)

// Outcome of an order against a base.
type Outcome struct {
	Next    configuration.Set
	Changes []configuration.Item // of Next against the base, with the round's ballot
	Verdict Verdict
	At      configuration.Key // of a conflict, or what is too old to tell
	Why     error             // of what is invalid
	Late    bool              // some of the items come too late to count, and are remembered
}

// refusals is where the register remembers the calls that it refused last for the state that it is in. A copy of one may be
// on its way at another agent: it came before that agent knew of the refusal, and is never taken. One that is sent anew is
// judged anew.
var refusals = configuration.Key{Kind: configuration.Refusals}

// refused reports whether a copy of the order was refused after it came, or may have been.
func (o Order) refused(base configuration.Set) bool {
	last, _ := base.Get(refusals)
	if last.Version <= o.Since { // as a rule: the digest is not needed then
		return false
	}
	sum := configuration.DigestItems(o.Items)
	for _, t := range last.PastVersions {
		if t.Digest == sum && t.Version > o.Since {
			return true
		}
	}
	n := len(last.PastVersions)
	return n == configuration.MaxPastVersions && last.PastVersions[n-1].Version > o.Since+1
}

// refuse is base with the refusal of the order.
func (o Order) refuse(base configuration.Set, b configuration.Ballot, why error) Outcome {
	last, _ := base.Get(refusals)
	last.Key, last.Ballot, last.Deleted, last.Version = refusals, b, true, last.Version+1
	last, _ = last.AddPastVersion(configuration.VersionDigest{Version: last.Version, Digest: configuration.DigestItems(o.Items)})
	return Outcome{Next: base.With(last), Changes: []configuration.Item{last}, Verdict: Invalid, Why: why}
}

// Lay lays the order over a base, under ballot b. valid says what is wrong with a whole that it would change. An order of
// which every number was taken with its content changes nothing and is acknowledged, whatever became of it since.
func (o Order) Lay(base configuration.Set, b configuration.Ballot, valid func(next configuration.Set) error) Outcome {
	out := Apply(base, o.Items, b)
	if out.Verdict != Acknowledged || len(out.Changes) == 0 {
		return out
	}
	err := valid(out.Next)
	if err == nil && out.Late {
		err = base.CheckEverValid(o.Items)
	}
	switch {
	case err != nil: // also where it was refused before: by a round of this very copy that did not come through, as a rule
		return o.refuse(base, b, err)
	case o.refused(base):
		return Outcome{Next: base, Verdict: Unclear, At: refusals}
	}
	return out
}

// Apply lays items over a base, under ballot b. Each number that is acknowledged is remembered with its content, also where
// it comes too late to count: a number has one content for good.
func Apply(base configuration.Set, items []configuration.Item, b configuration.Ballot) Outcome {
	out := Outcome{Next: base}
	refuse := func(v Verdict, k configuration.Key) Outcome { return Outcome{Next: base, Verdict: v, At: k} }
	for _, i := range items {
		cur, ok := base.Get(i.Key)
		next, changed := cur, false
		below := i.PastVersions
		switch {
		case !ok:
			next, changed, below = i, true, nil
		case i.Version > cur.Version:
			past, _ := cur.AddPastVersion(cur.VersionDigest())
			next, changed = i, true
			next.PastVersions = past.PastVersions
		case i.Version == cur.Version:
			if !i.SameContent(cur) {
				return refuse(Conflicts, i.Key)
			}
		default:
			below = append([]configuration.VersionDigest{i.VersionDigest()}, below...)
		}
		for _, t := range below {
			switch cur.StatusOf(t) {
			case configuration.VersionConflicts:
				return refuse(Conflicts, i.Key)
			case configuration.VersionForgotten:
				return refuse(Unclear, i.Key)
			case configuration.VersionUnknown:
				if next, ok = next.AddPastVersion(t); !ok {
					return refuse(Unclear, i.Key)
				}
				out.Late = out.Late || t.Version < cur.Version
				changed = true
			}
		}
		if changed {
			next.Ballot = b
			out.Changes = append(out.Changes, next)
		}
	}
	out.Changes = fitting(out.Changes)
	out.Next = base.With(out.Changes...)
	return out
}

// fitting is items with as much of their past as a member keeps of one call beside its base.
func fitting(items []configuration.Item) []configuration.Item {
	all, bare := 0, 0
	for _, i := range items {
		all += Size(i)
		i.PastVersions = nil
		bare += Size(i)
	}
	if all <= DeltaMax {
		return items
	}
	most := max(0, (DeltaMax-bare)/(pastSize*len(items))-1)
	for n := range items {
		items[n] = items[n].TruncatePast(most)
	}
	return items
}

// Fits reports whether the items of a call are not too many for a member to keep beside its base, whatever their past.
func Fits(items []configuration.Item) bool {
	size := 0
	for _, i := range items {
		i.PastVersions = nil
		size += Size(i) + pastSize
	}
	return size <= DeltaMax
}
