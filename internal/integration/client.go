package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"saltmast/internal/dataplane"
)

// Request is one request of a client. The zero values of Method, Host and Left are GET, Host and 5 s.
type Request struct {
	Method string
	Host   string
	Path   string
	ID     string // of the attempt; empty: a new one
	Key    string
	Left   time.Duration // below 0: none at all
	Header []string      // further lines, without their ends
	Body   []byte
	Chunks bool // the body goes in chunks
}

// Host is the one that clients ask.
const Host = "trial.example"

var attempts atomic.Int64

// NewID is an attempt id that nobody had before.
func NewID() string { return fmt.Sprintf("a-%06x", attempts.Add(1)) }

// text is the request as it goes out, with an id.
func (r *Request) text() []byte {
	if r.ID == "" {
		r.ID = NewID()
	}
	method, host, left := r.Method, r.Host, r.Left
	if method == "" {
		method = http.MethodGet
	}
	if host == "" {
		host = Host
	}
	if left == 0 {
		left = 5 * time.Second
	}
	out := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, r.Path, host, dataplane.HeaderAttemptID, r.ID,
		dataplane.HeaderDeadlineRemaining, max(0, left).Milliseconds())
	if r.Key != "" {
		out = fmt.Appendf(out, "%s: %s\r\n", dataplane.HeaderOperationKey, r.Key)
	}
	for _, h := range r.Header {
		out = append(append(out, h...), "\r\n"...)
	}
	if r.Chunks {
		out = append(out, "Transfer-Encoding: chunked\r\n\r\n"...)
		for rest := r.Body; len(rest) > 0; { // pieces of uneven sizes
			n := min(len(rest), 1+len(rest)*2/3, 1<<16-5)
			out = fmt.Appendf(out, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		return append(out, "0\r\n\r\n"...)
	}
	if len(r.Body) > 0 || method == http.MethodPost {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(r.Body))
	}
	return append(append(out, "\r\n"...), r.Body...)
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Close  bool // nothing follows on its connection
	Err    error
}

// Good reports whether it is an answer of a backend that counts.
func (a Answer) Good() bool {
	return a.Err == nil && a.Status/100 == 2 && a.Header.Get(dataplane.HeaderServerSeal) != ""
}

func (a Answer) String() string {
	if a.Err != nil {
		return a.Err.Error()
	}
	return fmt.Sprintf("%d %.80q", a.Status, a.Body)
}

// Conn is one connection of a client. Unlike net/http's it never sends anything twice.
type Conn struct {
	net.Conn
	in *bufio.Reader
}

// Dial opens one.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp4", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(Patience))
	return &Conn{c, bufio.NewReader(c)}, nil
}

// Read reads one answer.
func (c *Conn) Read(method string) Answer {
	c.SetDeadline(time.Now().Add(Patience))
	r, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(r.Body)
	return Answer{Status: r.StatusCode, Header: r.Header, Body: string(body), Close: r.Close, Err: err}
}

// Ask sends a request and reads its answer. Where it can't be sent whole, an answer may have come all the same.
func (c *Conn) Ask(r Request) Answer {
	_, err := c.Write(r.text())
	a := c.Read(r.Method)
	if a.Err != nil && err != nil {
		a.Err = err
	}
	return a
}

// Ask sends a request on a connection of its own.
func Ask(addr string, r Request) Answer {
	c, err := Dial(addr)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Ask(r)
}

// Ready reports whether the platform would send clients to the machine.
func (x *Machine) Ready() bool {
	status, _, err := call(http.MethodGet, "http://"+x.Readiness()+"/v1/readiness", "")
	return err == nil && status == 200
}

var caller = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func call(method, url, body string) (status int, answer string, err error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	a, err := caller.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(a.Body)
	return a.StatusCode, string(raw), err
}

// Item is one item of a configuration.
type Item struct {
	Kind    string         `json:"resource-kind"`
	Meta    map[string]any `json:"metadata"`
	Content map[string]any `json:"specification"`
}

// Route makes one that leads to a service.
func Route(name string, version int, kind, prefix, service string) Item {
	return Item{"routes", map[string]any{"name": name, "version": "r" + strconv.Itoa(version)}, map[string]any{
		"host": Host, "path-prefix": prefix, "route-kind": kind, "deadline-s": 8, "target-s": 1, "priority": 1, "service": service, "max-attempts": 3}}
}

// Service makes one.
func Service(name string, version int) Item {
	return Item{"services", map[string]any{"name": name, "version": "r" + strconv.Itoa(version)}, map[string]any{
		"health-path": "/health", "connection-limit": 200, "protocol": "h1", "tls": false, "self-dedup": false}}
}

// Bounds makes the single item of limits.
func Bounds(version, head, body int) Item {
	return Item{"limits", map[string]any{"version": "r" + strconv.Itoa(version)}, map[string]any{
		"max-header-bytes": head, "max-body-bytes": body, "header-timeout-s": 5, "idle-timeout-s": 15}}
}

// Change is the body of a call that sets items and drops routes, by name and version.
func Change(items []Item, drop map[string]int) string {
	removed := []map[string]string{}
	for name, v := range drop {
		removed = append(removed, map[string]string{"name": name, "version": "r" + strconv.Itoa(v)})
	}
	raw, err := json.Marshal(map[string]any{"upsert": map[string]any{"resources": items}, "remove": map[string]any{"routes": removed}})
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// Send makes one call of the operator to one core machine.
func (x *Machine) Send(change string) (status int, answer string, err error) {
	return call(http.MethodPatch, "http://"+x.Control()+"/v1/configuration", change)
}

// Standing reads the configuration off one core machine: versions by name; that of the limits has none.
func (x *Machine) Standing() (map[string]string, error) {
	status, raw, err := call(http.MethodGet, "http://"+x.Control()+"/v1/configuration", "")
	if err != nil {
		return nil, err
	}
	if status != 200 {
		return nil, fmt.Errorf("%d %s", status, raw)
	}
	var c struct {
		Resources []struct {
			Kind     string `json:"resource-kind"`
			Metadata struct{ Name, Version string }
		}
	}
	if err := json.Unmarshal([]byte(raw), &c); err != nil {
		return nil, err
	}
	out := map[string]string{}
	for _, r := range c.Resources {
		out[strings.TrimSpace(r.Kind+" "+r.Metadata.Name)] = r.Metadata.Version
	}
	return out, nil
}

// Operate sends a change as an operator does, to one core machine after the other, until it is acknowledged or turned down.
func (m *Mesh) Operate(change string, first int) (status int, answer string) {
	m.t.Helper()
	at := slices.Clone(m.Cores)
	n, begun, why := first, time.Now(), map[string]int{}
	Await(m.t, "a clear answer to a change", func() bool {
		var err error
		status, answer, err = at[n%len(at)].Send(change)
		n++
		if status != 200 {
			why[fmt.Sprintf("%s: %d %s", at[(n-1)%len(at)].Name, status, answer)]++
		}
		return err == nil && status < 500 && status != 408 && status != 429
	})
	if took := time.Since(begun); took > time.Second {
		m.t.Logf("a change took %v: %v", took.Round(time.Millisecond), why)
	}
	return status, answer
}
