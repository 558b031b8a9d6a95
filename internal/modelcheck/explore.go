// Package modelcheck is an explicit-state model checker for tests: it explores small state spaces whole and plays all scripts of
// a given length on real code.
package modelcheck

import (
	"errors"
	"fmt"
	"strings"
)

// Violation is a reachable state that must not occur, with a shortest trace to it.
type Violation struct {
	Reason string
	Trace  []string
}

func (v *Violation) Error() string { return v.Reason + ":\n\t" + strings.Join(v.Trace, "\n\t") }

// Explore visits every state reachable from first, breadth first. next calls to for each successor of s, with the event that leads
// to it as a format and its arguments, which are formatted only for a trace. violation returns what is wrong with a state, or "".
// Explore returns the number of states visited, and a *Violation for the first bad one. More than limit states are an error.
func Explore[S comparable](first S, next func(s S, to func(s S, event string, args ...any)), violation func(S) string, limit int) (int, error) {
	type step struct {
		from  int32 // index of the state before it; -1 for the first
		event string
		args  []any
	}
	seen := map[S]bool{first: true}
	states, steps := []S{first}, []step{{from: -1}}
	for at := 0; at < len(states); at++ {
		s := states[at]
		if reason := violation(s); reason != "" {
			v := &Violation{Reason: reason}
			for i := int32(at); steps[i].from >= 0; i = steps[i].from {
				v.Trace = append([]string{fmt.Sprintf(steps[i].event, steps[i].args...)}, v.Trace...)
			}
			return len(states), v
		}
		next(s, func(s S, event string, args ...any) {
			if !seen[s] {
				seen[s] = true
				states, steps = append(states, s), append(steps, step{int32(at), event, args})
			}
		})
		if len(states) > limit {
			return len(states), fmt.Errorf("more than %d states", limit)
		}
	}
	return len(states), nil
}

// CheckResult checks the result of Explore: n states visited, and err. With ok the space must have been explored without a
// violation. Without ok it is a mutant's, in which a violation must have been found. It returns nil if the result is as expected.
func CheckResult(ok bool, n int, err error) error {
	var v *Violation
	switch {
	case err != nil && !errors.As(err, &v), ok && err != nil:
		return err
	case !ok && err == nil:
		return fmt.Errorf("no violation found in %d states", n)
	}
	return nil
}
