package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
)

func TestMain(m *testing.M) {
	os.Setenv("GORACE", "atexit_sleep_ms=0") // see internal/rehearsal
	testscript.Main(m, map[string]func(){"latchkit": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Cmds: map[string]func(*testscript.TestScript, bool, []string){"journal": writeJournal}, Setup: func(e *testscript.Env) error {
		e.Setenv("GORACE", "atexit_sleep_ms=0")
		return nil
	}})
}

// writeJournal writes a journal to the folder that it is given: s-1 was served, s-2 stands open. "damage" flips a byte amid it.
func writeJournal(ts *testscript.TestScript, neg bool, args []string) {
	dir := ts.MkAbs(args[0])
	ts.Check(os.RemoveAll(dir))
	w, err := settleslog.Open(settleslog.Options{FS: settleslog.Dir(dir), Segment: settleslog.MinSegment})
	ts.Check(err)
	one, err := w.Intent(context.Background(), requestlog.Intent{Request: "s-1", Class: "sale-settle", Account: "fleet-7", Server: "auth-1", Addr: "127.0.0.1:1", At: time.Now()})
	ts.Check(err)
	w.Outcome(one, requestlog.Served, 200)
	_, err = w.Intent(context.Background(), requestlog.Intent{Request: "s-2", Class: "sale-settle", Account: "fleet-7", Server: "auth-2", Addr: "127.0.0.1:2", At: time.Now()})
	ts.Check(err)
	ts.Check(w.Close())
	if len(args) > 1 && args[1] == "damage" {
		name := filepath.Join(dir, "0000000000000001.seg")
		b, err := os.ReadFile(name)
		ts.Check(err)
		b[bytes.Index(b, []byte("s-1"))]++
		ts.Check(os.WriteFile(name, b, 0o600))
	}
}

func TestParseSeeds(t *testing.T) {
	for text, want := range map[string][]uint64{"1-3": {1, 2, 3}, "7": {7}, "3,9,1-2": {3, 9, 1, 2}, "": nil, "x": nil, "3-1": nil,
		"1-5000": nil, "0-18446744073709551615": nil, "1,": nil, "-4": nil} {
		got, err := parseSeeds(text)
		if (err == nil) != (want != nil) || !reflect.DeepEqual(got, want) && want != nil {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
}
