// Package controlapi implements the HTTP API for backends, operators and the platform. It routes a request by method and path
// segments to a function, and maps the kind of its error to a response.
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

// Limits of request bodies. A configuration change is applied as a whole, by one write to disk.
const (
	MaxHeartbeatBytes     = 64 << 10
	MaxConfigurationBytes = 768 << 10
)

// Handler is an http.Handler that serves the API with the functions of one program. Requests for functions that are nil are
// answered as unknown.
type Handler struct {
	Heartbeat           func(Heartbeat) error                              // a backend reports its state
	Leave               func(id string) error                              // a backend has shut down
	ChangeConfiguration func(ctx context.Context, body []byte) error       // the operator changes the configuration; ctx is canceled when the caller disconnects
	ReadConfiguration   func(ctx context.Context) (body []byte, err error) // the operator reads the configuration
	Ready               func() error                                       // readiness probe of the platform
	OnRejected          func(k errcode.Kind, text string)                  // called for each request that failed; may be nil
}

// Heartbeat is the state that a backend reports of itself.
type Heartbeat struct {
	ID         string
	Addr       string
	Service    string
	Version    string
	Zone       string
	Capacity   int
	State      backends.State
	Sequence   uint64        // increases with each call of one backend process
	WarmupLeft time.Duration // remaining time for which the backend is slow
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

// ParseHeartbeat decodes and checks the body of a heartbeat from the instance id.
func ParseHeartbeat(id string, body []byte) (Heartbeat, error) {
	var parsed heartbeatBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Heartbeat{}, errcode.New(errcode.InvalidRequest, "beat: %w", err)
	}
	heartbeat := Heartbeat{ID: id, Addr: parsed.Address, Service: parsed.Info.Service, Version: parsed.Info.Version, Zone: parsed.Info.Zone,
		Capacity: parsed.Info.Capacity, Sequence: parsed.Status.Count}
	switch parsed.Status.State {
	case "serving":
		heartbeat.State = backends.Serving
	case "draining":
		heartbeat.State = backends.Draining
	default:
		return heartbeat, errcode.New(errcode.InvalidRequest, "beat: status.state: serving or draining wanted, got %.40q", parsed.Status.State)
	}
	switch {
	case heartbeat.Service == "":
		return heartbeat, errcode.New(errcode.InvalidRequest, "beat: node-info.service: a name wanted")
	case heartbeat.Capacity < 0:
		return heartbeat, errcode.New(errcode.InvalidRequest, "beat: node-info.capacity: 0 or more wanted, got %d", heartbeat.Capacity)
	case !(parsed.Status.Warm >= 0 && parsed.Status.Warm < 1e6):
		return heartbeat, errcode.New(errcode.InvalidRequest, "beat: status.warmup-left-s: seconds wanted, got %v", parsed.Status.Warm)
	}
	heartbeat.WarmupLeft = time.Duration(parsed.Status.Warm * float64(time.Second))
	return heartbeat, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := h.dispatch(r)
	if err != nil {
		kind := errcode.Of(err)
		if h.OnRejected != nil {
			h.OnRejected(kind, err.Error())
		}
		answer := kind.Answer()
		if answer.RetryAfter {
			w.Header().Set("Retry-After", "0.2")
		}
		body, _ = json.Marshal(map[string]string{"error": err.Error()})
		writeResponse(w, answer.Status, body)
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

func (h *Handler) dispatch(r *http.Request) ([]byte, error) {
	segments := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(segments) < 2 || segments[0] != "v1" {
		return nil, errcode.New(errcode.UnknownCall, "%s", r.URL.Path)
	}
	switch {
	case len(segments) == 2 && segments[1] == "readiness" && r.Method == http.MethodGet && h.Ready != nil:
		return []byte("{}"), h.Ready()
	case len(segments) == 3 && segments[1] == "instances" && r.Method == http.MethodPut && h.Heartbeat != nil:
		body, err := readBody(r, MaxHeartbeatBytes)
		if err != nil {
			return nil, err
		}
		heartbeat, err := ParseHeartbeat(segments[2], body)
		if err != nil {
			return nil, err
		}
		return []byte("{}"), h.Heartbeat(heartbeat)
	case len(segments) == 3 && segments[1] == "instances" && r.Method == http.MethodDelete && h.Leave != nil:
		return []byte("{}"), h.Leave(segments[2])
	case len(segments) == 2 && segments[1] == "configuration" && r.Method == http.MethodPatch && h.ChangeConfiguration != nil:
		body, err := readBody(r, MaxConfigurationBytes)
		if err != nil {
			return nil, err
		}
		return []byte("{}"), h.ChangeConfiguration(r.Context(), body)
	case len(segments) == 2 && segments[1] == "configuration" && r.Method == http.MethodGet && h.ReadConfiguration != nil:
		return h.ReadConfiguration(r.Context())
	}
	return nil, errcode.New(errcode.UnknownCall, "%s %s", r.Method, r.URL.Path)
}

func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBytes))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, errcode.New(errcode.BodyTooLarge, "over %d bytes", maxBytes)
	}
	if netErr := net.Error(nil); errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF) { // the body is incomplete, not malformed
		return nil, errcode.New(errcode.RequestTimeout, "%w", err)
	}
	if err != nil {
		return nil, errcode.New(errcode.InvalidRequest, "%w", err)
	}
	return body, nil
}

// NewServer returns an http.Server for a handler, with limits on the time and header size of a request.
func NewServer(h *Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
}
