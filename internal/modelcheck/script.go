package modelcheck

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ScriptTest plays every script of ScriptLength actions, each in every mode, on real code in virtual time. Action i of a script is
// what happens to the i-th item of the system under test, such as a call or a connection. W is the environment that the
// scripts share.
type ScriptTest[W any] struct {
	Actions      int
	ActionName   func(i int) string
	ScriptLength int
	Modes        []string
	Setup        func(t *testing.T) W
	Run          func(t *testing.T, w W, script []int, mode int) string // plays one script; returns what went wrong, or ""
	Teardown     func(w W)                                              // runs after the last script; goroutines then have 5 s to end
}

// raceStep is the step between the first actions that are played with the race detector on.
const raceStep = 5

// play plays the scripts whose first action is a multiple of step, up to the first that fails, and counts the runs.
func (k ScriptTest[W]) play(t *testing.T, w W, step int) (runs int, failure string) {
	script := make([]int, k.ScriptLength)
	var playFrom func(at int) string
	playFrom = func(at int) string {
		if at == k.ScriptLength {
			for mode, name := range k.Modes {
				runs++
				if failure := k.Run(t, w, append([]int(nil), script...), mode); failure != "" {
					return name + ": " + failure
				}
			}
			return ""
		}
		by := 1
		if at == 0 {
			by = step
		}
		for script[at] = 0; script[at] < k.Actions; script[at] += by {
			if failure := playFrom(at + 1); failure != "" {
				return fmt.Sprintf("%s; %s", k.ActionName(script[at]), failure)
			}
		}
		return ""
	}
	return runs, playFrom(0)
}

// playInBubble plays the scripts in a synctest bubble, after mutate (if not nil) has changed the environment.
func (k ScriptTest[W]) playInBubble(t *testing.T, mutate func(w W), step int) (runs int, failure string) {
	synctest.Test(t, func(t *testing.T) {
		w := k.Setup(t)
		if mutate != nil {
			mutate(w)
		}
		runs, failure = k.play(t, w, step)
		k.Teardown(w)
		time.Sleep(5 * time.Second)
	})
	return runs, failure
}

// Check fails t if a script fails. With the race detector on only a part of the scripts is played.
func (k ScriptTest[W]) Check(t *testing.T) {
	step := 1
	if RaceEnabled {
		step = raceStep
	}
	runs, failure := k.playInBubble(t, nil, step)
	if failure != "" {
		t.Error(failure)
	}
	t.Logf("%d runs", runs)
}

// CheckMutants fails t if some mutant passes all scripts. A mutant is a wrong program, made by a function that changes the
// environment of the right one.
func (k ScriptTest[W]) CheckMutants(t *testing.T, mutants map[string]func(w W)) {
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			runs, failure := k.playInBubble(t, mutate, 1)
			if failure == "" {
				t.Errorf("no failure found in %d runs", runs)
			}
			t.Log(failure)
		})
	}
}
