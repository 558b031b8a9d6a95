// Package controlapi is the one dispatch of the calls that backends, operators and the platform make: method and path segments to
// a function, and the error kind of that to an answer. What a program does not serve it leaves nil.
package controlapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/errcode"
)

// MaxBeat and MaxConfiguration bound the bodies of calls, in bytes: a call comes into force as a whole, by one write to disk.
const (
	MaxHeartbeatBytes     = 64 << 10
	MaxConfigurationBytes = 768 << 10
)

// Handler is what one program serves.
type Handler struct {
	Heartbeat           func(Heartbeat) error                              // a backend tells of itself
	Leave               func(id string) error                              // a backend has ended
	ChangeConfiguration func(ctx context.Context, body []byte) error       // the operator changes the configuration; ctx ends with the caller
	ReadConfiguration   func(ctx context.Context) (body []byte, err error) // the operator reads it
	Ready               func() error                                       // the platform asks
	OnRejected          func(k errcode.Kind, text string)                  // hears of each call that was not taken; may be nil
}

// Heartbeat is what a backend tells of itself.
type Heartbeat struct {
	ID         string
	Addr       string
	Service    string
	Version    string
	Zone       string
	Capacity   int
	State      backends.State
	Sequence   uint64        // goes up with each call of one life
	WarmupLeft time.Duration // it stays slow for so long
}

type heartbeatBody struct {
	Address string `json:"address"`
	Info    struct {
		Service  string `json:"service"`
		Version  string `json:"version"`
		Zone     string `json:"zone"`
		Capacity int    `json:"capacity"`
	} `json:"node-info"`
	Status struct {
		State string  `json:"state"`
		Count uint64  `json:"call-count"`
		Warm  float64 `json:"warmup-left-s"`
	} `json:"status"`
}

// ParseHeartbeat reads the body of a beat.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	var b heartbeatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Heartbeat{}, errcode.New(errcode.Unreadable, "beat: %w", err)
	}
	out := Heartbeat{ID: id, Addr: b.Address, Service: b.Info.Service, Version: b.Info.Version, Zone: b.Info.Zone,
		Capacity: b.Info.Capacity, Sequence: b.Status.Count}
	switch b.Status.State {
	case "serving":
		out.State = backends.Serving
	case "draining":
		out.State = backends.Draining
	default:
		return out, errcode.New(errcode.Unreadable, "beat: status.state: serving or draining wanted, got %.40q", b.Status.State)
	}
	switch {
	case out.Service == "":
		return out, errcode.New(errcode.Unreadable, "beat: node-info.service: a name wanted")
	case out.Capacity < 0:
		return out, errcode.New(errcode.Unreadable, "beat: node-info.capacity: 0 or more wanted, got %d", out.Capacity)
	case !(b.Status.Warm >= 0 && b.Status.Warm < 1e6):
		return out, errcode.New(errcode.Unreadable, "beat: status.warmup-left-s: seconds wanted, got %v", b.Status.Warm)
	}
	out.WarmupLeft = time.Duration(b.Status.Warm * float64(time.Second))
	return out, nil
}

// ServeHTTP implements http.Handler.
func (p *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := p.dispatch(r)
	if err != nil {
		k := errcode.Of(err)
		if p.OnRejected != nil {
			p.OnRejected(k, err.Error())
		}
		a := k.Answer()
		if a.Again {
			w.Header().Set("Retry-After", "0.2")
		}
		body, _ = json.Marshal(map[string]string{"error": err.Error()})
		writeResponse(w, a.Status, body)
		return
	}
	writeResponse(w, http.StatusOK, body)
}

func writeResponse(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func (p *Handler) dispatch(r *http.Request) ([]byte, error) {
	seg := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(seg) < 2 || seg[0] != "v1" {
		return nil, errcode.New(errcode.NoCall, "%s", r.URL.Path)
	}
	switch {
	case len(seg) == 2 && seg[1] == "readiness" && r.Method == http.MethodGet && p.Ready != nil:
		return []byte("{}"), p.Ready()
	case len(seg) == 3 && seg[1] == "instances" && r.Method == http.MethodPut && p.Heartbeat != nil:
		raw, err := readBody(r, MaxHeartbeatBytes)
		if err != nil {
			return nil, err
		}
		b, err := ParseHeartbeat(seg[2], raw)
		if err != nil {
			return nil, err
		}
		return []byte("{}"), p.Heartbeat(b)
	case len(seg) == 3 && seg[1] == "instances" && r.Method == http.MethodDelete && p.Leave != nil:
		return []byte("{}"), p.Leave(seg[2])
	case len(seg) == 2 && seg[1] == "configuration" && r.Method == http.MethodPatch && p.ChangeConfiguration != nil:
		raw, err := readBody(r, MaxConfigurationBytes)
		if err != nil {
			return nil, err
		}
		return []byte("{}"), p.ChangeConfiguration(r.Context(), raw)
	case len(seg) == 2 && seg[1] == "configuration" && r.Method == http.MethodGet && p.ReadConfiguration != nil:
		return p.ReadConfiguration(r.Context())
	}
	return nil, errcode.New(errcode.NoCall, "%s %s", r.Method, r.URL.Path)
}

func readBody(r *http.Request, most int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, most))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, errcode.New(errcode.BodyTooLong, "over %d bytes", most)
	}
	if ne := net.Error(nil); errors.As(err, &ne) || errors.Is(err, io.ErrUnexpectedEOF) { // it did not come whole: nothing is wrong with it
		return nil, errcode.New(errcode.TooSlow, "%w", err)
	}
	if err != nil {
		return nil, errcode.New(errcode.Unreadable, "%w", err)
	}
	return raw, nil
}

// NewServer is an http.Server for a port, with bounds on what callers may take.
func NewServer(p *Handler) *http.Server {
	return &http.Server{Handler: p, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
}
