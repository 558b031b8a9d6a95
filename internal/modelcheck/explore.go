// Package modelcheck walks a small space of states whole, breadth first, for tests of what must hold whatever happens.
package modelcheck

import (
	"errors"
	"fmt"
	"strings"
)

// Violation is a state that must not be, and the shortest way there.
type Violation struct {
	Reason string
	Trace  []string
}

func (b *Violation) Error() string { return b.Reason + ":\n\t" + strings.Join(b.Trace, "\n\t") }

// Explore visits every state that can be reached from first. next hands each that follows on a state to to, with the name of
// the event, which is formed only where it is told of; broken says what is wrong with a state, "" for nothing. It returns how
// many there are, and a *Broken if one of them is. More than most states are an error: the space was to be small.
func Explore[S comparable](first S, next func(s S, to func(s S, event string, args ...any)), broken func(S) string, most int) (int, error) {
	type from struct {
		at    int32
		event string
		args  []any
	}
	seen := map[S]bool{first: true}
	states, ways := []S{first}, []from{{at: -1}}
	for at := 0; at < len(states); at++ {
		s := states[at]
		if why := broken(s); why != "" {
			b := &Violation{Reason: why}
			for i := int32(at); ways[i].at >= 0; i = ways[i].at {
				b.Trace = append([]string{fmt.Sprintf(ways[i].event, ways[i].args...)}, b.Trace...)
			}
			return len(states), b
		}
		next(s, func(s S, event string, args ...any) {
			if !seen[s] {
				seen[s] = true
				states, ways = append(states, s), append(ways, from{int32(at), event, args})
			}
		})
		if len(states) > most {
			return len(states), fmt.Errorf("more than %d states", most)
		}
	}
	return len(states), nil
}

// CheckResult says what is wrong with what Whole came to where the space was to be whole, ok, or else a mutant's, in which a broken
// state has to be found. nil: nothing is.
func CheckResult(ok bool, n int, err error) error {
	var b *Violation
	switch {
	case err != nil && !errors.As(err, &b), ok && err != nil:
		return err
	case !ok && err == nil:
		return fmt.Errorf("not found in %d states", n)
	}
	return nil
}
