package upstream

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saltmast"
	"saltmast/internal/core"
	"saltmast/internal/wire"
)

// HTTP is a client's request as it goes on to backends: the payload of its core.Call.
type HTTP struct {
	Key          string // Idempotency-Key
	Method, Host string
	Target       string // path and query, as they came
	Body         []byte
	Coming       *Coming // a body that passes, in place of Body
}

// encode implements codec.
func (h *HTTP) encode(id string, left time.Duration) ([]byte, error) {
	raw := h.appendHead(make([]byte, 0, 256+len(h.Target)+len(h.Body)), id, left, int64(len(h.Body)))
	return append(raw, h.Body...), nil
}

// appendHead appends a request's head; length -1: in chunks.
func (h *HTTP) appendHead(raw []byte, id string, left time.Duration, length int64) []byte {
	add := func(parts ...string) {
		for _, p := range parts {
			raw = append(raw, p...)
		}
	}
	add(h.Method, " ", h.Target, " HTTP/1.1\r\nHost: ", h.Host, "\r\nX-Call-Id: ", id, "\r\nX-Budget-Ms: ")
	raw = strconv.AppendInt(raw, max(1, left.Milliseconds()), 10)
	add("\r\n")
	if h.Key != "" {
		add("Idempotency-Key: ", h.Key, "\r\n")
	}
	switch {
	case length < 0:
		add("Transfer-Encoding: chunked\r\n")
	case length > 0 || h.Method != http.MethodGet:
		add("Content-Length: ")
		raw = strconv.AppendInt(raw, length, 10)
		add("\r\n")
	}
	add("\r\n")
	return raw
}

// read implements codec by the protocol's table of outcomes.
func (h *HTTP) read(a *answerReader) (reply, bool) {
	r, again := a.readHTTP()
	if r.err != nil {
		return r, again
	}
	switch {
	case r.status == http.StatusOK:
		r.verdict = saltmast.OK
	case (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout) && r.header.Get("X-Rejected") == "1":
		r.verdict = saltmast.Full
	default:
		r.verdict = saltmast.Errored
		if r.status != http.StatusInternalServerError {
			r.odd = strconv.Itoa(r.status)
		}
	}
	return r, again
}

// probeHTTP is a question for a backend's health or load.
type probeHTTP struct{ path, host string }

func (p probeHTTP) encode(string, time.Duration) ([]byte, error) {
	return []byte("GET " + p.path + " HTTP/1.1\r\nHost: " + p.host + "\r\n\r\n"), nil
}

func (p probeHTTP) read(a *answerReader) (reply, bool) { return new(HTTP).read(a) }

// probe examines a backend outside any request.
func (b *Backends) probe(ctx context.Context, backend string) (saltmast.Result, reply) {
	cut := time.Now().Add(b.terms.Load().probing)
	c, res, err := b.connect(ctx, backend, cut)
	if c == nil {
		return res, reply{at: time.Now(), err: err}
	}
	if _, ok := b.table.Serving(backend); !ok { // it was taken out or began to drain during the dial
		b.pool.Release(c)
		return saltmast.ConnectFailed, reply{at: time.Now()}
	}
	if b.Ping != "" {
		return b.exchange(ctx, c, &core.Call{}, newProbeThrift(b.Ping, b.Protocol), cut)
	}
	path := "/healthz"
	if b.terms.Load().reports != saltmast.ReportsNone {
		path = "/load"
	}
	res, r := b.exchange(ctx, c, &core.Call{}, probeHTTP{path, c.RemoteAddr().String()}, cut)
	if path == "/load" && r.err == nil && r.header.Get(loadHeader) == "" {
		r.header.Set(loadHeader, string(r.body))
	}
	return res, r
}

const loadHeader = "X-Load-Report"

// loadReport reads a load report as backends write it: TEXT name=value, name=value.
func loadReport(r reply) saltmast.Load {
	text, ok := strings.CutPrefix(strings.TrimSpace(r.header.Get(loadHeader)), "TEXT ")
	if !ok {
		return saltmast.Load{}
	}
	usage := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return saltmast.Load{} // what can't be read is no report; one such figure would spoil running means
		}
		usage[name] = v
	}
	return wire.LoadReport(usage)
}
