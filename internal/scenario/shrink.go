package scenario

import (
	"slices"
	"time"
)

// Finding is what a trial of a scenario came to: whether it still fails in the way that is looked for, and how far
// into the load.
type Finding struct {
	Fails bool
	At    time.Duration
}

// Shrink looks for the smallest scenario that still fails, by delta debugging: faults first, then surges, length,
// agents, habits and rate. try plays a scenario and is called most times at the most; found is what s itself came
// to. It returns the smallest scenario that failed and the number of trials made.
func Shrink(s Scenario, found Finding, most int, try func(Scenario) Finding) (Scenario, int) {
	return ShrinkBy((*Scenario).Check, s, found, most, try)
}

// ShrinkBy is Shrink for another place than a rehearsal: lawful says which scenarios can be played there.
func ShrinkBy(lawful func(*Scenario) error, s Scenario, found Finding, most int, try func(Scenario) Finding) (Scenario, int) {
	k := &shrinker{lawful: lawful, best: s, found: found, most: most, try: try}
	for before := -1; k.trials != before && k.trials < k.most; {
		before = k.trials
		changed := k.length()
		changed = k.faults() || changed
		changed = k.surges() || changed
		changed = k.targets() || changed
		changed = k.agents() || changed
		changed = k.habits() || changed
		changed = k.rate() || changed
		changed = k.length() || changed
		if !changed {
			break
		}
	}
	return k.best, k.trials
}

type shrinker struct {
	lawful func(*Scenario) error
	best   Scenario
	found  Finding
	most   int
	trials int
	try    func(Scenario) Finding
}

// attempt keeps a candidate if it is lawful and fails still.
func (k *shrinker) attempt(s Scenario) bool {
	if k.trials >= k.most || k.lawful(&s) != nil {
		return false
	}
	k.trials++
	f := k.try(s)
	if f.Fails {
		k.best, k.found = s, f
	}
	return f.Fails
}

// length cuts what comes after the failure, but for a second in which it can show.
func (k *shrinker) length() bool {
	for _, more := range []float64{0.5, 2} {
		to := float64(int64(k.found.At.Seconds()*10))/10 + more
		if to > 0.9*k.best.ForS {
			return false
		}
		s := k.best
		s.ForS = to
		s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.AtS > to })
		s.Surges = slices.DeleteFunc(slices.Clone(s.Surges), func(u Surge) bool { return u.AtS > to })
		if k.attempt(s) {
			return true
		}
	}
	return false
}

// faults is ddmin: chunks of the faults are left out, smaller ones each time.
func (k *shrinker) faults() (changed bool) {
	for n := 2; len(k.best.Faults) > 0; {
		size := max(1, len(k.best.Faults)/n)
		cut := false
		for from := 0; from < len(k.best.Faults); from += size {
			s := k.best
			s.Faults = slices.Concat(s.Faults[:from], s.Faults[min(from+size, len(s.Faults)):])
			if k.attempt(s) {
				cut, changed = true, true
				break
			}
		}
		switch {
		case cut:
			n = max(2, n-1)
		case size == 1:
			return changed
		default:
			n = min(2*n, len(k.best.Faults))
		}
		if k.trials >= k.most {
			return changed
		}
	}
	return changed
}

func (k *shrinker) surges() (changed bool) {
	for i := len(k.best.Surges) - 1; i >= 0; i-- {
		s := k.best
		s.Surges = slices.Delete(slices.Clone(s.Surges), i, i+1)
		changed = k.attempt(s) || changed
	}
	return changed
}

// targets halves what each fault hits.
func (k *shrinker) targets() (changed bool) {
	for i := range k.best.Faults {
		for len(k.best.Faults[i].Servers) > 1 {
			s := k.best
			s.Faults = slices.Clone(s.Faults)
			f := &s.Faults[i]
			f.Servers = f.Servers[:(len(f.Servers)+1)/2]
			if !k.attempt(s) {
				break
			}
			changed = true
		}
	}
	return changed
}

// agents tries one, then half. Faults of those that are left out go with them.
func (k *shrinker) agents() (changed bool) {
	for k.best.Agents > 1 {
		done := true
		for _, n := range []int{1, k.best.Agents / 2, k.best.Agents - 1} {
			if n < 1 || n >= k.best.Agents {
				continue
			}
			s := k.best
			s.Agents = n
			s.Faults = nil
			for _, f := range k.best.Faults {
				if On(f.Kind) == "agent" {
					f.Agents = slices.DeleteFunc(slices.Clone(f.Agents), func(a int) bool { return a >= n })
					if len(f.Agents) == 0 {
						continue
					}
				}
				s.Faults = append(s.Faults, f)
			}
			if k.attempt(s) {
				changed, done = true, false
				break
			}
		}
		if done {
			return changed
		}
	}
	return changed
}

func (k *shrinker) habits() (changed bool) {
	s := k.best
	s.Clients.Retries, s.Clients.Impatient, s.Server.ErrorRate = 0, 0, 0
	if s.Clients != k.best.Clients || s.Server != k.best.Server {
		changed = k.attempt(s)
	}
	return changed
}

func (k *shrinker) rate() (changed bool) {
	for k.best.Rate >= 20 {
		s := k.best
		s.Rate = float64(int(s.Rate / 2))
		if !k.attempt(s) {
			return changed
		}
		changed = true
	}
	return changed
}
