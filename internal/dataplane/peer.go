package dataplane

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"saltmast/internal/disconnect"
	"saltmast/internal/errcode"
	"saltmast/internal/http1"
	"saltmast/internal/idempotency"
	"saltmast/internal/links"
	"saltmast/internal/pacing"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// Peer protocol: a request is carried from the proxy where it began to the proxy beside a backend, and the response
// back, one at a time on a connection. A message is a 4-byte length, a CBOR head of that length, and a body. The body
// is as long as the head says, or it comes in chunks, each after a 4-byte length, up to an empty one. The chunk length
// brokenChunk says that the rest of the body will not come.

// Kinds of a peer request.
const (
	runRequest   uint8 = iota // run this request
	lookupKey                 // return the response to this key, if it is known
	claimForPeer              // claim this key for a proxy that reaches no quorum
	pullForPeer               // return updates to a proxy that reaches no registry: the body is a PullCall, the response's a News
)

// unknownLength is the length of a body that comes in chunks.
const unknownLength = -1

const brokenChunk = 1<<32 - 1

const (
	maxPeerHead = 128 << 10
	chunkBytes  = 16 << 10
)

// Field is one header line.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// peerRequest is the head of a request to another proxy.
type peerRequest struct {
	Kind        uint8          `cbor:"1,keyasint"`
	Instance    string         `cbor:"2,keyasint"` // the backend instance that is meant
	Service     string         `cbor:"3,keyasint"`
	Method      string         `cbor:"4,keyasint"`
	Target      string         `cbor:"5,keyasint"`
	Header      []Field        `cbor:"6,keyasint"`
	Length      int64          `cbor:"7,keyasint"` // of the body; or unknownLength
	RemainingMs uint32         `cbor:"8,keyasint"` // milliseconds until the client's deadline
	MaxQueueMs  uint32         `cbor:"9,keyasint"` // milliseconds that it may wait for a place
	Priority    int            `cbor:"10,keyasint"`
	ID          string         `cbor:"12,keyasint"` // of the attempt, as set by the client
	Key         string         `cbor:"13,keyasint,omitempty"`
	Claim       idempotency.ID `cbor:"14,keyasint"`
	Number      uint64         `cbor:"15,keyasint,omitempty"` // sequence number among the sender's requests, repeated in the response

	// Cancelable says that a run may be aborted once nobody waits for its response. It is false from proxies of an earlier
	// version, whose runs are never aborted.
	Cancelable bool `cbor:"16,keyasint,omitempty"`

	abandoned func() bool // whether the sender has given up on the request; nil: it was made by this proxy
}

// peerResponse is the head of a response to another proxy.
type peerResponse struct {
	Code     errcode.Kind      `cbor:"1,keyasint"` // OK: the backend's response follows
	Sent     bool              `cbor:"2,keyasint"` // the request was sent to the backend
	Status   int               `cbor:"3,keyasint"`
	Header   []Field           `cbor:"4,keyasint"`
	Length   int64             `cbor:"5,keyasint"`
	Running  int               `cbor:"6,keyasint"`            // requests running at the backend now
	Waiting  int               `cbor:"7,keyasint"`            // requests in its queue
	State    idempotency.State `cbor:"9,keyasint"`            // of a lookupKey request
	QueuedMs uint32            `cbor:"12,keyasint,omitempty"` // milliseconds that it waited for a place

	Number  uint64             `cbor:"13,keyasint,omitempty"` // of the request that it answers
	Verdict idempotency.Result `cbor:"10,keyasint,omitempty"` // of a claim
	Holder  *idempotency.ID    `cbor:"11,keyasint,omitempty"`
}

// appendMessage appends a head and a body, or the first part of one.
func appendMessage(buf []byte, head any, body []byte) []byte {
	at := len(buf)
	buf = rpc.Append(append(buf, 0, 0, 0, 0), head)
	binary.BigEndian.PutUint32(buf[at:], uint32(len(buf)-at-4))
	return append(buf, body...)
}

// readMessage reads a head.
func readMessage(in *bufio.Reader, head any) error {
	var n [4]byte
	if _, err := io.ReadFull(in, n[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(n[:])
	if size > maxPeerHead {
		return errcode.New(errcode.Malformed, "message head of %d bytes exceeds the limit", size)
	}
	if b, err := in.Peek(int(size)); err == nil {
		err = rpc.Decode(b, head)
		in.Discard(int(size))
		return err
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(in, b); err != nil {
		return err
	}
	return rpc.Decode(b, head)
}

// chunkWriter writes a body in chunks.
type chunkWriter struct {
	w   io.Writer
	buf []byte
}

func (p *chunkWriter) write(b []byte) error {
	p.buf = binary.BigEndian.AppendUint32(p.buf[:0], uint32(len(b)))
	p.buf = append(p.buf, b...)
	_, err := p.w.Write(p.buf)
	return err
}

// end marks the end of the body, or that its rest will not come.
func (p *chunkWriter) end(complete bool) error {
	n := uint32(0)
	if !complete {
		n = brokenChunk
	}
	_, err := p.w.Write(binary.BigEndian.AppendUint32(p.buf[:0], n))
	return err
}

// errBodyBroken is returned by a chunkReader if the sender could not send the rest.
var errBodyBroken = errors.New("the sender aborted the body")

// chunkReader reads a body in chunks. It returns io.EOF only at the end of a complete body.
type chunkReader struct {
	in   *bufio.Reader
	left uint32
	err  error
}

func (p *chunkReader) Read(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	if p.left == 0 {
		var n [4]byte
		if _, err := io.ReadFull(p.in, n[:]); err != nil {
			p.err = asUnexpectedEOF(err)
			return 0, p.err
		}
		switch p.left = binary.BigEndian.Uint32(n[:]); {
		case p.left == 0:
			p.err = io.EOF
			return 0, io.EOF
		case p.left == brokenChunk:
			p.err = errBodyBroken
			return 0, p.err
		case p.left > 1<<20:
			p.err = errcode.New(errcode.Malformed, "chunk of %d bytes exceeds the limit", p.left)
			return 0, p.err
		}
	}
	n, err := p.in.Read(b[:min(len(b), int(p.left))])
	p.left -= uint32(n)
	if err != nil {
		p.err = asUnexpectedEOF(err)
	}
	return n, p.err
}

func asUnexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Response is a backend's response. The receiver closes one with a Stream.
type Response struct {
	Status  int
	Header  []Field
	Body    []byte    // complete if Stream is nil
	Stream  io.Reader // follows Body; io.EOF marks a complete end only
	Length  int64     // of Body and Stream; unknownLength: not known
	onClose func(complete bool)
}

// Close ends a streamed response. complete: it was read completely.
func (a *Response) Close(complete bool) {
	if a != nil && a.onClose != nil {
		a.onClose(complete)
		a.onClose = nil
	}
}

// size returns the approximate memory size of a response.
func (a *Response) size() int {
	n := 128 + len(a.Body)
	for _, f := range a.Header {
		n += 32 + len(f.Name) + len(f.Value)
	}
	return n
}

// outcome is the result of a peer request or of an attempt.
type outcome struct {
	peerResponse
	response        *Response
	err             error // of the transport
	transportFailed bool  // the transport to the other proxy failed, not what is behind it

	// canceled says that the attempt was abandoned because its client had left, so it says nothing about the backend or the
	// path to it.
	canceled bool
}

// abandonedOutcome is the outcome of an attempt whose client left. sent: it may have run.
func abandonedOutcome(sent bool) outcome {
	k := errcode.ClientDisconnected
	if sent {
		k = errcode.ConnectionLost
	}
	return outcome{peerResponse: peerResponse{Code: k, Sent: sent}, err: disconnect.ErrPeerClosed, canceled: true}
}

// peerClient sends requests to other proxies.
type peerClient struct {
	pool       *links.Pool
	pacer      *pacing.Pacer // paces what is sent to other proxies
	lastNumber atomic.Uint64
}

const (
	peerDialTimeout  = 300 * time.Millisecond
	peerIdleTimeout  = 20 * time.Second
	peerAckTimeout   = 500 * time.Millisecond // a connection whose sent bytes stay unacknowledged for this long is closed ...
	streamAckTimeout = stallTimeout           // ... or for this long during streaming: a reader that pauses still acknowledges, but takes no data
)

func newPeerClient(n sock.Net, pacer *pacing.Pacer) *peerClient {
	pc := &peerClient{pool: links.New(peerIdleTimeout, peerDialTimeout, 0), pacer: pacer}
	pc.pool.Net, pc.pool.Quiet = sock.On(n), peerAckTimeout
	return pc
}

// dial returns a connection to another proxy.
func (pc *peerClient) dial(ctx context.Context, addr string, deadline time.Time) (*links.Conn, error) {
	if c := pc.pool.Get(addr); c != nil {
		return c, nil
	}
	return pc.pool.Dial(ctx, addr, addr, deadline)
}

// do sends one request. body is sent whole; stream, if not nil, follows it in chunks as it is read. A response of more
// than bufferedBodyBytes is streamed. Canceling ctx closes the connection, also in the middle of a streamed response,
// which tells the other proxy.
func (pc *peerClient) do(ctx context.Context, addr string, a *peerRequest, body []byte, stream io.Reader, deadline time.Time) outcome {
	c, err := pc.dial(ctx, addr, deadline)
	if ctx.Err() != nil {
		if err == nil {
			pc.pool.Release(c)
		}
		return abandonedOutcome(false)
	}
	if err != nil {
		pc.pool.CloseIdle(addr)
		return outcome{peerResponse: peerResponse{Code: errcode.Unreachable}, err: err, transportFailed: true}
	}
	c.SetDeadline(deadline)
	c.CloseOnDone(ctx)
	o := pc.exchange(ctx, c, a, body, stream, deadline)
	if o.response == nil && ctx.Err() != nil && o.transportFailed {
		return abandonedOutcome(o.Sent)
	}
	return o
}

// exchange sends one request over a connection, which canceling ctx closes, and releases or closes the connection.
func (pc *peerClient) exchange(ctx context.Context, c *links.Conn, a *peerRequest, body []byte, stream io.Reader, deadline time.Time) outcome {
	addr := c.Key()
	req := *a // a copy, since the caller may send the request again
	req.Number = pc.lastNumber.Add(1)
	buf := getBuf()
	msg := appendMessage((*buf)[:0], &req, body)
	if len(msg)-len(body)-4 > maxPeerHead { // the other side would reject it
		putBuf(buf)
		pc.pool.Release(c)
		return outcome{peerResponse: peerResponse{Code: errcode.HeaderTooLarge}}
	}
	out := pc.pacer.Writer(c)
	n, err := out.Write(msg)
	complete := n == len(msg)
	*buf = msg[:0]
	putBuf(buf)
	if err != nil {
		pc.pool.Close(c)
		if !complete { // the other side can't have all of it, and does nothing before that
			if ctx.Err() == nil {
				pc.pool.CloseIdle(addr)
			}
			return outcome{peerResponse: peerResponse{Code: errcode.Unreachable}, err: err, transportFailed: true}
		}
		return outcome{peerResponse: peerResponse{Code: errcode.ConnectionLost, Sent: true}, err: err, transportFailed: true}
	}
	if stream != nil {
		sock.SetQuiet(c.Conn, streamAckTimeout)
		if err = sendChunks(c, out, stream); errors.Is(err, errClientBody) {
			pc.pool.Close(c)
			return outcome{peerResponse: peerResponse{Code: errcode.ConnectionLost, Sent: true}, err: err}
		}
		c.SetDeadline(deadline)
		if err != nil { // the other side may have responded before it had read all
			c.SetDeadline(time.Now().Add(lingerTimeout))
		}
	}
	noReuse := stream != nil // the other side closes the connection if it responded before it had read all
	in := getReader(c)
	var head peerResponse
	err = readMessage(in, &head)
	if err == nil && head.Number != req.Number && head.Number != 0 { // 0: a proxy of an earlier version
		err = errcode.New(errcode.Malformed, "response to request %d received for request %d", head.Number, req.Number)
	}
	if err != nil {
		putReader(in)
		pc.pool.Close(c)
		k := errcode.ConnectionLost
		if isTimeout(err) {
			k = errcode.ResponseTimeout
			if time.Now().Before(deadline) { // the timeout of the connection itself, for unacknowledged bytes
				k = errcode.ConnectionLost
			}
		}
		if k == errcode.ConnectionLost && ctx.Err() == nil {
			pc.pool.CloseIdle(addr)
		}
		return outcome{peerResponse: peerResponse{Code: k, Sent: true}, err: err, transportFailed: true}
	}
	o := outcome{peerResponse: head}
	if head.Code != errcode.OK {
		pc.release(c, in, noReuse)
		return o
	}
	o.response, err = readPeerBody(in, head, func(complete bool) {
		pc.release(c, in, noReuse || !complete)
	})
	if err != nil {
		putReader(in)
		pc.pool.Close(c)
		return outcome{peerResponse: peerResponse{Code: errcode.ConnectionLost, Sent: true, Status: head.Status}, err: err, transportFailed: true}
	}
	if o.response.Stream != nil && a.Kind != pullForPeer { // a pull is read completely before its deadline
		c.SetDeadline(time.Time{})
		o.response.Stream = &stallReader{c.Conn, o.response.Stream, deadline}
	}
	return o
}

func (pc *peerClient) release(c *links.Conn, in *bufio.Reader, noReuse bool) {
	unread := in.Buffered() > 0
	putReader(in)
	if unread || noReuse {
		pc.pool.Close(c)
		return
	}
	pc.pool.Release(c)
}

// readPeerBody reads the body after a head, all of it up to bufferedBodyBytes; end is called when a streamed body has
// ended, or at once.
func readPeerBody(in *bufio.Reader, head peerResponse, end func(complete bool)) (*Response, error) {
	a := &Response{Status: head.Status, Header: head.Header, Length: head.Length}
	var source io.Reader = &chunkReader{in: in}
	if head.Length >= 0 {
		source = http1.AnswerBody(in, head.Length)
	}
	var complete bool
	var err error
	if a.Body, complete, err = readBuffered(source, head.Length); err != nil {
		return nil, err
	}
	if complete {
		a.Length = int64(len(a.Body))
		end(true)
		return a, nil
	}
	a.Stream, a.onClose = source, end
	return a, nil
}

// bufferedBodyBytes is how much of a body is buffered before it is streamed.
const bufferedBodyBytes = 64 << 10

// readBuffered reads a body up to bufferedBodyBytes, and reports whether that was all of it.
func readBuffered(source io.Reader, length int64) (body []byte, complete bool, err error) {
	if length >= 0 && length <= bufferedBodyBytes {
		body = make([]byte, length)
		_, err = io.ReadFull(source, body)
		return body, true, err
	}
	body = make([]byte, 0, 4<<10)
	for len(body) < bufferedBodyBytes {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(2*cap(body), bufferedBodyBytes))
			copy(grown, body)
			body = grown
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// sendChunks streams a body through out, a writer to the connection c.
func sendChunks(c net.Conn, out io.Writer, source io.Reader) error {
	w := &chunkWriter{w: out}
	b := make([]byte, chunkBytes)
	for {
		n, err := source.Read(b)
		c.SetWriteDeadline(time.Now().Add(stallTimeout))
		if n > 0 {
			if err := w.write(b[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return w.end(true)
		}
		if err != nil {
			w.end(false)
			return fmt.Errorf("%w: %w", errClientBody, err)
		}
	}
}

// errClientBody marks a body that the client did not send completely.
var errClientBody = errors.New("the client did not send its whole body")
