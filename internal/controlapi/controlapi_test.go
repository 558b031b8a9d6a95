package controlapi

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/errcode"
)

const heartbeatJSON = `{"address":"10.0.0.9:80","node-info":{"service":"s","version":"v1","zone":"z","capacity":6},"status":{"state":"serving","call-count":4,"warmup-left-s":0.5}}`

// TestDispatch checks the function called for each method and path, and that its result becomes a response of one line.
func TestDispatch(t *testing.T) {
	called := ""
	all := &Handler{
		Heartbeat: func(b Heartbeat) error { called = "beat " + b.ID; return nil },
		Leave:     func(id string) error { called = "leave " + id; return errcode.New(errcode.NotFound, "") },
		ChangeConfiguration: func(_ context.Context, b []byte) error {
			called = "change " + string(b)
			return errcode.New(errcode.VersionConflict, "")
		},
		ReadConfiguration: func(context.Context) ([]byte, error) { called = "configure"; return []byte(`{"a":1}`), nil },
		Ready:             func() error { called = "ready"; return errcode.New(errcode.NotReady, "") },
	}
	for _, c := range []struct {
		port               *Handler
		method, path, body string
		status             int
		called             string
	}{
		{all, "PUT", "/v1/instances/i-1", heartbeatJSON, 200, "beat i-1"},
		{all, "PUT", "/v1/instances/i-1", "{", 400, ""},
		{all, "PUT", "/v1/instances/i-1", strings.Repeat(" ", MaxHeartbeatBytes+1), 413, ""},
		{all, "DELETE", "/v1/instances/i-1", "", 404, "leave i-1"},
		{all, "PATCH", "/v1/configuration", "{}", 409, "change {}"},
		{all, "GET", "/v1/configuration", "", 200, "configure"},
		{all, "GET", "/v1/readiness", "", 503, "ready"},
		{all, "POST", "/v1/readiness", "", 404, ""},
		{all, "GET", "/v1/instances/i-1", "", 404, ""},
		{all, "PUT", "/v1/instances", heartbeatJSON, 404, ""},
		{all, "PUT", "/v1/instances/i/j", heartbeatJSON, 404, ""},
		{all, "GET", "/v2/readiness", "", 404, ""},
		{all, "GET", "/", "", 404, ""},
		{&Handler{}, "GET", "/v1/readiness", "", 404, ""},
		{&Handler{}, "PATCH", "/v1/configuration", "{}", 404, ""},
	} {
		called = ""
		w := httptest.NewRecorder()
		c.port.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		again := w.Header().Get("Retry-After") != ""
		if w.Code != c.status || called != c.called || again != (c.status == 503) || strings.Contains(w.Body.String(), "\n") {
			t.Errorf("%s %s: %d %q, called %q", c.method, c.path, w.Code, w.Body, called)
		}
	}
}

// TestParseHeartbeat checks that a heartbeat is decoded completely, or refused with one line that names the wrong field.
func TestParseHeartbeat(t *testing.T) {
	got, err := ParseHeartbeat("i-1", []byte(heartbeatJSON))
	want := Heartbeat{ID: "i-1", Addr: "10.0.0.9:80", Service: "s", Version: "v1", Zone: "z", Capacity: 6, State: backends.Serving, Sequence: 4, WarmupLeft: time.Second / 2}
	if err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	for _, c := range []struct{ old, new, mentions string }{
		{`"serving"`, `"sinking"`, "status.state"},
		{`"serving"`, `"` + strings.Repeat("x", 900) + `"`, "status.state"},
		{`"state":"serving",`, ``, "status.state"},
		{`"s"`, `""`, "node-info.service"},
		{`6`, `-1`, "node-info.capacity"},
		{`6`, `1.5`, "capacity"},
		{`0.5`, `-0.5`, "warmup-left-s"},
		{`0.5`, `1e300`, "warmup-left-s"},
		{`4`, `-4`, "call-count"},
		{`}}`, `}`, "beat"},
	} {
		_, err := ParseHeartbeat("i-1", []byte(strings.Replace(heartbeatJSON, c.old, c.new, 1)))
		if errcode.Of(err) != errcode.InvalidRequest || !strings.Contains(err.Error(), c.mentions) || strings.Contains(err.Error(), "\n") || len(err.Error()) > 200 {
			t.Errorf("%s for %s: %v", c.new, c.old, err)
		}
	}
}
