package dataplane

import (
	"context"
	"io"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// reportState asks for the state of a proxy: the body is a ReportCall, the response's a Reported. Its number is
// separate from those of the kinds that carry traffic.
const reportState uint8 = 32

// handleReportCall handles calls that have nothing to do with requests.
func (d *DataPlane) handleReportCall(a *peerRequest, body []byte) outcome {
	if a.Kind != reportState || d.options.HandleReport == nil {
		return outcome{peerResponse: peerResponse{Code: errcode.UnknownCall}}
	}
	answer, err := d.options.HandleReport(body)
	if err != nil {
		return outcome{peerResponse: peerResponse{Code: errcode.Of(err)}}
	}
	return outcome{response: &Response{Body: answer, Length: int64(len(answer))}}
}

// FillReport adds the state of the data plane to a report. The owner goroutines copy their state.
func (d *DataPlane) FillReport(r *messages.ReportReply, proxyReport *messages.ProxyReport, brief bool) {
	var all []messages.BackendReport
	remaining := map[string]float64{}
	d.balancer.Do(func(b *Balancer) {
		now := d.now()
		proxyReport.RetryTokens = b.bucket.Tokens()
		for s, x := range b.retryBudgets {
			remaining[s] = x.Remaining(now)
		}
		all = make([]messages.BackendReport, 0, len(b.byNode))
		for _, row := range b.byNode {
			entry := messages.NewBackendReport(row.Backend)
			entry.InFlight = row.inFlight
			if now < row.avoidUntil {
				entry.AvoidMs = uint32((row.avoidUntil - now).Milliseconds())
			}
			if now-row.loadTime < loadLifetime {
				entry.Load = float32(row.load)
			}
			all = append(all, entry)
		}
	})
	proxyReport.SetRetryBudgets(remaining)
	r.SetBackends(all, brief)
	proxyReport.OwnKeys, proxyReport.ExecutedKeys = operationCounts(d.operations), operationCounts(d.Inbound.operations)
	proxyReport.Running, proxyReport.Waiting = d.Inbound.load()
}

func operationCounts(o *rpc.Owner[idempotency.Cache[*Response]]) (counts messages.KeyCounts) {
	o.Do(func(b *idempotency.Cache[*Response]) {
		_, bytes := b.Len()
		counts = messages.KeyCounts{InProgress: b.Count(idempotency.InProgress), Done: b.Count(idempotency.Done), Unknown: b.Count(idempotency.Unknown), Void: b.Count(idempotency.NotExecuted), Bytes: bytes}
	})
	return counts
}

// ReportClient requests reports from proxies through their inbound port. It keeps idle connections for a while.
type ReportClient struct{ peers *peerClient }

// NewReportClient returns a ReportClient. n: nil for the system's network.
func NewReportClient(n sock.Net) *ReportClient { return &ReportClient{newPeerClient(n, nil)} }

// maxReportBytes bounds a response; a proxy truncates its own report to a quarter of that.
const maxReportBytes = 1 << 20

// Report requests a report from the proxy whose inbound address is addr.
func (rc *ReportClient) Report(addr string, call messages.ReportCall, wait time.Duration) (r messages.ReportReply, err error) {
	deadline := time.Now().Add(wait)
	for range 2 { // the first connection may be a pooled one that has since closed
		var raw []byte
		if raw, err = rc.call(addr, rpc.Encode(call), deadline); err == nil {
			return r, rpc.Decode(raw, &r)
		}
		if errcode.Of(err) != errcode.ConnectionLost {
			break
		}
	}
	return r, err
}

func (rc *ReportClient) call(addr string, body []byte, deadline time.Time) (raw []byte, err error) {
	c, err := rc.peers.dial(context.Background(), addr, deadline)
	if err != nil {
		return nil, errcode.New(errcode.Unreachable, "%w", err)
	}
	c.SetDeadline(deadline)
	in := getReader(c)
	var head peerResponse
	if _, err = c.Write(appendMessage(nil, &peerRequest{Kind: reportState, Length: int64(len(body))}, body)); err == nil {
		err = readMessage(in, &head)
	}
	switch {
	case err != nil:
	case head.Code != errcode.OK:
		rc.peers.release(c, in, false)
		return nil, errcode.New(head.Code, "%s", addr)
	case head.Length < 0 || head.Length > maxReportBytes:
		err = errcode.New(errcode.Malformed, "report of %d bytes is out of bounds", head.Length)
	default:
		raw = make([]byte, head.Length)
		_, err = io.ReadFull(in, raw)
	}
	if err != nil {
		putReader(in)
		rc.peers.pool.Close(c)
		rc.peers.pool.CloseIdle(addr)
		switch {
		case isTimeout(err):
			return nil, errcode.New(errcode.ResponseTimeout, "%s", addr)
		case errcode.Of(err) == errcode.Malformed:
			return nil, err
		}
		return nil, errcode.New(errcode.ConnectionLost, "%w", err)
	}
	rc.peers.release(c, in, false)
	return raw, nil
}

// Uptime returns how long this proxy has been running.
func (d *DataPlane) Uptime() time.Duration { return d.now() }
