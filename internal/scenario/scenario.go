// Package scenario says what a rehearsal does and when: servers, agents, load, and everything that goes wrong.
// A Scenario is read from a TOML file or drawn by seed from the operators' ranges; Plan turns it into every
// arrival, id, amount of work and moment of failure. It has no sockets, no clock and no files, and draws in whole
// numbers alone: one seed gives the same bytes on every machine. Start reading at Scenario, then at MakePlan.
package scenario

import (
	"fmt"
	"time"
)

// Bounds of a scenario. They keep a slip of the keyboard from taking the machine, and bound memory: an arrival
// takes under 200 bytes, and its records under 2 KiB.
const (
	MaxServers  = 512
	MaxAgents   = 256
	MaxArrivals = 2_000_000
	MaxLength   = 30 * time.Minute
	MaxFaults   = 1000
	MaxSeed     = 1<<63 - 1 // as far as a TOML file's whole numbers go
)

// Scenario is a rehearsal as it can be written down. All times and rates are those that happen on the sockets:
// a speed-up has been worked in already.
type Scenario struct {
	Seed    uint64  `toml:"seed"`
	Speedup float64 `toml:"speedup"` // how much faster than in service its times run; for the record
	ForS    float64 `toml:"for_s"`   // how long requests arrive, s
	Servers int     `toml:"servers"`
	PodSize int     `toml:"pod_size"`
	Agents  int     `toml:"agents"`
	Rate    float64 `toml:"rate"` // first tries a second, all agents together, without surges

	// Protocol is what callers and servers speak: http (also ""), thrift-binary, thrift-compact, or mixed, in which a
	// part of the pods and of the callers speaks each.
	Protocol string `toml:"protocol,omitempty" json:",omitempty"`

	// Zones are those that pods and agents stand in, each in turn; 0 and 1: all in one. Only the model of the fleet has them.
	Zones int `toml:"zones" json:",omitempty"`

	Peers *Peers `toml:"peers,omitempty" json:",omitempty"` // what agents share; nil: nothing

	Server  ServerKind `toml:"server"`
	List    List       `toml:"list"`
	Clients Clients    `toml:"clients"`
	Rules   Rules      `toml:"rules"`
	Classes []Class    `toml:"class"`
	Surges  []Surge    `toml:"surge"`
	Faults  []Fault    `toml:"fault"`
}

// ServerKind is what all auth servers have in common.
type ServerKind struct {
	Cores        int     `toml:"cores"`
	QueuePerCore float64 `toml:"queue_per_core"` // requests that may wait, for each core
	Speed        float64 `toml:"speed"`          // of a standard core
	SpeedSpread  float64 `toml:"speed_spread"`   // coefficient of variation between servers, under 0.3
	ColdFrom     float64 `toml:"cold_from"`      // share of its capacity that a cold one starts with
	ColdMs       float64 `toml:"cold_ms"`        // until it is warm
	HandshakeMs  float64 `toml:"handshake_ms"`   // work of a new connection
	Connections  int     `toml:"connections"`    // that it accepts
	IdleMs       float64 `toml:"idle_ms"`        // it closes a connection that has been idle for so long
	ProbeMs      float64 `toml:"probe_ms"`       // work of a probe
	ErrorRate    float64 `toml:"error_rate"`
	DropsExpired bool    `toml:"drops_expired"` // turns away what is over when its turn comes
}

// List is the server list.
type List struct {
	NoticeMs       float64 `toml:"notice_ms"`        // until it knows of a drain or an end
	SilentNoticeMs float64 `toml:"silent_notice_ms"` // until it knows that a machine has gone silent
	AddMs          float64 `toml:"add_ms"`           // until it knows of a start
	PeriodMs       float64 `toml:"period_ms"`        // it passes on changes so often
	LinesPerS      float64 `toml:"lines_per_s"`
	CallLines      int     `toml:"call_lines"` // what a call costs, in lines
	TimeoutMs      float64 `toml:"timeout_ms"` // a call that waited longer fails

	// Pushed: it stands on each agent's own machine, which it costs nothing to ask; the agents' settings say so, and none asks.
	// While it is out of reach it is silent.
	Pushed bool `toml:"pushed,omitempty" json:",omitempty"`
}

// Clients are the habits of the callers.
type Clients struct {
	Retries     int     `toml:"retries"`
	Backoff     string  `toml:"backoff"` // none, fixed or exp
	BackoffMs   float64 `toml:"backoff_ms"`
	Honour      float64 `toml:"honour"`       // share of them that heed Retry-After
	BudgetShare float64 `toml:"budget_share"` // of the class's deadline, after which a try is given up
	Impatient   float64 `toml:"impatient"`    // share of tries whose client leaves early
	Skew        float64 `toml:"skew"`         // 0: all agents alike; 1: a few carry most
	Connections int     `toml:"connections"`  // that a client holds at the most

	BusyPart  float64 `toml:"busy_part" json:",omitempty"`  // of the agents carry ...
	BusyTimes float64 `toml:"busy_times" json:",omitempty"` // ... so many times what they would; 0: as others
	// Hasty is the share of the requests whose client gives each try up early and comes again at once. Only the model has it.
	Hasty float64 `toml:"hasty" json:",omitempty"`
}

// Rules are the figures of the four rules, as the settings tell them to the agents.
type Rules struct {
	AnswerGraceMs float64 `toml:"answer_grace_ms"`
	DrainGraceMs  float64 `toml:"drain_grace_ms"`
	AskWithinMs   float64 `toml:"ask_within_ms"`
	FallMultiple  float64 `toml:"fall_multiple"`
	FallMs        float64 `toml:"fall_ms"`
	MaxAttempts   int     `toml:"max_attempts"`
	ConnectMs     float64 `toml:"connect_ms"`
}

// Class is one kind of request.
type Class struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	WorkMs     float64 `toml:"work_ms"` // mean, on a standard core
	WorkCV     float64 `toml:"work_cv"`
	Dist       string  `toml:"dist"` // lognormal or pareto
	AimMs      float64 `toml:"aim_ms"`
	DeadlineMs float64 `toml:"deadline_ms"`
	Worth      float64 `toml:"worth"`
	Effect     string  `toml:"effect"` // safe, keyed or unsafe
	WindowMs   float64 `toml:"window_ms"`
	BodyBytes  int     `toml:"body_bytes"`
}

// The effects of a class.
const (
	Safe   = "safe"
	Keyed  = "keyed"
	Unsafe = "unsafe"
)

// Surge multiplies the rate for a while: a price rise, a fleet fill-up.
type Surge struct {
	AtS   float64 `toml:"at_s"`
	ForS  float64 `toml:"for_s"`
	Times float64 `toml:"times"`
}

// Kinds of faults. Those of a server name Servers, those of an agent name Agents, those of the list neither.
const (
	Silent      = "silent"         // no reset and no answer, new connections never come up; then back, cold
	Swallow     = "swallow"        // takes requests, answers none
	Vanish      = "vanish"         // the process dies: resets, refusals; then back, cold
	Cold        = "cold"           // dies and is back at once, cold
	ResetBefore = "reset-before"   // the work is done, then the connection is reset
	ResetAmid   = "reset-amid"     // half of an answer, then a reset
	Slow        = "slow"           // Times its work
	Drip        = "drip"           // a byte at a time
	HalfClose   = "half-close"     // ends its sending without an answer, and stays
	WrongLength = "wrong-length"   // says more bytes than it sends
	Garbage     = "garbage"        // noise in place of an answer
	SecondAfter = "second"         // a second answer right behind the first
	Errors      = "errors"         // 500
	WrongSeq    = "wrong-seq"      // of Thrift: an answer under another sequence id
	WrongMethod = "wrong-method"   // of Thrift: an answer to another method
	OtherProto  = "other-protocol" // of Thrift: a good answer in the other protocol
	Drain       = "drain"          // finishes what it has, wants nothing new; then gone
	Replaced    = "replaced"       // dies; another id starts at the same address, cold
	Moved       = "moved"          // dies; the same id starts at another address, cold
	ListOut     = "list-out"       // the list is out of reach
	ListStale   = "list-stale"     // out of reach, then back with what it knew AgeS before
	Kill        = "kill"           // an agent is killed outright, and starts again after the fault's length
	Restart     = "restart"        // an agent is told to stop, and starts again once it has ended

	Halt = "halt" // an agent's process is stopped where it stands, and goes on after the fault's length

	// These are of the network between agents, and take a scenario in which they share something.
	Apart = "apart" // nothing passes between Agents and the others
	Mute  = "mute"  // nothing that Agents say reaches the others
	Deaf  = "deaf"  // nothing that the others say reaches Agents
	Lossy = "lossy" // Part of what passes to and from Agents is lost, half as much comes twice, all up to AgeS late

	// These are of the model of the fleet alone.
	Cut      = "cut"       // nothing passes between a zone and the others, neither way; the list does not notice
	Lost     = "lost"      // the work is done, the answer gets lost, and the connection stays silent
	ListLate = "list-late" // the list passes on what it learns AgeS later than else
)

// modelled are the kinds that no rehearsal on sockets has.
var modelled = map[string]bool{Cut: true, Lost: true, ListLate: true}

// kindOf is what a fault's kind happens to.
var kindOf = map[string]string{
	Silent: "server", Swallow: "server", Vanish: "server", Cold: "server", ResetBefore: "server",
	ResetAmid: "server", Slow: "server", Drip: "server", HalfClose: "server", WrongLength: "server",
	Garbage: "server", SecondAfter: "server", Errors: "server", WrongSeq: "server", WrongMethod: "server", OtherProto: "server", Drain: "server", Replaced: "server",
	Moved: "server", ListOut: "list", ListStale: "list", Kill: "agent", Restart: "agent", Halt: "agent",
	Apart: "agent", Mute: "agent", Deaf: "agent", Lossy: "agent",
	Cut: "zone", Lost: "server", ListLate: "list",
}

// Between says whether a kind of fault is one of the network between agents.
func Between(kind string) bool { return kind == Apart || kind == Mute || kind == Deaf || kind == Lossy }

// On says what a kind of fault happens to: "server", "list", "agent", "zone", or "" for an unknown kind.
func On(kind string) string { return kindOf[kind] }

// Fault is something that goes wrong at a time, for a while.
type Fault struct {
	Kind    string  `toml:"kind"`
	AtS     float64 `toml:"at_s"` // at 0 it begins before the first agent is started
	ForS    float64 `toml:"for_s"`
	Servers []int   `toml:"servers,omitempty"`
	Agents  []int   `toml:"agents,omitempty"`
	Part    float64 `toml:"part,omitempty"`                   // share of the answers that it hits; 0 stands for all
	Times   float64 `toml:"times,omitempty"`                  // of slow: how much slower
	AgeS    float64 `toml:"age_s,omitempty"`                  // of list-stale and list-late
	Zone    int     `toml:"zone,omitempty" json:",omitempty"` // of cut
}

// Problem is what is wrong with a scenario: the key as it stands in the file, and why.
type Problem struct {
	Key string // such as fault[2].at_s, counted from 0
	Why string
}

func (p *Problem) Error() string { return p.Key + ": " + p.Why }

// Bounds are the sizes that a scenario may have where it is played.
type Bounds struct{ Servers, Agents, Arrivals int }

// Check returns the first *Problem of a scenario that is to be rehearsed, or nil.
func (s *Scenario) Check() error {
	if err := s.CheckWithin(Bounds{MaxServers, MaxAgents, MaxArrivals}); err != nil {
		return err
	}
	const why = "only the model of the fleet has it (latchkit lab)"
	switch {
	case s.Zones > 1 && s.Peers == nil:
		return &Problem{"zones", why}
	case s.Clients.Hasty > 0:
		return &Problem{"clients.hasty", why}
	}
	for i, f := range s.Faults {
		if modelled[f.Kind] {
			return &Problem{fmt.Sprintf("fault[%d].kind", i), f.Kind + ": " + why}
		}
	}
	return nil
}

// CheckWithin is Check for another place than a rehearsal.
func (s *Scenario) CheckWithin(within Bounds) error {
	bad := func(key, why string, args ...any) error { return &Problem{key, fmt.Sprintf(why, args...)} }
	type bound struct {
		key       string
		v, lo, hi float64
	}
	bounds := []bound{
		{"speedup", s.Speedup, 0.1, 100}, {"for_s", s.ForS, 0.1, MaxLength.Seconds()},
		{"servers", float64(s.Servers), 1, float64(within.Servers)}, {"pod_size", float64(s.PodSize), 1, float64(within.Servers)},
		{"agents", float64(s.Agents), 1, float64(within.Agents)}, {"rate", s.Rate, 0.1, 1e5},
		{"server.cores", float64(s.Server.Cores), 1, 1024}, {"server.queue_per_core", s.Server.QueuePerCore, 0, 1e4},
		{"server.speed", s.Server.Speed, 0.01, 100}, {"server.speed_spread", s.Server.SpeedSpread, 0, 0.3},
		{"server.cold_from", s.Server.ColdFrom, 0.01, 1}, {"server.cold_ms", s.Server.ColdMs, 0, 1e6},
		{"server.handshake_ms", s.Server.HandshakeMs, 0, 1e4}, {"server.connections", float64(s.Server.Connections), 1, 1e5},
		{"server.idle_ms", s.Server.IdleMs, 10, 1e7}, {"server.probe_ms", s.Server.ProbeMs, 0, 1e4},
		{"server.error_rate", s.Server.ErrorRate, 0, 1},
		{"list.notice_ms", s.List.NoticeMs, 0, 1e6}, {"list.silent_notice_ms", s.List.SilentNoticeMs, 0, 1e6},
		{"list.add_ms", s.List.AddMs, 0, 1e6}, {"list.period_ms", s.List.PeriodMs, 1, 1e5},
		{"list.lines_per_s", s.List.LinesPerS, 1, 1e7}, {"list.call_lines", float64(s.List.CallLines), 0, 1e6},
		{"list.timeout_ms", s.List.TimeoutMs, 1, 1e5},
		{"clients.retries", float64(s.Clients.Retries), 0, 10}, {"clients.backoff_ms", s.Clients.BackoffMs, 0, 1e5},
		{"clients.honour", s.Clients.Honour, 0, 1}, {"clients.budget_share", s.Clients.BudgetShare, 0.01, 1},
		{"clients.impatient", s.Clients.Impatient, 0, 1}, {"clients.skew", s.Clients.Skew, 0, 1},
		{"clients.connections", float64(s.Clients.Connections), 1, 4096},
		{"zones", float64(s.Zones), 0, float64(min(16, s.Servers))},
		{"clients.busy_part", s.Clients.BusyPart, 0, 1}, {"clients.busy_times", s.Clients.BusyTimes, 0, 100}, {"clients.hasty", s.Clients.Hasty, 0, 1},
		{"rules.answer_grace_ms", s.Rules.AnswerGraceMs, 0, 1e4}, {"rules.drain_grace_ms", s.Rules.DrainGraceMs, 0, 1e5},
		{"rules.ask_within_ms", s.Rules.AskWithinMs, 0, 1e6}, {"rules.fall_multiple", s.Rules.FallMultiple, 1, 1000},
		{"rules.fall_ms", s.Rules.FallMs, 10, 1e5}, {"rules.max_attempts", float64(s.Rules.MaxAttempts), 1, 10},
		{"rules.connect_ms", s.Rules.ConnectMs, 1, 1e5},
	}
	if p := s.Peers; p != nil {
		bounds = append(bounds, bound{"peers.probe_ms", float64(p.ProbeMs), 0, 6e4}, bound{"peers.exchange_ms", float64(p.ExchangeMs), 0, 3.6e6},
			bound{"peers.rejoin_ms", float64(p.RejoinMs), 0, 6e5}, bound{"peers.window_s", float64(p.WindowS), 0, 3600}, bound{"peers.windows", float64(p.Windows), 0, 100},
			bound{"peers.zones", float64(p.Zones), 0, float64(s.Agents)}, bound{"peers.retries", p.Retries, 0, 1e6}, bound{"peers.static", p.Static, 0, 1},
			bound{"peers.lease_ms", float64(p.LeaseMs), 0, 6e5}, bound{"peers.burst_ms", float64(p.BurstMs), 0, 5000},
			bound{"peers.witnesses", float64(p.Witnesses), 0, 100}, bound{"peers.fade_s", float64(p.FadeS), 0, 600}, bound{"peers.bytes_per_second", float64(p.Bytes), 0, 1 << 20})
	}
	if len(s.Classes) == 0 {
		return bad("class", "at least one is wanted")
	}
	if s.Seed > MaxSeed {
		return bad("seed", "%d is above %d", s.Seed, int64(MaxSeed))
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := func(k string) string { return fmt.Sprintf("class[%d].%s", i, k) }
		if !validName(c.Name) || names[c.Name] {
			return bad(at("name"), "%q: letters, digits and - wanted, once each", c.Name)
		}
		names[c.Name] = true
		if c.Effect != Safe && c.Effect != Keyed && c.Effect != Unsafe {
			return bad(at("effect"), "%q is none of safe, keyed, unsafe", c.Effect)
		}
		if c.Dist != "lognormal" && c.Dist != "pareto" {
			return bad(at("dist"), "%q is neither lognormal nor pareto", c.Dist)
		}
		bounds = append(bounds, bound{at("share"), c.Share, 0.001, 1e6}, bound{at("work_ms"), c.WorkMs, 0.01, 1e5},
			bound{at("work_cv"), c.WorkCV, 0.05, 4}, bound{at("aim_ms"), c.AimMs, 1, 1e5},
			bound{at("deadline_ms"), c.DeadlineMs, c.AimMs, 1e5}, bound{at("worth"), c.Worth, 0, 1e6},
			bound{at("window_ms"), c.WindowMs, 0, 1e6}, bound{at("body_bytes"), float64(c.BodyBytes), 0, 64 << 10})
	}
	for i, u := range s.Surges {
		at := func(k string) string { return fmt.Sprintf("surge[%d].%s", i, k) }
		bounds = append(bounds, bound{at("at_s"), u.AtS, 0, s.ForS}, bound{at("for_s"), u.ForS, 0.001, 1e5},
			bound{at("times"), u.Times, 0.01, 100})
	}
	if len(s.Faults) > MaxFaults {
		return bad("fault", "%d, %d allowed", len(s.Faults), MaxFaults)
	}
	for i, f := range s.Faults {
		at := func(k string) string { return fmt.Sprintf("fault[%d].%s", i, k) }
		bounds = append(bounds, bound{at("at_s"), f.AtS, 0, s.ForS}, bound{at("for_s"), f.ForS, 0, 1e5},
			bound{at("part"), f.Part, 0, 1}, bound{at("age_s"), f.AgeS, 0, 1e5})
		if f.Kind == Slow {
			bounds = append(bounds, bound{at("times"), f.Times, 1, 1000})
		}
	}
	for _, b := range bounds {
		if !(b.v >= b.lo && b.v <= b.hi) {
			return bad(b.key, "%v is not from %v to %v", b.v, b.lo, b.hi)
		}
	}
	switch s.Clients.Backoff {
	case "none", "fixed", "exp":
	default:
		return bad("clients.backoff", "%q is none of none, fixed, exp", s.Clients.Backoff)
	}
	switch s.Protocol {
	case "", "http", "thrift-binary", "thrift-compact", "mixed":
	default:
		return bad("protocol", "%q is none of http, thrift-binary, thrift-compact, mixed", s.Protocol)
	}
	for i, f := range s.Faults {
		if err := s.checkTargets(i, f); err != nil {
			return err
		}
	}
	peak := 1.0
	for _, u := range s.Surges {
		peak *= max(1, u.Times)
	}
	if n := s.Rate * s.ForS * peak; n > float64(within.Arrivals) {
		return bad("rate", "up to %.0f arrivals in all, %d allowed", n, within.Arrivals)
	}
	return nil
}

func (s *Scenario) checkTargets(i int, f Fault) error {
	key := func(k string) string { return fmt.Sprintf("fault[%d].%s", i, k) }
	targets, n, name, other := f.Servers, s.Servers, "servers", f.Agents
	switch On(f.Kind) {
	case "":
		return &Problem{key("kind"), fmt.Sprintf("%q is unknown", f.Kind)}
	case "agent":
		if Between(f.Kind) && s.Peers == nil {
			return &Problem{key("kind"), f.Kind + ": the agents share nothing ([peers] is missing)"}
		}
		targets, n, name, other = f.Agents, s.Agents, "agents", f.Servers
	case "list", "zone":
		if len(f.Servers)+len(f.Agents) > 0 {
			return &Problem{key("kind"), f.Kind + " names no servers or agents"}
		}
		if f.Kind == Cut && (s.Zones < 2 || f.Zone < 0 || f.Zone >= s.Zones) {
			return &Problem{key("zone"), fmt.Sprintf("%d: there are %d zones, and it takes two", f.Zone, s.Zones)}
		}
		return nil
	}
	if len(other) > 0 {
		return &Problem{key("kind"), f.Kind + " happens to " + name + " only"}
	}
	if len(targets) == 0 {
		return &Problem{key(name), "missing"}
	}
	if len(targets) > n {
		return &Problem{key(name), fmt.Sprintf("%d of them, there are %d", len(targets), n)}
	}
	seen := map[int]bool{}
	for _, t := range targets {
		if t < 0 || t >= n || seen[t] {
			return &Problem{key(name), fmt.Sprintf("%d: 0 to %d wanted, once each", t, n-1)}
		}
		seen[t] = true
	}
	return nil
}

func validName(s string) bool {
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-') {
			return false
		}
	}
	return s != "" && len(s) <= 40
}
