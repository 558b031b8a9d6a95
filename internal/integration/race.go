//go:build race

package shakedown

const race = true
