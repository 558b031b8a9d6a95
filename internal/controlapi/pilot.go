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
	MaxBeat          = 64 << 10
	MaxConfiguration = 768 << 10
)

// Port is what one program serves.
type Port struct {
	Beat      func(Beat) error                                   // a backend tells of itself
	Leave     func(id string) error                              // a backend has ended
	Change    func(ctx context.Context, body []byte) error       // the operator changes the configuration; ctx ends with the caller
	Configure func(ctx context.Context) (body []byte, err error) // the operator reads it
	Ready     func() error                                       // the platform asks
	Refused   func(k errcode.Kind, text string)                  // hears of each call that was not taken; may be nil
}

// Beat is what a backend tells of itself.
type Beat struct {
	ID       string
	Addr     string
	Service  string
	Release  string
	Zone     string
	Capacity int
	State    backends.State
	Count    uint64        // goes up with each call of one life
	Warm     time.Duration // it stays slow for so long
}

type beatBody struct {
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

// ReadBeat reads the body of a beat.
func ReadBeat(id string, body []byte) (Beat, error) {
	var b beatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Beat{}, errcode.New(errcode.InvalidRequest, "beat: %w", err)
	}
	out := Beat{ID: id, Addr: b.Address, Service: b.Info.Service, Release: b.Info.Version, Zone: b.Info.Zone,
		Capacity: b.Info.Capacity, Count: b.Status.Count}
	switch b.Status.State {
	case "serving":
		out.State = backends.Serving
	case "draining":
		out.State = backends.Draining
	default:
		return out, errcode.New(errcode.InvalidRequest, "beat: status.state: serving or draining wanted, got %.40q", b.Status.State)
	}
	switch {
	case out.Service == "":
		return out, errcode.New(errcode.InvalidRequest, "beat: node-info.service: a name wanted")
	case out.Capacity < 0:
		return out, errcode.New(errcode.InvalidRequest, "beat: node-info.capacity: 0 or more wanted, got %d", out.Capacity)
	case !(b.Status.Warm >= 0 && b.Status.Warm < 1e6):
		return out, errcode.New(errcode.InvalidRequest, "beat: status.warmup-left-s: seconds wanted, got %v", b.Status.Warm)
	}
	out.Warm = time.Duration(b.Status.Warm * float64(time.Second))
	return out, nil
}

// ServeHTTP implements http.Handler.
func (p *Port) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := p.dispatch(r)
	if err != nil {
		k := errcode.Of(err)
		if p.Refused != nil {
			p.Refused(k, err.Error())
		}
		a := k.Answer()
		if a.RetryAfter {
			w.Header().Set("Retry-After", "0.2")
		}
		body, _ = json.Marshal(map[string]string{"error": err.Error()})
		write(w, a.Status, body)
		return
	}
	write(w, http.StatusOK, body)
}

func write(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func (p *Port) dispatch(r *http.Request) ([]byte, error) {
	seg := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(seg) < 2 || seg[0] != "v1" {
		return nil, errcode.New(errcode.UnknownCall, "%s", r.URL.Path)
	}
	switch {
	case len(seg) == 2 && seg[1] == "readiness" && r.Method == http.MethodGet && p.Ready != nil:
		return []byte("{}"), p.Ready()
	case len(seg) == 3 && seg[1] == "instances" && r.Method == http.MethodPut && p.Beat != nil:
		raw, err := read(r, MaxBeat)
		if err != nil {
			return nil, err
		}
		b, err := ReadBeat(seg[2], raw)
		if err != nil {
			return nil, err
		}
		return []byte("{}"), p.Beat(b)
	case len(seg) == 3 && seg[1] == "instances" && r.Method == http.MethodDelete && p.Leave != nil:
		return []byte("{}"), p.Leave(seg[2])
	case len(seg) == 2 && seg[1] == "configuration" && r.Method == http.MethodPatch && p.Change != nil:
		raw, err := read(r, MaxConfiguration)
		if err != nil {
			return nil, err
		}
		return []byte("{}"), p.Change(r.Context(), raw)
	case len(seg) == 2 && seg[1] == "configuration" && r.Method == http.MethodGet && p.Configure != nil:
		return p.Configure(r.Context())
	}
	return nil, errcode.New(errcode.UnknownCall, "%s %s", r.Method, r.URL.Path)
}

func read(r *http.Request, most int64) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, most))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, errcode.New(errcode.BodyTooLarge, "over %d bytes", most)
	}
	if ne := net.Error(nil); errors.As(err, &ne) || errors.Is(err, io.ErrUnexpectedEOF) { // it did not come whole: nothing is wrong with it
		return nil, errcode.New(errcode.RequestTimeout, "%w", err)
	}
	if err != nil {
		return nil, errcode.New(errcode.InvalidRequest, "%w", err)
	}
	return raw, nil
}

// Server is an http.Server for a port, with bounds on what callers may take.
func Server(p *Port) *http.Server {
	return &http.Server{Handler: p, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
}
