//go:build !race

package integration

const race = false
