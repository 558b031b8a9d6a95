package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	os.Setenv("GORACE", "atexit_sleep_ms=0") // see internal/rehearsal
	testscript.Main(m, map[string]func(){"lookout": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: func(e *testscript.Env) error {
		e.Setenv("GORACE", "atexit_sleep_ms=0")
		return nil
	}})
}
