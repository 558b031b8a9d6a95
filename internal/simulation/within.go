package simulation

import (
	"flag"
	"testing"
)

// Within calls f with a *testing.T in a program that is no test: synctest takes no other. Call it once, at the end of a program:
// the test that it stands for never ends, and what tests print of themselves never comes.
func Within(f func(t *testing.T)) error {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return err
	}
	ts := make(chan *testing.T)
	all := func(string, string) (bool, error) { return true, nil }
	go testing.Main(all, []testing.InternalTest{{Name: "drydock", F: func(t *testing.T) {
		ts <- t
		select {}
	}}}, nil, nil)
	f(<-ts)
	return nil
}
