package agent

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"saltmast"
)

const (
	// bodyTime is how long a request's body may take to come.
	bodyTime = 10 * time.Second
	// maxBudget is the longest that a client may be willing to wait.
	maxBudget = time.Hour
)

// front answers the application.
type front struct {
	loop     *Loop
	classes  map[string]int
	tenants  []string
	settings saltmast.Settings
	limit    int64 // requests being read or open at the most; 0: no limit
	active   atomic.Int64
	draining atomic.Bool
}

func newFront(c *Config, loop *Loop) *front {
	f := &front{loop: loop, classes: map[string]int{}, tenants: c.Names.Tenants, settings: c.Settings,
		limit: int64(c.clientConns())}
	for i, name := range c.Names.Classes {
		f.classes[name] = i
	}
	return f
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.draining.Load() {
		w.Header().Set("Connection", "close") // it stops soon; the client's next goes to a new process
	}
	if r.URL.Path == "/healthz" {
		f.health(w)
		return
	}
	defer f.active.Add(-1)
	if n := f.active.Add(1); f.limit > 0 && n > f.limit {
		// Nothing was sent for it: a refusal does no harm, and running out of descriptors would.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	event, status, why := f.parse(r)
	if status != 0 {
		http.Error(w, why, status)
		return
	}
	q := &call{id: event.ID, key: r.Header.Get("Idempotency-Key"), method: r.Method, host: r.Host}
	var err error
	if q.target, err = targetOf(r); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.ContentLength != 0 {
		if q.body, status = readBody(w, r); status != 0 {
			http.Error(w, "bad body", status)
			return
		}
		arrived = time.Now() // a request's time counts from its last byte
	}
	at := f.loop.clock.At(arrived)
	req := &request{q: q, class: event.Class, arrived: at, deadline: at + event.Left, answer: make(chan answer, 1)}
	f.loop.post(arrival{r: req, event: event})
	select {
	case a := <-req.answer:
		write(w, a)
	case <-r.Context().Done():
		f.loop.post(departure{r: req})
	case <-f.loop.done:
		w.WriteHeader(http.StatusBadGateway)
	}
}

func (f *front) health(w http.ResponseWriter) {
	select {
	case <-f.loop.ready:
		if !f.draining.Load() && f.loop.back.table.any() {
			io.WriteString(w, "ok\n")
			return
		}
	default:
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// parse reads a request's head. A status other than 0 says what is wrong with it.
func (f *front) parse(r *http.Request) (e saltmast.Request, status int, why string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, ok := f.classes[name]
	if !ok {
		return e, http.StatusNotFound, "unknown class"
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
	// Backends know a repeat by its key alone: without one, a second attempt might run again.
	if f.settings.Classes[class].Effect == saltmast.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return e, http.StatusBadRequest, "Idempotency-Key wanted"
	}
	if text := r.Header.Get("X-Call-Cost"); text != "" {
		if us, err := strconv.ParseFloat(text, 64); err == nil && us > 0 && us < 1e12 {
			e.Work = time.Duration(us * 1e3)
		}
	}
	if i := slices.Index(f.tenants, r.Header.Get("X-Caller")); i > 0 {
		e.Tenant = i
	}
	return e, 0, ""
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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, int) {
	c := http.NewResponseController(w)
	c.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	c.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

func write(w http.ResponseWriter, a answer) {
	h := w.Header()
	h["Content-Type"] = []string{"application/octet-stream"}
	h["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	if a.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64)}
	}
	w.WriteHeader(a.status)
	w.Write(a.body) // an error here means that the client has gone
}
