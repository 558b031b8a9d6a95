// Package http is the front for applications that speak HTTP/1.1: bytes from callers to a request, and its one final
// answer back to bytes. Which requests are taken is said here; what becomes of them is the core's. Start reading at New.
package http

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/conns"
	"saltmast/internal/core"
	"saltmast/internal/upstream"
)

const (
	// bodyTime is how long a request's body may take to come, once its head is there.
	bodyTime = 2 * time.Second
	// lingerTime is how long the rest of a request is read that was turned away.
	lingerTime = 100 * time.Millisecond
	// maxBudget is the longest that a client may be willing to wait.
	maxBudget = time.Hour
)

// Front answers the application.
type Front struct {
	Server   *http.Server // what serves its connections
	loop     *core.Loop
	conns    *conns.Listener
	serving  func() bool // whether some backend may get work
	terms    atomic.Pointer[terms]
	draining atomic.Bool // it stops
	drained  atomic.Bool // operators have drained it
}

const (
	// headTime is how long a request's head may take to come, and the first one on a new connection.
	headTime = 2500 * time.Millisecond
	// idleTime ends a connection that has had no request for so long. Clients hold a third of the descriptors
	// at most: those that ask once and stay would leave the others none.
	idleTime = conns.RestTime + 100*time.Millisecond
)

// Terms are what requests are taken by. A request keeps those that it came under.
type Terms struct {
	Settings *saltmast.Settings
	Classes  []string // their names, by number
	Tenants  []string
	Record   Record
}

type terms struct {
	Terms
	classes map[string]int
}

// Options are what a front is made of.
type Options struct {
	Terms
	Loop    *core.Loop
	Conns   *conns.Listener
	Serving func() bool // whether some backend may get work: then it is ready
	Log     *slog.Logger
}

// Record says which requests are recorded, and what by.
type Record struct {
	Classes []bool   // by number; nil: none
	Header  string   // that holds the account; "" for none
	Field   []string // of a JSON body that does, from outside inwards; nil for none
}

// New returns a front that serves once Serve is called.
func New(o Options) *Front {
	f := &Front{loop: o.Loop, conns: o.Conns, serving: o.Serving}
	f.Retune(o.Terms)
	f.Server = &http.Server{Handler: f, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, ConnState: o.Conns.Note,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(o.Log.Handler(), slog.LevelWarn)}
	return f
}

// Retune has the requests to come taken by other terms, which the loop must know already.
func (f *Front) Retune(t Terms) {
	n := &terms{Terms: t, classes: map[string]int{}}
	for i, name := range t.Classes {
		n.classes[name] = i
	}
	f.terms.Store(n)
}

// Serve serves until Stop or Close, and returns why it ended.
func (f *Front) Serve() error { return f.Server.Serve(f.conns) }

// Drain tells clients, by closing each connection with its answer, that the agent stops soon.
func (f *Front) Drain() { f.draining.Store(true) }

// SetDrained has the agent say no to whoever asks for its health, and close each connection with its answer; or end that.
func (f *Front) SetDrained(drained bool) { f.drained.Store(drained) }

// leaving reports whether clients are to go.
func (f *Front) leaving() bool { return f.draining.Load() || f.drained.Load() }

// stopStep is how often a stop looks for connections that rest.
const stopStep = 20 * time.Millisecond

// Stop takes no more connections and waits for what is under way, until ctx ends. Then all connections are closed. One that
// rests closes only after a look whether a request has come there: http.Server.Shutdown does not look, and resets it.
func (f *Front) Stop(ctx context.Context) error {
	f.draining.Store(true)
	if err := f.conns.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("stopping: %w", err)
	}
	tick := time.NewTicker(stopStep)
	defer tick.Stop()
	for f.conns.CloseQuiet(0) > 0 {
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	if err := f.Server.Close(); err != nil && !errors.Is(err, net.ErrClosed) { // it closes the listener once more
		return fmt.Errorf("stopping: %w", err)
	}
	return nil
}

func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.leaving() {
		w.Header().Set("Connection", "close") // it stops soon; the client's next goes to a new process
	}
	if r.URL.Path == "/healthz" {
		// Whoever asks for this asks once; seen in hundreds, each keeping its connection for good.
		w.Header().Set("Connection", "close")
		f.health(w)
		return
	}
	if status, why := framing(r); status != 0 {
		turnAway(w, status, why)
		return
	}
	terms := f.terms.Load()
	event, status, why := terms.parse(r)
	if status != 0 {
		turnAway(w, status, why)
		return
	}
	q := &upstream.HTTP{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Host: r.Host}
	var err error
	if q.Target, err = targetOf(r); err != nil {
		turnAway(w, http.StatusBadRequest, err.Error())
		return
	}
	if r.ContentLength != 0 {
		if q.Body, err = readBody(w, r); err != nil {
			turnAway(w, http.StatusBadRequest, "bad body")
			return
		}
		arrived = time.Now() // a request's time counts from its last byte
	}
	req := f.loop.NewRequest(terms.Settings, event, arrived, q)
	if c := event.Class; c < len(terms.Record.Classes) && terms.Record.Classes[c] {
		req.Record = &core.Record{Class: terms.Classes[c], Account: terms.Record.account(r, q.Body), Key: q.Key, Digest: sha256.Sum256(q.Body)}
	}
	f.loop.Submit(req)
	select {
	case a := <-req.Answer():
		if f.conns.Crowded() || f.leaving() {
			w.Header().Set("Connection", "close")
		}
		write(w, a)
	case <-r.Context().Done():
		f.loop.Leave(req)
	case <-f.loop.Done():
		w.WriteHeader(http.StatusBadGateway)
	}
}

func (f *Front) health(w http.ResponseWriter) {
	select {
	case <-f.loop.Ready():
		if !f.leaving() && f.serving() {
			io.WriteString(w, "ok\n")
			return
		}
	default:
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// framing checks what tells where a request ends, before a byte of its body is read. net/http drops the
// length of a request that is also chunked, and the encoding of one in HTTP/1.0, and goes on: whoever reads
// it the other way finds a second request in the body. So neither is taken.
func framing(r *http.Request) (status int, why string) {
	switch {
	case r.ProtoMajor != 1 || r.ProtoMinor != 1:
		return http.StatusHTTPVersionNotSupported, "HTTP/1.1 wanted"
	case len(r.TransferEncoding) > 0 || r.ContentLength < 0:
		return http.StatusLengthRequired, "Content-Length wanted, and no Transfer-Encoding"
	case r.ContentLength > upstream.MaxBody:
		return http.StatusRequestEntityTooLarge, "too large a body"
	}
	return 0, ""
}

// turnAway answers what is no request and closes its connection: what follows on it can't be trusted, and
// the rest of its body is not worth reading.
func turnAway(w http.ResponseWriter, status int, why string) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime)) // net/http reads on to the end
	w.Header().Set("Connection", "close")
	http.Error(w, why, status)
}

// once are the headers that a request carries once at the most: which of two counts is anyone's guess.
var once = []string{"X-Call-Id", "X-Budget-Ms", "Idempotency-Key", "X-Caller", "X-Route-Hash"}

// maxKey bounds an Idempotency-Key.
const maxKey = 255

// parse reads a request's head. A status other than 0 says what is wrong with it.
func (t *terms) parse(r *http.Request) (e saltmast.Request, status int, why string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := t.classes[name]
	if !ok {
		return e, http.StatusNotFound, "unknown class"
	}
	effect := t.Settings.Classes[class].Effect
	if want := method(effect); r.Method != want {
		return e, http.StatusMethodNotAllowed, want + " wanted"
	}
	for _, name := range once {
		if len(r.Header[name]) > 1 {
			return e, http.StatusBadRequest, name + " twice"
		}
	}
	if effect == saltmast.Safe && r.ContentLength != 0 {
		return e, http.StatusBadRequest, "a body with GET"
	}
	e = saltmast.Request{ID: r.Header.Get("X-Call-Id"), Class: class, Key: r.Header.Get("X-Route-Hash"),
		Repeat: r.Header.Get("X-Again") == "1"}
	if !validID(e.ID) {
		return e, http.StatusBadRequest, "X-Call-Id: 16 hex digits wanted"
	}
	budget, err := strconv.ParseUint(r.Header.Get("X-Budget-Ms"), 10, 32)
	if e.Left = time.Duration(budget) * time.Millisecond; err != nil || e.Left <= 0 || e.Left > maxBudget {
		return e, http.StatusBadRequest, "X-Budget-Ms: whole milliseconds wanted"
	}
	e.Left = min(e.Left, t.Settings.Classes[class].Deadline) // no client of the class waits longer
	// Backends know a repeat by its key alone: without one, a second attempt might run again.
	if key := r.Header.Get("Idempotency-Key"); (effect == saltmast.Keyed) != (key != "") || len(key) > maxKey {
		return e, http.StatusBadRequest, "Idempotency-Key: wanted for a keyed class alone"
	}
	if text := r.Header.Get("X-Call-Cost"); text != "" {
		if us, err := strconv.ParseFloat(text, 64); err == nil && us > 0 && us < 1e12 {
			e.Work = time.Duration(us * 1e3)
		}
	}
	if i := slices.Index(t.Tenants, r.Header.Get("X-Caller")); i > 0 {
		e.Tenant = i
	}
	return e, 0, ""
}

// account is what a request is about, as the operator's file maps it; "" where it does not say.
func (rec Record) account(r *http.Request, body []byte) string {
	if rec.Header != "" {
		return r.Header.Get(rec.Header)
	}
	var value any
	if rec.Field == nil {
		return ""
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&value) != nil {
		return ""
	}
	for _, name := range rec.Field {
		object, _ := value.(map[string]any)
		value = object[name]
	}
	switch v := value.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	}
	return ""
}

// method is what requests of a kind come by.
func method(e saltmast.Effect) string {
	if e == saltmast.Safe {
		return http.MethodGet
	}
	return http.MethodPost
}

func validID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// readBody reads a body whose length is known to fit.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	c.SetReadDeadline(time.Now().Add(bodyTime))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Time{})
	return body, nil
}

// write answers a client.
func write(w http.ResponseWriter, a core.Answer) {
	status, body := http.StatusBadGateway, []byte(nil)
	switch a.Kind {
	case core.Served:
		status = http.StatusOK
		body, _ = a.Payload.([]byte)
	case core.Refused:
		status = http.StatusServiceUnavailable
	case core.Duplicate:
		status, body = http.StatusBadRequest, []byte("this id is open already\n")
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if a.RetryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64)}
	}
	w.WriteHeader(status)
	w.Write(body) // an error here means that the client has gone
}

// targetOf is the path and query as the client sent them, unchanged.
func targetOf(r *http.Request) (*url.URL, error) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL, nil
	}
	path, query, _ := strings.Cut(r.RequestURI, "?")
	if strings.HasPrefix(path, "//") {
		return nil, fmt.Errorf("path %q", path)
	}
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.RequestURI, "?")}, nil
}
