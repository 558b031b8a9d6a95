package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The platform loads a library of its own into the agent, so what `build` makes must be linked against the C library
// when it starts; and `run` must become that one process. Both are read off the deploy file and its product.
func TestDeployedProgramIsDynamicallyLinked(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("ELF is Linux's")
	}
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		t.Fatal(err)
	}
	if deploy.Run != "exec bin/violetlatch" {
		t.Errorf("run = %q, want one process by exec", deploy.Run)
	}
	// The command as it stands, for the daemon alone and into a folder of the test's.
	line := regexp.MustCompile(`(CGO_ENABLED=1 )?go build .*`).FindString(deploy.Build)
	bin := filepath.Join(t.TempDir(), "violetlatch")
	line = strings.NewReplacer("-o bin/", "-o "+bin, "./cmd/...", "./cmd/violetlatch").Replace(line)
	cmd := exec.Command("sh", "-c", line)
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", line, err, out)
	}
	f, err := elf.Open(bin)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("needs %q, want the C library among them", libs)
	}
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("no dynamic loader is named")
	}
}
