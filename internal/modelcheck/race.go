//go:build race

package explore

// Slow reports whether the race detector is on. It makes a walk ten times as long and has nothing to find there.
const Slow = true
