package configuration

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"
)

// RouteKind says how often a request may be executed.
type RouteKind uint8

// The kinds of routes.
const (
	Idempotent   RouteKind = iota // more than once
	Mutating                      // at most once per attempt
	Deduplicated                  // once per idempotency key
	Egress                        // more than once, with large responses
	// RouteKinds is the number of route kinds.
	RouteKinds = iota
)

var routeKindNames = [...]string{Idempotent: "idempotent", Mutating: "mutating", Deduplicated: "deduplicated", Egress: "egress"}

func (rk RouteKind) String() string { return routeKindNames[rk] }

// Repeatable reports whether one attempt may be executed more than once.
func (rk RouteKind) Repeatable() bool { return rk == Idempotent || rk == Egress }

// Route is a decoded route.
type Route struct {
	Name        string
	Host        string // in lower case
	Prefix      string // starts with a slash
	Kind        RouteKind
	Deadline    time.Duration // the longest time that a request is held, above 0
	Target      time.Duration // target response time; Deadline if not set
	Priority    int           // 0 is the highest
	Split       []Share       // at least one share; the sum of the weights is above 0
	MaxAttempts int           // number of backends that one attempt may be sent to, at least 1
}

// Share is the fraction of a route's requests that one service receives: its weight divided by the sum of all weights.
type Share struct {
	Service string
	Weight  int // 0 or more
}

// Service is a decoded service.
type Service struct {
	Name            string
	HealthPath      string // "/health" if not set
	ConnectionLimit int    // connections that one backend accepts from all callers; 0 if not set
	Protocol        string // "h1" if not set
	TLS             bool
	SelfDedup       bool
}

// ClientLimits are the decoded limits on what a client may send and how long it may take.
type ClientLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// DefaultLimits returns the limits that apply where none are configured.
func DefaultLimits() ClientLimits {
	return ClientLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// The decode functions below validate a single item: they enforce the rules of the schema and those that span several fields.

func decodeSpec(i Item, into any) error {
	if err := json.Unmarshal(i.Spec, into); err != nil {
		return invalid(i.Key.String(), "%s", jsonErrorText(err))
	}
	return nil
}

func decodeRoute(i Item) (*Route, error) {
	var f struct {
		Host        string
		Prefix      string   `json:"path-prefix"`
		Kind        string   `json:"route-kind"`
		Deadline    float64  `json:"deadline-s"`
		Target      *float64 `json:"target-s"`
		Priority    float64
		MaxAttempts *float64 `json:"max-attempts"`
		Service     string
		Split       []struct {
			Service string
			Weight  float64
		}
	}
	if err := decodeSpec(i, &f); err != nil {
		return nil, err
	}
	if f.Target == nil {
		f.Target = &f.Deadline
	}
	if f.MaxAttempts == nil {
		f.MaxAttempts = new(float64)
	}
	subject := i.Key.String()
	kind := slices.Index(routeKindNames[:], f.Kind)
	switch {
	case f.Host == "":
		return nil, invalid(subject, "no host")
	case !strings.HasPrefix(f.Prefix, "/"):
		return nil, invalid(subject, "path-prefix %s does not start with a slash", quoted(f.Prefix))
	case kind < 0:
		return nil, invalid(subject, "%s is no route-kind", quoted(f.Kind))
	case !(f.Deadline > 0 && f.Deadline <= maxNumber):
		return nil, invalid(subject, "deadline-s %v is not over 0", f.Deadline)
	case !(*f.Target >= 0 && *f.Target <= maxNumber):
		return nil, invalid(subject, "target-s %v is not 0 or more", *f.Target)
	case !isWholeNumber(f.Priority, maxNumber):
		return nil, invalid(subject, "priority %v is no whole number, 0 or more", f.Priority)
	case !isWholeNumber(*f.MaxAttempts, maxNumber):
		return nil, invalid(subject, "max-attempts %v is no whole number, 0 or more", *f.MaxAttempts)
	}
	r := &Route{
		Name: i.Key.Name, Host: strings.ToLower(f.Host), Prefix: f.Prefix, Kind: RouteKind(kind), Deadline: seconds(f.Deadline), Target: seconds(*f.Target),
		Priority: int(f.Priority), MaxAttempts: max(1, int(*f.MaxAttempts)),
	}
	if len(f.Split) == 0 {
		if f.Service == "" {
			return nil, invalid(subject, "neither service nor split")
		}
		r.Split = []Share{{Service: f.Service, Weight: 1}}
		return r, nil
	}
	unit, sum := 1.0, 0
	for _, s := range f.Split {
		switch {
		case s.Service == "":
			return nil, invalid(subject, "a share without a service")
		case !(s.Weight >= 0 && s.Weight <= maxNumber):
			return nil, invalid(subject, "weight %v of %s is not 0 or more", s.Weight, quoted(s.Service))
		case s.Weight != math.Trunc(s.Weight):
			unit = 1e4 // weights are integers in a Share: fractions keep four decimal places
		}
	}
	for _, s := range f.Split {
		w := int(math.Round(s.Weight * unit))
		r.Split = append(r.Split, Share{Service: s.Service, Weight: w})
		sum += w
	}
	if sum == 0 {
		return nil, invalid(subject, "the weights add up to 0")
	}
	return r, nil
}

func decodeService(i Item) (*Service, error) {
	f := struct {
		HealthPath      string  `json:"health-path"`
		ConnectionLimit float64 `json:"connection-limit"`
		Protocol        string
		TLS             bool
		SelfDedup       bool `json:"self-dedup"`
	}{HealthPath: "/health", Protocol: "h1"}
	if err := decodeSpec(i, &f); err != nil {
		return nil, err
	}
	subject := i.Key.String()
	switch {
	case !strings.HasPrefix(f.HealthPath, "/"):
		return nil, invalid(subject, "health-path %s does not start with a slash", quoted(f.HealthPath))
	case !isWholeNumber(f.ConnectionLimit, 1<<30):
		return nil, invalid(subject, "connection-limit %v is no whole number, 0 or more", f.ConnectionLimit)
	}
	return &Service{
		Name: i.Key.Name, HealthPath: f.HealthPath, ConnectionLimit: int(f.ConnectionLimit), Protocol: f.Protocol, TLS: f.TLS, SelfDedup: f.SelfDedup,
	}, nil
}

func decodeLimits(i Item) (ClientLimits, error) {
	d := DefaultLimits()
	f := struct {
		MaxHeaderBytes float64 `json:"max-header-bytes"`
		MaxBodyBytes   float64 `json:"max-body-bytes"`
		HeaderTimeout  float64 `json:"header-timeout-s"`
		IdleTimeout    float64 `json:"idle-timeout-s"`
	}{float64(d.MaxHeaderBytes), float64(d.MaxBodyBytes), d.HeaderTimeout.Seconds(), d.IdleTimeout.Seconds()}
	if err := decodeSpec(i, &f); err != nil {
		return d, err
	}
	subject := i.Key.String()
	switch {
	case !isWholeNumber(f.MaxHeaderBytes, 1<<30):
		return d, invalid(subject, "max-header-bytes %v is no whole number, 0 or more", f.MaxHeaderBytes)
	case !isWholeNumber(f.MaxBodyBytes, 1<<40):
		return d, invalid(subject, "max-body-bytes %v is no whole number, 0 or more", f.MaxBodyBytes)
	case !(f.HeaderTimeout >= 0 && f.HeaderTimeout <= maxNumber):
		return d, invalid(subject, "header-timeout-s %v is not 0 or more", f.HeaderTimeout)
	case !(f.IdleTimeout >= 0 && f.IdleTimeout <= maxNumber):
		return d, invalid(subject, "idle-timeout-s %v is not 0 or more", f.IdleTimeout)
	}
	return ClientLimits{
		MaxHeaderBytes: int(f.MaxHeaderBytes), MaxBodyBytes: int64(f.MaxBodyBytes), HeaderTimeout: seconds(f.HeaderTimeout), IdleTimeout: seconds(f.IdleTimeout),
	}, nil
}

const maxNumber = 1e6 // largest plausible value, for example in seconds; anything above is a mistake

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func isWholeNumber(x, most float64) bool { return x >= 0 && x <= most && x == math.Trunc(x) }
