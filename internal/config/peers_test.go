package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestPeersSection(t *testing.T) {
	dir := t.TempDir()
	key, short := filepath.Join(dir, "key"), filepath.Join(dir, "short")
	os.WriteFile(key, []byte("MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=\n"), 0o600)
	os.WriteFile(short, []byte("MDEy\n"), 0o600)
	good := "[peers]\nlisten = \"127.0.0.1:0\"\n"
	o, err := ParseOperator("x.toml", []byte(good), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if p := o.Peers; p.Members != 512 || p.WindowS != 30 || p.Cluster != "violetlatch" || p.Retries != nil || p.Key != nil {
		t.Errorf("%+v", p)
	}
	o, err = ParseOperator("x.toml", []byte("[peers]\nlisten = \"10.0.0.1:7946\"\nkey_file = \""+key+"\"\n[peers.retries]\nper_second = 20\nagents = 12\n"), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if p := o.Peers; len(p.Key) != 32 || p.Retries.Static != 0.5 || p.Retries.LeaseMs != 6000 || p.Retries.BurstMs != 1000 {
		t.Errorf("%+v, %+v", p, p.Retries)
	}
	for _, c := range []struct{ text, want string }{
		{"[peers]\n", `x.toml: peers.listen: "" is no IP address and port`},
		{"[peers]\nlisten = \"host:1\"\n", `x.toml:2: peers.listen: "host:1" is no IP`},
		{"[peers]\nlisten = \"10.0.0.1:1\"\n", "x.toml: peers.key_file: missing: 10.0.0.1 is not loopback"},
		{good + "key_file = \"" + short + "\"\n", "x.toml:3: peers.key_file: " + short + ": 16, 24 or 32 bytes"},
		{good + "key_file = \"" + dir + "/none\"\n", "x.toml:3: peers.key_file: open "},
		{good + "advertise = \"1.2.3.4\"\n", `x.toml:3: peers.advertise: "1.2.3.4" is no IP`},
		{good + "join = [\"127.0.0.1:1\", \"127.0.0.1:x\"]\n", `x.toml:3: peers.join: [1]: "127.0.0.1:x": no port`},
		{good + "join_file = \"here\"\n", `x.toml:3: peers.join_file: "here": an absolute path`},
		{good + "zone = \"" + strings.Repeat("z", 65) + "\"\n", "x.toml:3: peers.zone: longer than 64 bytes"},
		{good + "windows = 1\n", "x.toml:3: peers.windows: 1 is not from 2 to 100"},
		{good + "probe_ms = -1\n", "x.toml:3: peers.probe_ms: -1 is not"},
		{good + "gossip = 1\n", "x.toml:3: peers.gossip: unknown key"},
		{good + "[peers.retries]\nagents = 3\n", "x.toml: peers.retries.per_second: 0 is not"},
		{good + "[peers.retries]\nper_second = nan\nagents = 3\n", "x.toml:4: peers.retries.per_second: NaN is not"},
		{good + "[peers.retries]\nper_second = 3\n", "x.toml: peers.retries.agents: 0 is not"},
		{good + "[peers.retries]\nper_second = 3\nagents = 3\nstatic = 1.5\n", "x.toml:6: peers.retries.static: 1.5 is not"},
		{good + "[peers.retries]\nper_second = 3\nagents = 3\nlease_ms = 10\n", "x.toml:6: peers.retries.lease_ms: 10 is not"},
		{good + "[peers.retries]\nper_second = 3\nagents = 3\nburst_ms = 9000\n", "x.toml:6: peers.retries.burst_ms: 9000 is not"},
		{good + "[peers.judge]\nwitnesses = 1\n", "x.toml:4: peers.judge.witnesses: 1 is not from 2 to 100"},
		{good + "[peers.judge]\npart = 0.9\n", "x.toml:4: peers.judge.part: 0.9 is not"},
		{good + "[peers.judge]\nfade_s = 1\n", "x.toml:4: peers.judge.fade_s: 1 is not"},
	} {
		_, err := ParseOperator("x.toml", []byte(c.text), nil, nil)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", c.text, err, c.want)
		}
	}
}

// The file is read each time: whoever looks for peers finds those that came since.
func TestJoinFileIsReadAnew(t *testing.T) {
	name := filepath.Join(t.TempDir(), "join")
	p := &Peers{Join: []string{"127.0.0.1:1"}, JoinFile: name}
	if got := p.Addresses(); !slices.Equal(got, p.Join) {
		t.Errorf("without the file: %v", got)
	}
	os.WriteFile(name, []byte("# two\n127.0.0.2:2\n\nnonsense\n127.0.0.3:3"), 0o600)
	if got := p.Addresses(); !slices.Equal(got, []string{"127.0.0.1:1", "127.0.0.2:2", "127.0.0.3:3"}) {
		t.Errorf("%v", got)
	}
}

// The samples that ship are files that a start would take.
func TestSamplesAreTaken(t *testing.T) {
	for _, name := range []string{"violetlatch.toml", "peers.sample.toml"} {
		o, err := LoadOperator(filepath.Join("../../deploy", name), nil, nil)
		if err != nil {
			t.Error(err)
			continue
		}
		if on := o.Peers != nil; on != (name == "peers.sample.toml") {
			t.Errorf("%s: peers %v", name, on)
		}
	}
}
