package config

import (
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"saltmast/internal/tomlfile"
)

// Peers is what agents share with each other. Without the section nothing listens and nothing is sent. Numbers of 0 stand
// for the usual, in brackets.
type Peers struct {
	Listen     string   `toml:"listen"`           // IP address and port, for TCP and UDP
	Advertise  string   `toml:"advertise"`        // where others reach it; "": where it listens
	Join       []string `toml:"join"`             // addresses of a few others
	JoinFile   string   `toml:"join_file"`        // a file of them, one a line, read again while nobody is found
	Cluster    string   `toml:"cluster"`          // fleets of other names are not heard
	Zone       string   `toml:"zone"`             // of this agent
	KeyFile    string   `toml:"key_file"`         // 16, 24 or 32 bytes in base64: what is said is encrypted by it
	Members    int      `toml:"members"`          // that are known at the most (512)
	Bytes      int      `toml:"bytes_per_second"` // of counts that are told at the most (768)
	StateKB    int      `toml:"state_kb"`         // of a whole state at the most (1024)
	ProbeMs    int      `toml:"probe_ms"`         // between two looks whether a member lives (1000)
	ExchangeMs int      `toml:"exchange_ms"`      // between two exchanges of whole states (30000)
	RejoinMs   int      `toml:"rejoin_ms"`        // between two calls of those that were lost (5000)
	WindowS    int      `toml:"window_s"`         // length of a window of counts (30)
	Windows    int      `toml:"windows"`          // that are kept, the present one included (10)
	Retries    *Retries `toml:"retries"`
	Judge      *Judge   `toml:"judge"`

	Key []byte `toml:"-"` // as key_file has it
}

// Retries is the budget of retries that all agents share. It only takes away: what the module allows is the most.
type Retries struct {
	Rate    float64 `toml:"per_second"` // of all agents together
	Agents  int     `toml:"agents"`     // that it is divided among
	Static  float64 `toml:"static"`     // share of its part that an agent never lends (0.5)
	LeaseMs int     `toml:"lease_ms"`   // how long a part is lent for (6000)
	BurstMs int     `toml:"burst_ms"`   // what is not spent is kept for so long (1000)
}

// Judge is how far an agent goes by what others saw of backends.
type Judge struct {
	Witnesses int     `toml:"witnesses"` // agents that have to have seen the same (3)
	Part      float64 `toml:"part"`      // of the backends may be left out on their word at the most (0.2)
	FadeS     int     `toml:"fade_s"`    // a word counts for so long (8)
}

// Addresses are those to join, with the file's as it stands now.
func (p *Peers) Addresses() []string {
	out := append([]string(nil), p.Join...)
	if p.JoinFile != "" {
		raw, err := os.ReadFile(p.JoinFile)
		if err != nil {
			return out // it may come yet
		}
		for line := range strings.Lines(string(raw)) {
			if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") && checkPeer(line) == nil {
				out = append(out, line)
			}
		}
	}
	return out
}

// checkPeer wants an IP address and a port: names would be asked for while nobody answers.
func checkPeer(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no IP address and port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q: no port", addr)
	}
	return nil
}

func (p *Peers) check(f *tomlfile.File) error {
	if err := checkPeer(p.Listen); err != nil {
		return f.Error("peers.listen", err.Error())
	}
	if p.Advertise != "" {
		if err := checkPeer(p.Advertise); err != nil {
			return f.Error("peers.advertise", err.Error())
		}
	}
	for i, a := range p.Join {
		if err := checkPeer(a); err != nil {
			return f.Error("peers.join", fmt.Sprintf("[%d]: %s", i, err))
		}
	}
	if p.JoinFile != "" && !filepath.IsAbs(p.JoinFile) {
		return f.Error("peers.join_file", fmt.Sprintf("%q: an absolute path is wanted", p.JoinFile))
	}
	for _, t := range []struct{ key, text string }{{"cluster", p.Cluster}, {"zone", p.Zone}} {
		if len(t.text) > 64 {
			return f.Error("peers."+t.key, "longer than 64 bytes")
		}
	}
	host, _, _ := net.SplitHostPort(p.Listen)
	switch {
	case p.KeyFile != "":
		raw, err := os.ReadFile(p.KeyFile)
		if err != nil {
			return f.Error("peers.key_file", err.Error())
		}
		key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(raw)))
		if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
			return f.Error("peers.key_file", p.KeyFile+": 16, 24 or 32 bytes in base64 are wanted")
		}
		p.Key = key
	case !net.ParseIP(host).IsLoopback():
		return f.Error("peers.key_file", "missing: "+host+" is not loopback, and what is said there has to be encrypted")
	}
	if err := whole(f, "peers.", number{"members", &p.Members, 512, 2, 10000}, number{"bytes_per_second", &p.Bytes, 768, 64, 1 << 20},
		number{"state_kb", &p.StateKB, 1024, 1, 8192}, number{"probe_ms", &p.ProbeMs, 1000, 20, 60000},
		number{"exchange_ms", &p.ExchangeMs, 30000, 50, 3600000}, number{"rejoin_ms", &p.RejoinMs, 5000, 50, 600000},
		number{"window_s", &p.WindowS, 30, 1, 3600}, number{"windows", &p.Windows, 10, 2, 100}); err != nil {
		return err
	}
	if p.Cluster == "" {
		p.Cluster = "violetlatch"
	}
	if err := p.Retries.check(f); err != nil {
		return err
	}
	return p.Judge.check(f)
}

func (r *Retries) check(f *tomlfile.File) error {
	if r == nil {
		return nil
	}
	if r.Static == 0 {
		r.Static = 0.5
	}
	if !(r.Static > 0 && r.Static <= 1) {
		return f.Error("peers.retries.static", fmt.Sprintf("%v is not above 0 and up to 1", r.Static))
	}
	if !(r.Rate >= 0.001 && r.Rate <= 1e6) {
		return f.Error("peers.retries.per_second", fmt.Sprintf("%v is not from 0.001 to 1000000", r.Rate))
	}
	return whole(f, "peers.retries.", number{"agents", &r.Agents, 0, 1, 10000}, number{"lease_ms", &r.LeaseMs, 6000, 500, 600000},
		number{"burst_ms", &r.BurstMs, 1000, 1, 5000})
}

func (j *Judge) check(f *tomlfile.File) error {
	if j == nil {
		return nil
	}
	if j.Part == 0 {
		j.Part = 0.2
	}
	if !(j.Part > 0 && j.Part <= 0.5) {
		return f.Error("peers.judge.part", fmt.Sprintf("%v is not above 0 and up to 0.5", j.Part))
	}
	return whole(f, "peers.judge.", number{"witnesses", &j.Witnesses, 3, 2, 100}, number{"fade_s", &j.FadeS, 8, 2, 600})
}

// number is a whole number of the file: 0 stands for the usual.
type number struct {
	key                string
	value              *int
	usual, least, most int
}

// whole sets what is usual and checks the bounds.
func whole(f *tomlfile.File, section string, all ...number) error {
	for _, n := range all {
		if *n.value == 0 {
			*n.value = n.usual
		}
		if *n.value < n.least || *n.value > n.most {
			return f.Error(section+n.key, fmt.Sprintf("%d is not from %d to %d", *n.value, n.least, n.most))
		}
	}
	return nil
}
