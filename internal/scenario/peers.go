package scenario

// Peers is what the agents of a scenario share, as their operator's file has it. Numbers of 0 stand for what the agent takes
// for usual.
type Peers struct {
	Cluster    string `toml:"cluster,omitempty" json:",omitempty"`
	Key        string `toml:"key_file,omitempty" json:",omitempty"`
	ProbeMs    int    `toml:"probe_ms"`
	ExchangeMs int    `toml:"exchange_ms"`
	RejoinMs   int    `toml:"rejoin_ms"`
	WindowS    int    `toml:"window_s"`
	Windows    int    `toml:"windows"`
	Bytes      int    `toml:"bytes_per_second"`
	Zones      int    `toml:"zones"` // agents stand in so many, in turn; 0: none is told

	Retries float64 `toml:"retries"` // a second, of all together; 0: no budget
	Static  float64 `toml:"static"`
	LeaseMs int     `toml:"lease_ms"`
	BurstMs int     `toml:"burst_ms"`

	Witnesses int `toml:"witnesses"` // 0: no agent goes by what others saw of backends
	FadeS     int `toml:"fade_s"`
}

// DrawFleet draws a scenario of agents that share state, in which they fail, and the network between them. What happens at
// the backends is mild: it gives something to retry and something to judge.
func DrawFleet(seed uint64, size Size) Scenario {
	size.Agents, size.Servers, size.ForS = orInt(size.Agents, 12), orInt(size.Servers, 10), or(size.ForS, 30)
	size.Speedup = or(size.Speedup, 4)
	s := Draw(seed, size)
	d := newDice(seed, 7)
	part := func(lo, hi int64) float64 { return float64(d.between(lo, hi)) / 1000 }
	if size.Rate == 0 {
		s.Rate = float64(min(8*s.Agents, 500))
	}
	s.Surges = []Surge{{AtS: 0.5 * s.ForS, ForS: 0.3 * s.ForS, Times: part(1500, 2500)}}
	s.Server.ErrorRate = part(30, 120)
	s.Clients.Retries, s.Clients.Impatient = 0, 0
	s.Clients.Skew, s.Clients.BusyPart, s.Clients.BusyTimes = 0, max(0.1, 1.01/float64(s.Agents)), part(6000, 14000)
	for i := range s.Classes {
		s.Classes[i].WorkMs, s.Classes[i].WorkCV, s.Classes[i].Dist = 4, 1, "lognormal"
	}
	// Quick for a few agents; many on one machine get the spans that they have in service, or the machine does nothing else.
	times := max(1, s.Agents/24)
	s.Peers = &Peers{ProbeMs: min(1000, 200*times), ExchangeMs: min(5000, 1000*times*times), RejoinMs: min(5000, 500*times), WindowS: 600, Windows: 3, Bytes: 4096, Zones: min(2, s.Agents),
		Retries: float64(max(4, int64(s.Rate/10))), Static: 0.25, LeaseMs: int(d.between(1500, 3000)), BurstMs: 250, Witnesses: 3, FadeS: 4}
	s.Faults = nil
	some := func(lo, hi int64) []int {
		n := max(1, int(d.between(lo, hi)*int64(s.Agents)/1000))
		return d.Perm(s.Agents)[:n]
	}
	at := func(lo, hi int64) float64 {
		return float64(d.between(lo*int64(1000*s.ForS)/1000, hi*int64(1000*s.ForS)/1000)) / 1000
	}
	add := func(f Fault) { s.Faults = append(s.Faults, f) }
	between := []func(){
		func() { add(Fault{Kind: Apart, AtS: at(150, 400), ForS: at(100, 250), Agents: some(450, 550)}) },
		func() { // in three
			all := d.Perm(s.Agents)
			from, length := at(150, 400), at(100, 250)
			add(Fault{Kind: Apart, AtS: from, ForS: length, Agents: all[:max(1, len(all)/3)]})
			add(Fault{Kind: Apart, AtS: from, ForS: length, Agents: all[len(all)/2:]})
		},
		func() { add(Fault{Kind: Mute, AtS: at(150, 600), ForS: at(100, 250), Agents: some(80, 350)}) },
		func() { add(Fault{Kind: Deaf, AtS: at(150, 600), ForS: at(100, 250), Agents: some(80, 350)}) },
		func() { add(Fault{Kind: Apart, AtS: at(150, 600), ForS: at(100, 300), Agents: some(1, 1)}) },
		func() {
			add(Fault{Kind: Lossy, AtS: at(100, 600), ForS: at(100, 300), Agents: some(300, 1000), Part: part(100, 400), AgeS: part(50, 400)})
		},
		func() { // flaps each second
			who, from := some(200, 500), at(150, 600)
			for i := range 3 {
				add(Fault{Kind: Apart, AtS: from + float64(2*i), ForS: 1, Agents: who})
			}
		},
	}
	for _, i := range d.Perm(len(between))[:2] {
		between[i]()
	}
	processes := []func(){
		func() { add(Fault{Kind: Halt, AtS: at(150, 600), ForS: min(5, 0.2*s.ForS), Agents: some(1, 150)}) },
		func() { add(Fault{Kind: Kill, AtS: at(200, 600), ForS: part(100, 1000), Agents: some(400, 400)}) },
		func() { // a rolling wave
			from := at(150, 400)
			for i, a := range d.Perm(s.Agents) {
				add(Fault{Kind: Restart, AtS: from + 0.3*s.ForS*float64(i)/float64(s.Agents), ForS: 0.1, Agents: []int{a}})
			}
		},
	}
	for _, i := range d.Perm(len(processes))[:2] {
		processes[i]()
	}
	kinds := []string{Swallow, Errors}
	add(Fault{Kind: kinds[d.IntN(len(kinds))], AtS: at(100, 400), ForS: at(200, 300), Servers: d.Perm(s.Servers)[:1]})
	return s
}
