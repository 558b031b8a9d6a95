package saltmast

import (
	"fmt"
	"time"
)

// Validate returns an error that names the first invalid setting. It does not change the settings.
func (s *Settings) Validate() error {
	bad := func(field string, v any) error {
		return fmt.Errorf("saltmast: settings: %s: %v makes no sense", field, v)
	}
	switch {
	case len(s.Classes) == 0:
		return bad("Classes", "none")
	case s.Balancers < 1:
		return bad("Balancers", s.Balancers)
	case s.Self < 0 || s.Self >= s.Balancers:
		return bad("Self", s.Self)
	case s.MaxAttempts < 0:
		return bad("MaxAttempts", s.MaxAttempts)
	case !(s.ColdShare >= 0 && s.ColdShare <= 1):
		return bad("ColdShare", s.ColdShare)
	case !(s.FallMultiple >= 0):
		return bad("FallMultiple", s.FallMultiple)
	case s.Weights > WeightsLive:
		return bad("Weights", s.Weights)
	case s.Reports > ReportsProbes:
		return bad("Reports", s.Reports)
	}
	for _, f := range []struct {
		name string
		n    int
	}{{"Zones", s.Zones}, {"Kinds", s.Kinds}, {"Tier", s.Tier}, {"Tiers", s.Tiers}, {"Zone", s.Zone},
		{"MaxOpen", s.MaxOpen}, {"StreamsPerConn", s.StreamsPerConn}} {
		if f.n < 0 {
			return bad(f.name, f.n)
		}
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"GoalWhole", s.GoalWhole}, {"GoalWindow", s.GoalWindow}, {"GoalClass", s.GoalClass},
		{"GoalTenant", s.GoalTenant}, {"OverShareWorth", s.OverShareWorth}, {"CrossZonePrice", s.CrossZonePrice},
		{"WastePrice", s.WastePrice}, {"LateFailPrice", s.LateFailPrice}, {"ProbePrice", s.ProbePrice},
		{"PeerPrice", s.PeerPrice}, {"HandshakePrice", s.HandshakePrice}, {"ConnectionPrice", s.ConnectionPrice},
		{"ListPrice", s.ListPrice}, {"MovePrice", s.MovePrice}, {"OriginPrice", s.OriginPrice},
		{"FleetPrice", s.FleetPrice}} {
		if !(f.v >= 0) {
			return bad(f.name, f.v)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Share >= 0) {
			return bad(fmt.Sprintf("Tenants[%d].Share", i), t.Share)
		}
		if !(t.Quota >= 0) {
			return bad(fmt.Sprintf("Tenants[%d].Quota", i), t.Quota)
		}
	}
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout}, {"IdleClose", s.IdleClose},
		{"DrainGrace", s.DrainGrace}, {"AnswerGrace", s.AnswerGrace}, {"AskWithin", s.AskWithin},
		{"RampTime", s.RampTime}, {"FallWindow", s.FallWindow}, {"KeyRest", s.KeyRest},
		{"CPUPerSecond", s.CPUPerSecond}, {"CPUPerRequest", s.CPUPerRequest}} {
		if f.d < 0 {
			return bad(f.name, f.d)
		}
	}
	for i, c := range s.Classes {
		at := func(field string) string { return fmt.Sprintf("Classes[%d].%s", i, field) }
		switch {
		case c.Aim <= 0:
			return bad(at("Aim"), c.Aim)
		case c.Deadline <= 0:
			return bad(at("Deadline"), c.Deadline)
		case !(c.Worth >= 0):
			return bad(at("Worth"), c.Worth)
		case !(c.LateWorth >= 0):
			return bad(at("LateWorth"), c.LateWorth)
		case !(c.AimStretch >= 0):
			return bad(at("AimStretch"), c.AimStretch)
		case c.Effect > Unsafe:
			return bad(at("Effect"), c.Effect)
		case c.Group > GroupCell:
			return bad(at("Group"), c.Group)
		case c.Window < 0:
			return bad(at("Window"), c.Window)
		}
	}
	return nil
}
