package scenario

import "slices"

// Size scales a draw. A zero field stands for the default.
type Size struct {
	Servers int     // 8
	Agents  int     // 4
	Rate    float64 // first tries a second; by default 0.66 to 0.79 of what the servers can do
	ForS    float64 // 20
	Speedup float64 // 4
}

// Draw makes a scenario from a seed, out of the ranges that the operators have recorded: up to 18% of the
// servers silent for 8.7 to 29 s and then cold, up to 18% swallowing requests for 5.5 to 23 s, the list gone for
// 7.1 to 24 s, overlapping as it falls; a surge of load; restarts and kills of agents; clients that retry. All of
// these times are divided by the speed-up, those of work, aims and deadlines too, so a bad two minutes are
// rehearsed in half a minute. The grace of a drain and the allowance of sockets are not: they are real time.
func Draw(seed uint64, size Size) Scenario {
	d := newDice(seed, 1)
	speed := or(size.Speedup, 4)
	// ms returns a draw from a range of milliseconds of service, in milliseconds of the rehearsal.
	ms := func(lo, hi int64) float64 { return float64(d.between(lo*100, hi*100)) / 100 / speed }
	milli := func(lo, hi int64) float64 { return float64(d.between(lo, hi)) / 1000 }
	s := Scenario{Seed: seed, Speedup: speed, ForS: or(size.ForS, 20), Servers: orInt(size.Servers, 8), Agents: orInt(size.Agents, 4)}
	s.PodSize = min(s.Servers, int(d.between(3, 5)))
	coldMs := ms(3100, 8800)
	s.Server = ServerKind{Cores: 4, QueuePerCore: milli(8600, 21000), Speed: milli(850, 1100), SpeedSpread: milli(38, 240),
		ColdFrom: milli(310, 540), ColdMs: coldMs, HandshakeMs: ms(18, 29), Connections: 76, IdleMs: 60000 / speed,
		ProbeMs: ms(1, 2), ErrorRate: float64(d.between(0, 100)) / 1e5, DropsExpired: d.chance(500)}
	s.List = List{NoticeMs: ms(1200, 4100), SilentNoticeMs: ms(4700, 13000), AddMs: ms(1300, 2400),
		PeriodMs: max(20, ms(160, 1000)), CallLines: int(d.between(27, 79)), TimeoutMs: 2000 / speed}
	s.List.LinesPerS = max(4800, float64(s.Agents)*float64(s.List.CallLines+s.Servers)/2)
	share := milli(400, 600)
	s.Classes = []Class{
		{Name: "limit-hold", Share: share, WorkMs: ms(57, 100), WorkCV: milli(1700, 2700), Dist: "lognormal",
			AimMs: 1500 / speed, DeadlineMs: 6000 / speed, Worth: 3, Effect: Keyed, WindowMs: 6000 / speed, BodyBytes: 180},
		{Name: "sale-settle", Share: 1 - share, WorkMs: ms(91, 160), WorkCV: milli(1600, 2800), Dist: "lognormal",
			AimMs: 2000 / speed, DeadlineMs: 6000 / speed, Worth: 8, Effect: Unsafe, BodyBytes: 240},
	}
	if d.chance(500) {
		s.Classes[1].Dist = "pareto"
	}
	s.Rules = Rules{AnswerGraceMs: 20, DrainGraceMs: 250, AskWithinMs: 10000 / speed, FallMultiple: 2.5,
		FallMs: 1000 / speed, MaxAttempts: 3, ConnectMs: max(100, 250/speed)}
	s.Clients = Clients{Retries: int(d.between(0, 2)), Backoff: []string{"none", "fixed", "exp"}[d.between(0, 2)],
		BackoffMs: ms(75, 600), Honour: milli(300, 900), BudgetShare: milli(340, 1000), Impatient: milli(0, 10),
		Skew: milli(200, 700), Connections: 300}
	mean := float64(share*s.Classes[0].WorkMs) + float64((1-share)*s.Classes[1].WorkMs) // the conversions keep it from being fused
	load := milli(660, 790)
	s.Rate = float64(int(or(size.Rate, load*float64(s.Servers*s.Server.Cores)*s.Server.Speed*1000/mean)))
	if size.Rate > 0 {
		s.Rate = size.Rate
	}
	s.fail(d, ms, milli)
	return s
}

// fail draws what goes wrong.
func (s *Scenario) fail(d dice, ms func(lo, hi int64) float64, milli func(lo, hi int64) float64) {
	// some picks up to n in a thousand of all servers, one at least.
	some := func(lo, hi int64) []int {
		n := max(1, int(d.between(lo, hi)*int64(s.Servers)/1000))
		picked := d.Perm(s.Servers)[:n]
		slices.Sort(picked)
		return picked
	}
	// when draws a fault's start, early enough that half of it is seen; round keeps files readable.
	round := func(v float64) float64 { return float64(int64(v*1000)) / 1000 }
	when := func(length float64) float64 {
		latest := max(0.05*s.ForS, s.ForS-length/2)
		return round(float64(d.between(int64(50*s.ForS), int64(max(51*s.ForS, latest*1000)))) / 1000)
	}
	add := func(f Fault) {
		f.ForS = round(min(f.ForS, s.ForS))
		f.AtS = when(f.ForS)
		s.Faults = append(s.Faults, f)
	}
	troubles := []func(){
		func() { add(Fault{Kind: Silent, ForS: ms(8700, 29000) / 1000, Servers: some(58, 180)}) },
		func() { add(Fault{Kind: Swallow, ForS: ms(5500, 23000) / 1000, Servers: some(56, 180)}) },
		func() { add(Fault{Kind: ListOut, ForS: ms(7100, 24000) / 1000}) },
	}
	order := d.Perm(len(troubles))
	for _, i := range order[:d.between(2, 3)] {
		troubles[i]()
	}
	odd := []func(){
		func() { add(Fault{Kind: Drain, ForS: ms(8000, 20000) / 1000, Servers: some(60, 150)}) },
		func() { add(Fault{Kind: Replaced, ForS: ms(1000, 4000) / 1000, Servers: some(60, 130)}) },
		func() { add(Fault{Kind: Vanish, ForS: ms(2000, 9000) / 1000, Servers: some(60, 130)}) },
		func() {
			add(Fault{Kind: Slow, ForS: ms(8000, 20000) / 1000, Servers: some(60, 180), Times: milli(2000, 6000)})
		},
		func() {
			kinds := []string{ResetBefore, ResetAmid, Drip, HalfClose, WrongLength, Garbage, SecondAfter, Errors}
			add(Fault{Kind: kinds[d.IntN(len(kinds))], ForS: ms(8000, 20000) / 1000, Servers: some(100, 400), Part: milli(20, 200)})
		},
	}
	order = d.Perm(len(odd))
	for _, i := range order[:d.between(1, 2)] {
		odd[i]()
	}
	if d.chance(750) {
		length := round(min(s.ForS/2, ms(10000, 30000)/1000))
		s.Surges = append(s.Surges, Surge{AtS: when(length), ForS: length, Times: milli(1200, 1800)})
	}
	if d.chance(500) {
		add(Fault{Kind: Kill, ForS: milli(300, 1500), Agents: []int{d.IntN(s.Agents)}})
	}
	if d.chance(500) {
		add(Fault{Kind: Restart, ForS: milli(100, 500), Agents: []int{d.IntN(s.Agents)}})
	}
}

func or(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

func orInt(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}
