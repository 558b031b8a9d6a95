package replay

import "saltmast/internal/recording"

// Effect says what repeating a request of a class does. Its values are those of package scenario.
type Effect string

// Effects, from the least to the most strict.
const (
	Safe   Effect = "safe"   // may be repeated at will
	Keyed  Effect = "keyed"  // carries a key, by which servers drop a repeat
	Unsafe Effect = "unsafe" // must never run twice
)

var strictness = map[Effect]int{"": 0, Safe: 1, Keyed: 2, Unsafe: 3}

// Effects are what is known of each class of a recording. Nothing is taken for milder than any of its requests: a class has
// the strictest effect that one of them shows or a rule states.
type Effects map[string]Effect

// Add takes a request of a class. key tells whether it carried one; stated is what a rule says, "" for nothing. What reads
// is safe, what writes under a key is keyed, all else is unsafe: a rule can make that stricter and never milder, so that no
// file of rules waves a debit through.
func (e Effects) Add(class string, r *recording.Entry, key bool, stated Effect) {
	shown := Unsafe
	switch r.Method {
	case "GET", "HEAD", "OPTIONS":
		shown = Safe
	default:
		if key {
			shown = Keyed
		}
	}
	for _, x := range []Effect{shown, stated} {
		if strictness[x] > strictness[e[class]] {
			e[class] = x
		}
	}
}

// Unsafe reports whether some class must never run twice.
func (e Effects) Unsafe() (class string, ok bool) {
	for c, x := range e {
		if x == Unsafe && (!ok || c < class) {
			class, ok = c, true
		}
	}
	return class, ok
}
