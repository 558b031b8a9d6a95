package wire

import (
	"encoding/json"
	"fmt"

	"saltmast"
)

// facts mirrors the settings object of the wire, in the wire's own names.
type facts struct {
	Balancers int
	Me        int
	Zone      int
	CountedBy string
	Profiles  []struct {
		Name       string
		AimMs      float64
		DeadlineMs float64
		Worth      float64
		LateValue  float64
		Semantics  string
		Group      string
		WindowMs   float64
		KeepOrder  bool
		AimStretch float64
		Stream     bool
	}
	Tenants []struct {
		Name      string
		Portion   float64
		QuotaPerS float64
	}
	OverShareWorth float64
	Dcs, Kinds     []string
	Tier           int
	Tiers          []string
	Weights        string
	Clients        struct{ MarksRetry bool }
	FamilyInfo     struct{ WarmKeys, PassesDeadline bool }
	Report         struct {
		Source string
		Fields []string
	}
	MembershipMode string
	TickMs         float64
	PolicyLimits   struct {
		TryLimit                                          int
		SecondCopies, MayProbe, Cancel, RetryAfter, Peers bool
		MaxRetryAfterMs, ConnectTimeoutMs, IdleCloseMs    float64
		MaxOpen, StreamsPerConn                           int
		CpuUsPerS, CpuUsPerRequest                        float64
	}
	Contract struct {
		DrainGraceMs, GraceToAnswerMs, AskWithinMs float64
		ColdFrom, RampTimeMs, FallMultiple, FallMs float64
		BusyIsNoProof                              bool
		KeyRestMs                                  float64
	}
	Goal   struct{ Whole, WorstWindow, WorstClass, WorstTenant float64 }
	Prices struct {
		CrossZone, Waste, LateFail, Probe, Peer              float64
		Handshake, Connection, MembershipMode, Moves, Origin float64
		Fleet                                                float64
	}
}

var weights = map[string]saltmast.Weights{
	"": saltmast.WeightsNone, "off": saltmast.WeightsNone, "nominal": saltmast.WeightsNominal,
	"rough": saltmast.WeightsRough, "live": saltmast.WeightsLive,
}

var sources = map[string]saltmast.Reports{
	"": saltmast.ReportsNone, "off": saltmast.ReportsNone,
	"inline": saltmast.ReportsAnswers, "on_probe": saltmast.ReportsProbes,
}

var fields = map[string]saltmast.Fields{
	"outstanding": saltmast.FieldInFlight, "backlog": saltmast.FieldQueue,
	"utilization": saltmast.FieldUtilization, "recent_ms": saltmast.FieldService,
	"throughput": saltmast.FieldThroughput, "errors_per_s": saltmast.FieldErrors,
}

// Names are the settings' words for what the module knows by position.
type Names struct{ Classes, Tenants, Zones, Kinds []string }

// parseSettings translates the settings object of the bench.
func parseSettings(raw []byte) (saltmast.Settings, error) {
	s, _, err := ParseSettings(raw)
	return s, err
}

// ParseSettings translates the settings object, which the bench's first message and a real agent's
// configuration hold in the same form. Unknown keys are ignored.
func ParseSettings(raw []byte) (saltmast.Settings, Names, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		return saltmast.Settings{}, Names{}, fmt.Errorf("Facts: %w", err)
	}
	names := Names{Zones: f.Dcs, Kinds: f.Kinds}
	for _, p := range f.Profiles {
		names.Classes = append(names.Classes, p.Name)
	}
	for _, t := range f.Tenants {
		names.Tenants = append(names.Tenants, t.Name)
	}
	s, err := f.settings()
	return s, names, err
}

func (f *facts) settings() (saltmast.Settings, error) {
	s := saltmast.Settings{
		Balancers:      f.Balancers,
		Self:           f.Me,
		Zone:           f.Zone,
		WorthPerWork:   f.CountedBy == "work",
		Subscribe:      f.MembershipMode == "subscribe",
		Tick:           duration(f.TickMs),
		MaxAttempts:    f.PolicyLimits.TryLimit,
		SecondCopies:   f.PolicyLimits.SecondCopies,
		MayProbe:       f.PolicyLimits.MayProbe,
		MayCancel:      f.PolicyLimits.Cancel,
		RetryAfter:     f.PolicyLimits.RetryAfter,
		Peers:          f.PolicyLimits.Peers,
		MaxRetryAfter:  duration(f.PolicyLimits.MaxRetryAfterMs),
		ConnectTimeout: duration(f.PolicyLimits.ConnectTimeoutMs),
		IdleClose:      duration(f.PolicyLimits.IdleCloseMs),
		DrainGrace:     duration(f.Contract.DrainGraceMs),
		AnswerGrace:    duration(f.Contract.GraceToAnswerMs),
		AskWithin:      duration(f.Contract.AskWithinMs),
		ColdShare:      f.Contract.ColdFrom,
		RampTime:       duration(f.Contract.RampTimeMs),
		FallMultiple:   f.Contract.FallMultiple,
		FallWindow:     duration(f.Contract.FallMs),
		GoalWhole:      f.Goal.Whole,
		GoalWindow:     f.Goal.WorstWindow,
		GoalClass:      f.Goal.WorstClass,
		GoalTenant:     f.Goal.WorstTenant,
		OverShareWorth: f.OverShareWorth,

		Zones: len(f.Dcs), Kinds: len(f.Kinds), Tier: f.Tier, Tiers: len(f.Tiers),
		MarksRetry:     f.Clients.MarksRetry,
		WarmKeys:       f.FamilyInfo.WarmKeys,
		PassesDeadline: f.FamilyInfo.PassesDeadline,
		MaxOpen:        f.PolicyLimits.MaxOpen,
		StreamsPerConn: f.PolicyLimits.StreamsPerConn,
		CPUPerSecond:   duration(f.PolicyLimits.CpuUsPerS / 1000),
		CPUPerRequest:  duration(f.PolicyLimits.CpuUsPerRequest / 1000),
		FullMayHaveRun: f.Contract.BusyIsNoProof,
		KeyRest:        duration(f.Contract.KeyRestMs),

		CrossZonePrice:  f.Prices.CrossZone,
		WastePrice:      f.Prices.Waste,
		LateFailPrice:   f.Prices.LateFail,
		ProbePrice:      f.Prices.Probe,
		PeerPrice:       f.Prices.Peer,
		HandshakePrice:  f.Prices.Handshake,
		ConnectionPrice: f.Prices.Connection,
		ListPrice:       f.Prices.MembershipMode,
		MovePrice:       f.Prices.Moves,
		OriginPrice:     f.Prices.Origin,
		FleetPrice:      f.Prices.Fleet,
	}
	var ok bool
	if s.Weights, ok = weights[f.Weights]; !ok {
		return s, fmt.Errorf("Weights: unknown meaning %q", f.Weights)
	}
	if s.Reports, ok = sources[f.Report.Source]; !ok {
		return s, fmt.Errorf("Report.Source: unknown source %q", f.Report.Source)
	}
	for _, name := range f.Report.Fields {
		s.Fields |= fields[name] // values that a later wire adds carry no bit
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, saltmast.Tenant{Share: t.Portion, Quota: t.QuotaPerS})
	}
	effects := map[string]saltmast.Effect{
		"repeatable": saltmast.Safe, "by_key": saltmast.Keyed, "once": saltmast.Unsafe}
	groups := map[string]saltmast.Group{
		"": saltmast.GroupAll, "all": saltmast.GroupAll,
		"zone": saltmast.GroupZone, "cell": saltmast.GroupCell}
	for i, p := range f.Profiles {
		effect, ok := effects[p.Semantics]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Semantics: unknown kind %q", i, p.Semantics)
		}
		group, ok := groups[p.Group]
		if !ok {
			return s, fmt.Errorf("Profiles[%d].Group: unknown group %q", i, p.Group)
		}
		s.Classes = append(s.Classes, saltmast.Class{
			Aim: duration(p.AimMs), Deadline: duration(p.DeadlineMs),
			Worth: p.Worth, LateWorth: p.LateValue,
			Effect: effect, Group: group, Window: duration(p.WindowMs),
			KeepOrder: p.KeepOrder, AimStretch: p.AimStretch, Stream: p.Stream,
		})
	}
	return s, nil
}
