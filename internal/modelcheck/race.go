//go:build race

package modelcheck

// RaceEnabled reports whether the race detector is on. It makes a walk ten times as long and has nothing to find there.
const RaceEnabled = true
