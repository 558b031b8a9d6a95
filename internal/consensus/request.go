package consensus

import "saltmast/internal/configuration"

// Request is an operator's call to change items, as it reached a registry. Another copy of it may have been sent before, to any
// registry, and may still be under way.
type Request struct {
	Items        []configuration.Item
	KnownRefusal configuration.Version // the newest refusal that the registry knew of when the request arrived
}

// NewRequest returns a request with a call's items that reached a registry which holds the chosen value current.
func NewRequest(items []configuration.Item, current configuration.Set) Request {
	last, _ := current.Get(refusals)
	return Request{Items: items, KnownRefusal: last.Version}
}

// Verdict is the result of a request.
type Verdict uint8

// The verdicts. Each may be reported only once the value in Outcome.Next is chosen.
const (
	Acknowledged  Verdict = iota
	Conflicting           // one of its versions was taken with different content
	Invalid               // the resulting configuration would be invalid, or never could have been valid
	Indeterminate         // it can't be told whether it was taken, or a copy was refused after this one arrived
)

// Outcome is the result of applying a request to a base value.
type Outcome struct {
	Next       configuration.Set
	Changes    []configuration.Item // items of Next that differ from the base, with the round's ballot
	Verdict    Verdict
	Key        configuration.Key // the key that conflicts, or whose history does not reach back far enough
	Err        error             // why the result is invalid
	Superseded bool              // some items arrived after a higher version: they are recorded without effect
}

// refusals is the key under which the register records the last requests refused for the state that it is in. A copy of a refused
// request that reached another registry before that one knew of the refusal is never taken. A request that is sent anew after the
// refusal is judged anew.
var refusals = configuration.Key{Kind: configuration.Refusals}

// refused reports whether a copy of the request was refused after this one arrived, or may have been.
func (r Request) refused(base configuration.Set) bool {
	last, _ := base.Get(refusals)
	if last.Version <= r.KnownRefusal { // the usual case: the digest is not needed then
		return false
	}
	sum := configuration.DigestItems(r.Items)
	for _, t := range last.PastVersions {
		if t.Digest == sum && t.Version > r.KnownRefusal {
			return true
		}
	}
	n := len(last.PastVersions)
	return n == configuration.MaxPastVersions && last.PastVersions[n-1].Version > r.KnownRefusal+1
}

// refuse returns the outcome that adds the refusal of the request to base.
func (r Request) refuse(base configuration.Set, b configuration.Ballot, why error) Outcome {
	last, _ := base.Get(refusals)
	last.Key, last.Ballot, last.Deleted, last.Version = refusals, b, true, last.Version+1
	last, _ = last.AddPastVersion(configuration.VersionDigest{Version: last.Version, Digest: configuration.DigestItems(r.Items)})
	return Outcome{Next: base.With(last), Changes: []configuration.Item{last}, Verdict: Invalid, Err: why}
}

// Apply applies the request to a base value, under ballot b. valid returns what is wrong with the resulting configuration if that
// differs from base. A request whose versions were all taken with the same content before changes nothing and is acknowledged,
// whatever happened to those items since.
func (r Request) Apply(base configuration.Set, b configuration.Ballot, valid func(next configuration.Set) error) Outcome {
	out := ApplyItems(base, r.Items, b)
	if out.Verdict != Acknowledged || len(out.Changes) == 0 {
		return out
	}
	err := valid(out.Next)
	if err == nil && out.Superseded {
		err = base.CheckEverValid(r.Items)
	}
	switch {
	case err != nil: // also if it was refused before, usually by an earlier round of this same copy that did not complete
		return r.refuse(base, b, err)
	case r.refused(base):
		return Outcome{Next: base, Verdict: Indeterminate, Key: refusals}
	}
	return out
}

// ApplyItems applies items to a base value, under ballot b. Each acknowledged version is recorded with its content, even if it
// arrives too late to take effect: a version has one content for good.
func ApplyItems(base configuration.Set, items []configuration.Item, b configuration.Ballot) Outcome {
	out := Outcome{Next: base}
	refuse := func(v Verdict, k configuration.Key) Outcome { return Outcome{Next: base, Verdict: v, Key: k} }
	for _, i := range items {
		cur, ok := base.Get(i.Key)
		next, changed := cur, false
		older := i.PastVersions
		switch {
		case !ok:
			next, changed, older = i, true, nil
		case i.Version > cur.Version:
			past, _ := cur.AddPastVersion(cur.VersionDigest())
			next, changed = i, true
			next.PastVersions = past.PastVersions
		case i.Version == cur.Version:
			if !i.SameContent(cur) {
				return refuse(Conflicting, i.Key)
			}
		default:
			older = append([]configuration.VersionDigest{i.VersionDigest()}, older...)
		}
		for _, t := range older {
			switch cur.StatusOf(t) {
			case configuration.VersionConflicts:
				return refuse(Conflicting, i.Key)
			case configuration.VersionForgotten:
				return refuse(Indeterminate, i.Key)
			case configuration.VersionUnknown:
				if next, ok = next.AddPastVersion(t); !ok {
					return refuse(Indeterminate, i.Key)
				}
				out.Superseded = out.Superseded || t.Version < cur.Version
				changed = true
			}
		}
		if changed {
			next.Ballot = b
			out.Changes = append(out.Changes, next)
		}
	}
	out.Changes = trimPast(out.Changes)
	out.Next = base.With(out.Changes...)
	return out
}

// trimPast shortens the items' history if needed, so that together they fit into DeltaMax.
func trimPast(items []configuration.Item) []configuration.Item {
	all, bare := 0, 0
	for _, i := range items {
		all += ItemSize(i)
		i.PastVersions = nil
		bare += ItemSize(i)
	}
	if all <= DeltaMax {
		return items
	}
	most := max(0, (DeltaMax-bare)/(pastEntrySize*len(items))-1)
	for n := range items {
		items[n] = items[n].TruncatePast(most)
	}
	return items
}

// FitsDelta reports whether the items of a request, with one history entry each, fit into DeltaMax.
func FitsDelta(items []configuration.Item) bool {
	size := 0
	for _, i := range items {
		i.PastVersions = nil
		size += ItemSize(i) + pastEntrySize
	}
	return size <= DeltaMax
}
