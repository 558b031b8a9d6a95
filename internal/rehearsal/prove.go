package rehearsal

import (
	"context"
	"sync"

	"saltmast/internal/grade"
	"saltmast/internal/naive"
	"saltmast/internal/scenario"
)

// Flaws are the naive agents and the rule that each breaks; "" for none.
var Flaws = []struct{ Kind, Rule string }{
	{naive.LosesAnswers, grade.RuleLost}, {naive.RepeatsUnsafe, grade.RuleTwice}, {naive.IgnoresDrains, grade.RuleDrain},
	{naive.FloodsCold, grade.RuleCold}, {naive.None, ""},
}

// tries is how often a run that turns out void is played again.
const tries = 4

// Proof is what one agent came to in one proof scenario.
type Proof struct {
	Seed   uint64
	Rules  []string // that broke, each once, in the order of their first breach
	Void   int      // runs that the kit itself was late for, and played again
	Result *Result  // the last run
}

// Prove plays the proof scenario of each seed against one agent, so many side by side, and calls done after each. A
// run that the kit was late for is played again, four times at the most.
func Prove(ctx context.Context, command []string, seeds []uint64, beside int, done func(Proof)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	places := make(chan struct{}, beside)
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, seed := range seeds {
		places <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-places }()
			p, err := prove(ctx, command, seed)
			if err != nil {
				cancel(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if ctx.Err() == nil {
				done(p)
			}
		}()
	}
	running.Wait()
	return context.Cause(ctx)
}

func prove(ctx context.Context, command []string, seed uint64) (Proof, error) {
	p := Proof{Seed: seed}
	for {
		res, err := Run(ctx, Options{Plan: scenario.MakePlan(scenario.Proof(seed)), Command: command})
		if err != nil {
			return p, err
		}
		p.Result = res
		if res.Verdict != grade.Void || p.Void == tries-1 {
			break
		}
		p.Void++
	}
	seen := map[string]bool{}
	for _, b := range p.Result.Breaches {
		if !seen[b.Rule] {
			seen[b.Rule] = true
			p.Rules = append(p.Rules, b.Rule)
		}
	}
	return p, nil
}

// AsExpected reports whether it broke just the one rule, or none for "".
func (p *Proof) AsExpected(rule string) bool {
	if p.Result.Verdict == grade.Void || p.Result.Partial {
		return false
	}
	if rule == "" {
		return len(p.Rules) == 0
	}
	return len(p.Rules) == 1 && p.Rules[0] == rule
}
