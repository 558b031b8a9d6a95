package modelcheck

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// ScriptTest plays scripts of deeds, all after all, each in some ways, on real code in virtual time: what may happen to the first of some
// things, what to the next, and what must hold for each of them whatever it was. W is what one walk is played on.
type ScriptTest[W any] struct {
	Actions      int
	ActionName   func(i int) string // its name
	ScriptLength int                // deeds of a script
	Modes        []string
	Setup        func(t *testing.T) W
	Run          func(t *testing.T, w W, script []int, way int) string // plays one script; what broke, "" for nothing
	Teardown     func(w W)                                             // when all is played; what sleeps then has 5 s to wake
}

// partStep is how many first deeds are passed over for one that is played, with the race detector on.
const partStep = 5

// play plays the scripts that begin with each step-th deed, to the first that breaks, and counts the worlds.
func (k ScriptTest[W]) play(t *testing.T, w W, step int) (worlds int, why string) {
	script := make([]int, k.ScriptLength)
	var from func(at int) string
	from = func(at int) string {
		if at == k.ScriptLength {
			for way, name := range k.Modes {
				worlds++
				if why := k.Run(t, w, append([]int(nil), script...), way); why != "" {
					return name + ": " + why
				}
			}
			return ""
		}
		by := 1
		if at == 0 {
			by = step
		}
		for script[at] = 0; script[at] < k.Actions; script[at] += by {
			if why := from(at + 1); why != "" {
				return fmt.Sprintf("%s; %s", k.ActionName(script[at]), why)
			}
		}
		return ""
	}
	return worlds, from(0)
}

func (k ScriptTest[W]) on(t *testing.T, spoil func(w W), step int) (worlds int, why string) {
	synctest.Test(t, func(t *testing.T) {
		w := k.Setup(t)
		if spoil != nil {
			spoil(w)
		}
		worlds, why = k.play(t, w, step)
		k.Teardown(w)
		time.Sleep(5 * time.Second)
	})
	return worlds, why
}

// Check fails t where a world breaks. With the race detector a part is walked.
func (k ScriptTest[W]) Check(t *testing.T) {
	step := 1
	if RaceEnabled {
		step = partStep
	}
	worlds, why := k.on(t, nil, step)
	if why != "" {
		t.Error(why)
	}
	t.Logf("%d worlds", worlds)
}

// CheckMutants fails t where no world of a mutant breaks: wrong programs, each made by what spoils a walk of the right one.
func (k ScriptTest[W]) CheckMutants(t *testing.T, mutants map[string]func(w W)) {
	for name, spoil := range mutants {
		t.Run(name, func(t *testing.T) {
			worlds, why := k.on(t, spoil, 1)
			if why == "" {
				t.Errorf("not found in %d worlds", worlds)
			}
			t.Log(why)
		})
	}
}
