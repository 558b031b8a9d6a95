package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const sample = `node-name: "quay-1"
role: "tug"
machine-class: "sidecar"
serves:
  - "sidecar"
ip: "10.9.0.8"
zone: "east-quay"
region: "estuary"
zones:
  east-quay: "estuary"
  west-quay: "estuary"
listen-addrs:
  inbound: "10.9.0.8:9146"
  outbound: "10.9.0.8:9147"
ephemeral-ports:
  - 6380
  - 6395
seed-nodes:
  - "10.9.0.41:9144"
  - "10.9.1.43:9144"
bootstrap: true
quorum-member: false
limits:
  cpu-fraction: 0.25
  cpu-cores: 1
  memory-mb: 256
  file-descriptors: 4000
  bandwidth-mbps: 1000.0
  disk-mb: 0
  of-a-later-day: [1]
data-directory: null
of-a-later-day: {a: 1}
heartbeat-s: 1.5
contracts:
  - "base"
fault-tolerance:
  machine-losses: 1
  zones: 0
  region-losses: 2
bounds:
  - "contact-s=4"
  - "drain-s=3.5"
  - "tide-s=high"
  - "retry-budget-ratio=0.3"
app-addr: "10.9.0.8:9145"
service: "cranes"
`

func write(t testing.TB, text string) string {
	path := filepath.Join(t.TempDir(), "local.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoad(t *testing.T) {
	path := write(t, sample)
	t.Setenv(PathVariable, path)
	got, err := Load(Path())
	if err != nil {
		t.Fatal(err)
	}
	bounds := DefaultBounds()
	bounds.Contact, bounds.Drain, bounds.RetryRatio = 4*time.Second, 3500*time.Millisecond, 0.3
	want := &Settings{
		Path: path, NodeName: "quay-1", Role: "tug", MachineClass: "sidecar", IP: "10.9.0.8", Zone: "east-quay", Region: "estuary",
		Serves: []string{"sidecar"}, Zones: map[string]string{"east-quay": "estuary", "west-quay": "estuary"},
		Listen: map[string]string{"inbound": "10.9.0.8:9146", "outbound": "10.9.0.8:9147"}, Ports: [2]int{6380, 6395},
		Seeds: []string{"10.9.0.41:9144", "10.9.1.43:9144"}, Bootstrap: true,
		CPUFraction: 0.25, CPUCores: 1, MemoryMB: 256, Descriptors: 4000, BandwidthMbps: 1000,
		Heartbeat: 1500 * time.Millisecond, Contracts: []string{"base"}, Tolerance: Tolerance{Machines: 1, Regions: 2}, Bounds: bounds,
		AppAddr: "10.9.0.8:9145", Service: "cranes",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	for i, want := range map[int]string{-1: "", 0: "10.9.0.8:6380", 15: "10.9.0.8:6395", 16: ""} {
		if p := got.Port(i); p != want {
			t.Errorf("port %d: %q, want %q", i, p, want)
		}
	}
}

// A core machine has a disk and no backend. The bounds may be given on one line.
func TestCore(t *testing.T) {
	text, _, _ := strings.Cut(sample, "bounds:")
	text = strings.Replace(text, "data-directory: null", `data-directory: "/hold"`, 1)
	s, err := Parse([]byte(text + `bounds: "contact-s=4, drain-s=3.5,tide-s=high,retry-allowance=7"`))
	if err != nil {
		t.Fatal(err)
	}
	bounds := DefaultBounds()
	bounds.Contact, bounds.Drain, bounds.RetryAllowance = 4*time.Second, 3500*time.Millisecond, 7
	if s.DataDir != "/hold" || s.AppAddr != "" || s.Service != "" || s.Bounds != bounds {
		t.Errorf("got %+v", s)
	}
}

func TestBadValues(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`ip: "10.9.0.8"`, `ip: "10.9.0.888"`, `ip: wanted an IPv4 address, got "10.9.0.888"`},
		{"role: \"tug\"\n", "", `role: wanted the name of a role, got nothing`},
		{`  - 6395`, "  - 6395\n  - 7000", `ephemeral-ports: wanted the first and the last port, from 1 to 65535, got [6380,6395,7000]`},
		{`  - 6395`, `  - 70000`, `ephemeral-ports.1: wanted the first and the last port, from 1 to 65535, got 70000`},
		{`  - 6395`, `  - 6300`, `ephemeral-ports: wanted the last port not below the first, got 6300 after 6380`},
		{`10.9.1.43:9144`, `10.9.1.43`, `seed-nodes.1: wanted addresses such as 10.0.0.1:8080 in a list, got "10.9.1.43"`},
		{`inbound: "10.9.0.8:9146"`, `inbound: 9146`, `listen-addrs.inbound: wanted addresses such as 10.0.0.1:8080 by name, got 9146`},
		{`memory-mb: 256`, `memory-mb: as much as the hold of the largest ship takes`, `limits.memory-mb: wanted megabytes, 0 or more, got "as much as the hold of the largest s...`},
		{`limits:`, "limits: 3\nthe-rest:", `limits: wanted limits by name, got 3`},
		{`bootstrap: true`, `bootstrap: 1`, `bootstrap: wanted true or false, got 1`},
		{`contact-s=4`, `contact-s=soon`, `bounds.contact-s: wanted a number from 0 to 1000000, got "soon"`},
		{`heartbeat-s: 1.5`, `heartbeat-s: 0`, `heartbeat-s: wanted seconds over 0, got 0`},
		{`role: "tug"`, `role: tug: boat`, `wanted a YAML document, got line 2: mapping values are not allowed in this context`},
		{sample, "hello", `wanted named fields, got "hello"`},
	} {
		path := write(t, strings.Replace(sample, c.old, c.new, 1))
		if _, err := Load(path); err == nil || err.Error() != path+": "+c.want {
			t.Errorf("%q:\ngot  %v\nwant %s", c.new, err, path+": "+c.want)
		}
	}
}

func TestWatch(t *testing.T) {
	path := write(t, "a")
	w := NewWatch(path)
	step := func(what string, want bool) {
		t.Helper()
		if got := w.Changed(); got != want {
			t.Errorf("%s: changed is %v", what, got)
		}
	}
	later := time.Now()
	put := func(text string) {
		later = later.Add(time.Hour)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, later, later); err != nil {
			t.Fatal(err)
		}
	}
	step("at first", false)
	put("a")
	step("written again with the same text", false)
	put("b")
	step("another text", true)
	step("unchanged since", false)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	step("removed", false)
	put("bc")
	step("recreated with another text", true)
}

func BenchmarkLoad(b *testing.B) {
	path := write(b, sample)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Load(path); err != nil {
			b.Fatal(err)
		}
	}
}
