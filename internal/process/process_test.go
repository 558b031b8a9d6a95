package process_test

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"saltmast/internal/process"
	"saltmast/internal/proxy"
)

func TestMain(m *testing.M) {
	os.Setenv("GORACE", "atexit_sleep_ms=0")
	testscript.Main(m, map[string]func(){"tug": func() { os.Exit(process.Main(proxy.Program, os.Args[1:])) }})
}

// TestScripts runs the documented command lines.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", RequireExplicitExec: true, Setup: func(e *testscript.Env) error {
		e.Setenv("GORACE", "atexit_sleep_ms=0")
		return nil
	}, Cmds: map[string]func(*testscript.TestScript, bool, []string){"status": status, "lines": lines}})
}

// status runs a program and checks its exit status, for example: status 2 tug --what.
func status(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: status STATUS PROGRAM ARGS...")
	}
	if got := exitStatus(ts.Exec(args[1], args[2:]...)); got != args[0] {
		ts.Fatalf("status %s, want %s", got, args[0])
	}
}

func exitStatus(err error) string {
	if err == nil {
		return "0"
	}
	return strings.TrimPrefix(err.Error(), "exit status ")
}

// lines checks the number of lines in a file, for example: lines 1 stderr.
func lines(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: lines NUMBER FILE")
	}
	text := ts.ReadFile(args[1])
	if got := strings.Count(text, "\n"); args[0] != string(rune('0'+got)) {
		ts.Fatalf("%d lines, want %s: %s", got, args[0], text)
	}
}

// A SIGHUP that arrives while the settings are still being read must not kill the process, as it would if signals were not
// handled from the start.
func TestEarlySignal(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "tug") // this test binary as the program, see TestMain
	cmd.Env = append(os.Environ(), "VIOLETLATCH_SETTINGS="+path)
	var stderr strings.Builder
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var w *os.File
	for { // the FIFO cannot be opened before the program reads it
		var err error
		if w, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			break
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGHUP)
	other := path + ".new" // the content of the next read
	if err := errors.Join(os.WriteFile(other, []byte("ip: 300\n"), 0o600), os.Rename(other, path), w.Close()); err != nil {
		t.Fatal(err)
	}
	cmd.Wait()
	if s := cmd.ProcessState; s.ExitCode() != 1 || strings.Count(stderr.String(), "\n") != 1 {
		t.Errorf("%v, with stderr %q", s, stderr.String())
	}
}
