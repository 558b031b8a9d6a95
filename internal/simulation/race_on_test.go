//go:build race

package simulation

const raceOn = true
