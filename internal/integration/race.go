//go:build race

package integration

const race = true
