package simulation

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"saltmast/internal/simulation/checker"
)

// Shrink looks for the smallest variant of a day that still breaks a rule: fewer steps, a shorter day, fewer faults, keys and
// requests. Plays of one seed are alike and not equal: a candidate stands if one of its plays breaks the rule.
type Shrink struct {
	Hunter
	Rule  string
	Plays int               // of each candidate
	Most  int               // plays of all
	Say   func(line string) // of what is tried

	played int
}

// Find gives the smallest outcome that it came to, and in how many of how many plays the rule broke there. Where the rule breaks
// no more when the first is played again, that is the smallest.
func (s *Shrink) Find(ctx context.Context, first Outcome) (small Outcome, broke, of int) {
	small = first
	broke, of = s.often(small.Variant)
	if broke == 0 {
		return first, 0, of
	}
	for again := true; again; {
		again = false
		try := func(what string, change func(v *Variant)) bool {
			v := small.Variant
			v.Without = slices.Clone(v.Without)
			change(&v)
			if ctx.Err() != nil || s.played >= s.Most {
				return false
			}
			o, ok := s.breaks(v)
			s.Say(fmt.Sprintf("%s: %s", what, map[bool]string{true: "still breaks", false: "keeps it"}[ok]))
			if ok {
				small, again = o, true
			}
			return ok
		}
		if at := s.at(small) + time.Second; at < small.Length-200*time.Millisecond && at > clientsFrom {
			try(fmt.Sprintf("%.1f s of clients", at.Seconds()), func(v *Variant) { v.Length = at })
		}
		s.steps(&small, try)
		for _, x := range []struct {
			what string
			of   func(v *Variant) *float64
		}{
			{"no lost answers", func(v *Variant) *float64 { return &v.Faults.Lose }},
			{"no cut answers", func(v *Variant) *float64 { return &v.Faults.Cut }},
			{"no late answers", func(v *Variant) *float64 { return &v.Faults.Late }},
			{"no copies of answers", func(v *Variant) *float64 { return &v.Faults.Copies }},
			{"no full backends", func(v *Variant) *float64 { return &v.Faults.Full }},
			{"no failing backends", func(v *Variant) *float64 { return &v.Faults.Fail }},
			{"no more keys", func(v *Variant) *float64 { return &v.Keys }},
			{"no large bodies", func(v *Variant) *float64 { return &v.Large }},
			{"no rude clients", func(v *Variant) *float64 { return &v.Rude }},
			{"no calls of runs", func(v *Variant) *float64 { return &v.Calls }},
			{"usual work", func(v *Variant) *float64 { return &v.Work }},
		} {
			if *x.of(&small.Variant) != 0 {
				try(x.what, func(v *Variant) { *x.of(v) = 0 })
			}
		}
		for {
			half := cmp.Or(small.Rate, rate) / 2
			if half < 1 || !try(fmt.Sprintf("%.2g requests a second", half), func(v *Variant) { v.Rate = half }) {
				break
			}
		}
	}
	broke, of = s.often(small.Variant)
	return small, broke, of
}

// steps leaves out halves of what the day did, quarters and so on, down to single steps.
func (s *Shrink) steps(small *Outcome, try func(string, func(v *Variant)) bool) {
	keys := func() (out []string) {
		for _, x := range small.Steps {
			if !x.Left && !slices.Contains(out, x.Key) {
				out = append(out, x.Key)
			}
		}
		return out
	}
	for size := (len(keys()) + 1) / 2; size > 0; size /= 2 {
		all := keys()
		for part := range slices.Chunk(all, size) {
			what := "without " + part[0]
			if len(part) > 1 {
				what = fmt.Sprintf("without %d steps from %s", len(part), part[0])
			}
			try(what, func(v *Variant) { v.Without = append(v.Without, part...) })
		}
	}
}

// at is when the rule broke first.
func (s *Shrink) at(o Outcome) time.Duration {
	if i := slices.IndexFunc(o.Broken, s.is); i >= 0 {
		return o.Broken[i].At
	}
	return 0
}

func (s *Shrink) is(b checker.Broken) bool { return b.Rule == s.Rule }

// broke reports whether a play broke the rule. Where no client comes nobody is served, which proves nothing.
func (s *Shrink) broke(o Outcome) bool {
	return !(o.empty && s.Rule == "SERVED") && slices.ContainsFunc(o.Broken, s.is)
}

// breaks plays a candidate until the rule breaks.
func (s *Shrink) breaks(v Variant) (o Outcome, ok bool) {
	for left := s.Plays; left > 0 && !ok; left -= s.Jobs {
		for _, x := range s.side(v, min(left, s.Jobs)) {
			if s.broke(x) {
				o, ok = x, true
			}
		}
	}
	return o, ok
}

// often counts in how many of some plays it breaks.
func (s *Shrink) often(v Variant) (broke, of int) {
	for of = 0; of < 3*s.Plays && (broke == 0 || of < s.Plays); {
		for _, x := range s.side(v, min(s.Plays, s.Jobs)) {
			of++
			if s.broke(x) {
				broke++
			}
		}
	}
	return broke, of
}

// side plays a variant some times, side by side.
func (s *Shrink) side(v Variant, n int) []Outcome {
	out := make([]Outcome, n)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = s.Play(v) })
	}
	wg.Wait()
	s.played += n
	return out
}
