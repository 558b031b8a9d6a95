//go:build !race

package modelcheck

// RaceEnabled reports whether the race detector is on. It slows an exploration down tenfold and has no races to find in it.
const RaceEnabled = false
