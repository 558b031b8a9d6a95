package scenario

// Proof is a short scenario in which each of the four rules is at stake, whatever the seed: a server drains, another
// dies and comes back cold, a third swallows requests and gives errors, a fourth is silent when its drain is told.
// An agent with a flaw breaks its rule in it; one without keeps all four. Work is light: several fit on a laptop
// side by side.
func Proof(seed uint64) Scenario {
	s := Draw(seed, Size{Servers: 6, Agents: 2, ForS: 2, Rate: 1, Speedup: 8})
	d := newDice(seed, 3)
	at := func(lo, hi int64) float64 { return float64(d.between(lo, hi)) / 1000 }
	s.PodSize = 3
	s.Server.Cores, s.Server.QueuePerCore, s.Server.ErrorRate = 1, 20, 0
	s.Server.ColdFrom, s.Server.ColdMs = 0.31, 1200
	s.List.NoticeMs, s.List.SilentNoticeMs, s.List.AddMs, s.List.PeriodMs = at(100, 300)*1000, at(400, 600)*1000, at(50, 200)*1000, 20
	for i := range s.Classes {
		s.Classes[i].WorkMs, s.Classes[i].WorkCV, s.Classes[i].Dist = 15, 1, "lognormal"
	}
	s.Clients.BudgetShare, s.Clients.Retries, s.Clients.Impatient, s.Clients.Skew = 1, 1, 0, 0.2
	s.Rules.FallMs = 300
	s.Rate = 170 // 400 a second at most; the cold one alone can do a third of its 67, and falls over at 2.75 times that
	who := d.Perm(s.Servers)
	s.Surges = nil
	s.Faults = []Fault{
		{Kind: Drain, AtS: at(100, 400), ForS: 2.5, Servers: who[:1]},
		{Kind: Vanish, AtS: at(200, 500), ForS: at(300, 600), Servers: who[1:2]},
		{Kind: Swallow, AtS: at(300, 900), ForS: at(900, 1500), Servers: who[2:3]},
		{Kind: Errors, AtS: at(300, 900), ForS: at(900, 1500), Servers: who[3:4], Part: 0.2},
		{Kind: Drain, AtS: at(500, 700), ForS: 1.2, Servers: who[4:5]},
		{Kind: Silent, AtS: at(900, 1100), ForS: 0.8, Servers: who[4:5]},
		{Kind: ListOut, AtS: at(1600, 1700), ForS: 0.2},
	}
	return s
}
