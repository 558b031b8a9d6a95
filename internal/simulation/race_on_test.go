//go:build race

package drydock

const raceOn = true
