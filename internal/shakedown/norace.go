//go:build !race

package shakedown

const race = false
