package scenario

import (
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"saltmast/internal/tomlfile"
)

// Parse reads a scenario file's text. What it leaves out is as Draw has it for the file's seed and size, but for
// what goes wrong: faults and surges are those of the file alone. An error is one line that names the file, the
// line and the key.
func Parse(name string, text []byte) (Scenario, error) {
	f, err := tomlfile.Read(name, text)
	if err != nil {
		return Scenario{}, err
	}
	var head struct {
		Seed    uint64  `toml:"seed"`
		Servers int     `toml:"servers"`
		Agents  int     `toml:"agents"`
		Rate    float64 `toml:"rate"`
		ForS    float64 `toml:"for_s"`
		Speedup float64 `toml:"speedup"`
	}
	if err := f.Decode(&head, false); err != nil {
		return Scenario{}, err
	}
	for _, k := range []struct {
		key string
		v   float64
	}{{"servers", float64(head.Servers)}, {"agents", float64(head.Agents)}, {"rate", head.Rate}, {"for_s", head.ForS}, {"speedup", head.Speedup}} {
		if f.Line(k.key) > 0 && !(k.v > 0) {
			return Scenario{}, f.Error(k.key, fmt.Sprintf("%v is not above 0", k.v))
		}
	}
	if head.Servers > MaxServers {
		return Scenario{}, f.Error("servers", fmt.Sprintf("%d, %d allowed", head.Servers, MaxServers))
	}
	if head.Agents > MaxAgents {
		return Scenario{}, f.Error("agents", fmt.Sprintf("%d, %d allowed", head.Agents, MaxAgents))
	}
	s := Draw(head.Seed, Size{Servers: head.Servers, Agents: head.Agents, Rate: head.Rate, ForS: head.ForS, Speedup: head.Speedup})
	s.Faults, s.Surges = nil, nil
	drawn := s.Classes
	s.Classes = nil
	if err := f.Decode(&s, true); err != nil {
		return Scenario{}, err
	}
	if s.Classes == nil {
		s.Classes = drawn
	}
	if err := s.Check(); err != nil {
		var p *Problem
		if errors.As(err, &p) {
			return Scenario{}, f.Error(p.Key, p.Why)
		}
		return Scenario{}, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// File is a scenario as text that Parse reads back to the same scenario.
func (s Scenario) File() ([]byte, error) { return toml.Marshal(s) }
