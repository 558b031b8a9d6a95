package rehearsal

import (
	"context"
	"fmt"
	"time"

	"saltmast/internal/replay/drive"
	"saltmast/internal/scenario"
)

// Load has a plan play a recording's load: at the pace of the scenario's speed-up, and as many requests a second on average as
// the scenario has, so that its stand-ins can bear it; the recording's shape and mix stay. rate is the mean rate that was
// recorded. Clients' retries of the recording are left out: the rehearsal's clients have habits of their own.
func Load(ctx context.Context, p *scenario.Plan, s *drive.Session) (rate float64, err error) {
	speed := max(p.Scenario.Speedup, 1)
	s.Plan.Speed, s.Plan.Run = speed, p.Scenario.Seed
	s.Rate = p.Scenario.Rate
	planned, report, err := s.Planned(ctx, time.Duration(p.Scenario.ForS*float64(time.Second)), scenario.MaxArrivals)
	if err != nil {
		return 0, err
	}
	var loads []scenario.Load
	for _, q := range planned {
		if q.Try > 0 {
			continue
		}
		loads = append(loads, scenario.Load{AtUs: q.At.Microseconds(), Class: q.Class, ID: q.ID, Key: q.Key, Route: q.Route})
	}
	if err := p.SetLoad(loads); err != nil {
		return 0, fmt.Errorf("the recording's load: %w", err)
	}
	return report.Source.Rate(), nil
}
