// Package config reads the platform's configuration of an agent. It checks what it reads and holds nothing open.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"saltmast"
	"saltmast/internal/discovery"
	"saltmast/internal/wire"
)

// Config is all that an agent is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string // host:port of discovery
	Calls     string // where operators call; "": nowhere
	Scratch   string // the folder that the processes of this agent share; "": none. The system's common one is no agent's own
	Seed      uint64
	MemoryMB  int // 0: no limit
	Sockets   int // file descriptors that the process may hold; 0: no limit
	Settings  saltmast.Settings
	Names     wire.Names
	Operator  *Operator         // nil: no operator's file
	Known     discovery.Listing // the backends as last known; may be old

	raw map[string]any // as it was read
}

// An agent with a second address runs twice during an upgrade, both processes within one bound: each keeps some room for
// the second address, the list and files.
const callsRoom = 32

// Connections is how many descriptors may go to connections, of all processes of this agent together. 0: no bound. Without a
// second address an eighth is room for all else.
func (c *Config) Connections(processes int) int {
	if c.Calls == "" || c.Sockets == 0 {
		return c.Sockets * 7 / 8
	}
	return max(2*processes, c.Sockets-callsRoom*processes)
}

// Divide shares out connections: four sevenths to clients, of whom more wait than are out at backends when all is crowded, the
// rest to backends.
func Divide(connections int) (clients, backends int) {
	return (connections*4 + 6) / 7, connections * 3 / 7
}

// ClientConns is how many connections clients may have while the agent is one process.
func (c *Config) ClientConns() int {
	n, _ := Divide(c.Connections(1))
	return n
}

// BackendConns is the same for backends.
func (c *Config) BackendConns() int {
	_, n := Divide(c.Connections(1))
	return n
}

// BodyBytes is how much memory bodies over 64 KiB may take while they are kept: an eighth of the limit, 16 MB without one.
func (c *Config) BodyBytes(processes int) int64 {
	if c.MemoryMB == 0 {
		return 16 << 20
	}
	return int64(c.MemoryMB) << 20 / 8 / int64(processes)
}

// Passings is how many requests may have bodies that pass at once: each holds a connection at a backend for as long as its
// client takes, and short requests need the other half.
func (c *Config) Passings(processes int) int { return (c.BackendConns()/processes + 1) / 2 }

// HeapLimit is the collector's bound in bytes under a limit on memory: the program itself counts too, once for each process.
func HeapLimit(memoryMB, processes int) int64 {
	return int64(memoryMB) << 20 * 5 / 8 / int64(processes)
}

// OpenRequests is how many requests may be open, for the module to keep some of that free: what the settings
// allow, and no more than clients can hold, to whom a third of the descriptors goes for requests, each on a
// connection of its own. Beyond that requests wait unseen or are turned away.
func (c *Config) OpenRequests() int {
	n := c.Settings.MaxOpen
	if third := c.Sockets / 3; third > 0 && (n == 0 || third < n) {
		n = third
	}
	return n
}

// Load reads the configuration file. Empty name and addresses are taken from the environment.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the file
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads a configuration. An error names the key.
func Parse(raw []byte) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Operator, Seed string
		Limits                                  struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: or(f.Name, "GW_NAME"), Listen: or(f.Listen, "GW_LISTEN"),
		Discovery: or(f.Discovery, "GW_DISCOVERY"), Calls: or(f.Operator, "GW_OPERATOR"), Scratch: os.Getenv("TMPDIR"), MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := discovery.CheckAddr(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
	}
	if c.Calls != "" {
		if err := discovery.CheckAddr(c.Calls); err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < 0 || c.Sockets < 0 {
		return nil, errors.New("limits: negative")
	}
	if f.Settings == nil {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Names, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if f.Known != nil {
		if c.Known, err = discovery.ParseListing(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if c.raw, err = rawOf(raw); err != nil {
		return nil, err
	}
	if _, ok := c.raw["known"]; ok {
		c.raw["known"] = true // that it is there is all that a reload looks at
	}
	if err := c.checkRaw(); err != nil {
		return nil, err
	}
	if err := c.Settings.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

func or(v, env string) string {
	if v == "" {
		return os.Getenv(env)
	}
	return v
}
