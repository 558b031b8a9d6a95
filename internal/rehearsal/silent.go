package rehearsal

import (
	"context"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

// Silent is what agents lost to a backend that takes requests and answers none, with shared judgements and without.
type Silent struct {
	Seed    uint64     `json:"seed"`
	With    SilentLoss `json:"with"`
	Without SilentLoss `json:"without"`
}

// SilentLoss is what went to the backend while it was silent, by how much traffic the agents have.
type SilentLoss struct {
	Quiet      int     `json:"quiet"` // attempts of all quiet agents
	Busy       int     `json:"busy"`
	QuietSent  int     `json:"quiet_requests"` // that the quiet agents were sent meanwhile
	BusySent   int     `json:"busy_requests"`
	Share      float64 `json:"share"` // of the worth in time, of all
	CPUPerTry  int64   `json:"agent_cpu_per_try_ns"`
	RSS        int64   `json:"agent_rss_bytes"`
	BytesASec  float64 `json:"bytes_a_second"` // to each agent; 0 without
	QuietCount int     `json:"quiet_agents"`
}

// SilentScenario is a fleet of which a quarter is busy and the rest quiet, two requests a second each, and one backend that
// swallows what it gets for two thirds of the time.
func SilentScenario(seed uint64, agents, servers int) scenario.Scenario {
	s := scenario.DrawFleet(seed, scenario.Size{Agents: agents, Servers: servers, ForS: 36, Speedup: 1})
	s.Surges, s.Server.ErrorRate = nil, 0
	busy := max(1, agents/4)
	s.Clients.BusyPart, s.Clients.BusyTimes = (float64(busy)+0.01)/float64(agents), 10
	s.Rate = 2 * float64(agents-busy+10*busy)
	s.Faults = []scenario.Fault{{Kind: scenario.Swallow, AtS: 8, ForS: 24, Servers: []int{int(seed) % servers}}}
	for i := range s.Classes {
		s.Classes[i].AimMs, s.Classes[i].DeadlineMs = 500, 2000
	}
	s.Peers = &scenario.Peers{Zones: 2, Witnesses: 3, FadeS: 8, WindowS: 600, Windows: 2, RejoinMs: 1000}
	return s
}

// PlaySilent plays the scenario twice, with what is shared and without it.
func PlaySilent(ctx context.Context, seed uint64, agents, servers int, command []string) (Silent, error) {
	out := Silent{Seed: seed}
	for _, with := range []bool{true, false} {
		s := SilentScenario(seed, agents, servers)
		if !with {
			s.Peers = nil
		}
		bytes := 0.0
		o := Options{Plan: scenario.MakePlan(s), Command: command}
		rss := int64(0)
		o.After = func(_ context.Context, f *Fleet) error {
			for i := range f.Agents() {
				rss = max(rss, f.Memory(i))
			}
			if with {
				bytes = float64(f.Net().Stats().Bytes) / f.Now().Seconds() / float64(f.Agents())
			}
			return nil
		}
		res, err := Run(ctx, o)
		if err != nil {
			return out, err
		}
		l := lost(res)
		l.BytesASec, l.RSS = bytes, rss
		if with {
			out.With = l
		} else {
			out.Without = l
		}
	}
	return out, nil
}

// lost counts what went to the silent backend while it was, and who sent it.
func lost(res *Result) SilentLoss {
	s := res.Scenario
	ft := s.Faults[0]
	server := res.Servers[ft.Servers[0]].ID
	sent, of, total := map[string]int{}, map[string]string{}, map[string]int{}
	for _, e := range res.Events {
		if e.Kind == grade.Sent {
			of[e.Request] = e.Agent
			total[e.Agent]++
			if e.At >= sec(ft.AtS) && e.At <= sec(ft.AtS+ft.ForS) {
				sent[e.Agent]++
			}
		}
	}
	mean := 0
	for _, n := range total {
		mean += n
	}
	mean /= max(1, s.Agents)
	l := SilentLoss{Share: res.Share, CPUPerTry: int64(res.Usage.AgentPerTry)}
	for agent, n := range sent {
		if total[agent] < mean {
			l.QuietSent += n
			l.QuietCount++
		} else {
			l.BusySent += n
		}
	}
	for _, e := range res.Events {
		if e.Kind != grade.Attempt || e.Server != server || e.At < sec(ft.AtS) || e.At > sec(ft.AtS+ft.ForS) {
			continue
		}
		if total[of[e.Request]] < mean {
			l.Quiet++
		} else {
			l.Busy++
		}
	}
	return l
}
