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

// A hop carries one request from the proxy where it began to the proxy beside a backend, and the answer back. One
// connection carries one at a time. A message is 4 bytes of length, a CBOR head of so many bytes, and a body: as many bytes
// as the head tells, or pieces, each with 4 bytes of length before it, up to an empty one. A piece of length broken says that
// the rest will not come.

// Kinds of an ask.
const (
	run      uint8 = iota // run this request
	recall                // tell the answer of this key, if it is known
	claimFor              // claim this key, for a proxy that reaches no majority
	newsFor               // tell the news, to a proxy that reaches no harbourmaster: the body is a PullCall, the answer's News
)

// pieces is the length of a body that comes in pieces.
const pieces = -1

const broken = 1<<32 - 1

const (
	maxHopHead = 128 << 10
	pieceBytes = 16 << 10
)

// Field is one header line.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// ask is the head of a request on a hop.
type ask struct {
	Kind     uint8          `cbor:"1,keyasint"`
	Instance string         `cbor:"2,keyasint"` // the backend that is meant
	Service  string         `cbor:"3,keyasint"`
	Method   string         `cbor:"4,keyasint"`
	Target   string         `cbor:"5,keyasint"`
	Header   []Field        `cbor:"6,keyasint"`
	Length   int64          `cbor:"7,keyasint"` // of the body; pieces
	Left     uint32         `cbor:"8,keyasint"` // milliseconds that the client waits on
	Hold     uint32         `cbor:"9,keyasint"` // milliseconds that it may wait for a place
	Rank     int            `cbor:"10,keyasint"`
	ID       string         `cbor:"12,keyasint"` // of the attempt, as the client gave it
	Key      string         `cbor:"13,keyasint,omitempty"`
	Claim    idempotency.ID `cbor:"14,keyasint"`
	Number   uint64         `cbor:"15,keyasint,omitempty"` // of the ask, of all that its proxy made; its answer bears it too

	// Cancelable says that a run of it may be broken off once nobody waits for its answer. From a proxy of an earlier version
	// it is false, and the run goes on.
	Cancelable bool `cbor:"16,keyasint,omitempty"`

	gone func() bool // whether whoever made it has given it up; nil: it was made here
}

// told is the head of an answer on a hop.
type told struct {
	Code    errcode.Kind      `cbor:"1,keyasint"` // OK: the backend's answer follows
	Sent    bool              `cbor:"2,keyasint"` // the request went to the backend
	Status  int               `cbor:"3,keyasint"`
	Header  []Field           `cbor:"4,keyasint"`
	Length  int64             `cbor:"5,keyasint"`
	Running int               `cbor:"6,keyasint"`            // requests at the backend now
	Waiting int               `cbor:"7,keyasint"`            // and before it
	State   idempotency.State `cbor:"9,keyasint"`            // of a recall
	Held    uint32            `cbor:"12,keyasint,omitempty"` // milliseconds that it waited for a place

	Number  uint64              `cbor:"13,keyasint,omitempty"` // of the ask that it answers
	Verdict idempotency.Verdict `cbor:"10,keyasint,omitempty"` // of a claim
	Holder  *idempotency.ID     `cbor:"11,keyasint,omitempty"`
}

// appendMessage appends a head and what is there of the body.
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
	if size > maxHopHead {
		return errcode.New(errcode.Malformed, "a head of %d bytes", size)
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

// pieceWriter writes a body in pieces.
type pieceWriter struct {
	w   io.Writer
	buf []byte
}

func (p *pieceWriter) write(b []byte) error {
	p.buf = binary.BigEndian.AppendUint32(p.buf[:0], uint32(len(b)))
	p.buf = append(p.buf, b...)
	_, err := p.w.Write(p.buf)
	return err
}

// end says that the body is whole, or that its rest will not come.
func (p *pieceWriter) end(whole bool) error {
	n := uint32(0)
	if !whole {
		n = broken
	}
	_, err := p.w.Write(binary.BigEndian.AppendUint32(p.buf[:0], n))
	return err
}

// errBroken is what a reader of pieces gets where the sender could not go on.
var errBroken = errors.New("the rest did not come")

// pieceReader reads a body in pieces: io.EOF comes at the end of a whole one alone.
type pieceReader struct {
	in   *bufio.Reader
	left uint32
	err  error
}

func (p *pieceReader) Read(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	if p.left == 0 {
		var n [4]byte
		if _, err := io.ReadFull(p.in, n[:]); err != nil {
			p.err = unexpected(err)
			return 0, p.err
		}
		switch p.left = binary.BigEndian.Uint32(n[:]); {
		case p.left == 0:
			p.err = io.EOF
			return 0, io.EOF
		case p.left == broken:
			p.err = errBroken
			return 0, p.err
		case p.left > 1<<20:
			p.err = errcode.New(errcode.Malformed, "a piece of %d bytes", p.left)
			return 0, p.err
		}
	}
	n, err := p.in.Read(b[:min(len(b), int(p.left))])
	p.left -= uint32(n)
	if err != nil {
		p.err = unexpected(err)
	}
	return n, p.err
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Answer is a backend's answer. One whose body goes on as it comes is closed by whoever got it.
type Answer struct {
	Status int
	Header []Field
	Body   []byte    // whole, where Rest is nil
	Rest   io.Reader // what follows Body; io.EOF comes at its whole end alone
	Length int64     // of Body and Rest; pieces: not told
	end    func(whole bool)
}

// Close ends one that goes on as it comes.
func (a *Answer) Close(whole bool) {
	if a != nil && a.end != nil {
		a.end(whole)
		a.end = nil
	}
}

// size is about what an answer takes in memory.
func (a *Answer) size() int {
	n := 128 + len(a.Body)
	for _, f := range a.Header {
		n += 32 + len(f.Name) + len(f.Value)
	}
	return n
}

// outcome is how one hop ended.
type outcome struct {
	told
	answer *Answer
	err    error // of the hop itself
	hop    bool  // the hop itself failed, not what is behind it

	// canceled says that it was given up since its client had left: it tells nothing of the backend, nor of the way there.
	canceled bool
}

// givenUp is the outcome of an attempt whose client left. sent: it may have run.
func givenUp(sent bool) outcome {
	k := errcode.ClientDisconnected
	if sent {
		k = errcode.ConnectionLost
	}
	return outcome{told: told{Code: k, Sent: sent}, err: disconnect.ErrPeerClosed, canceled: true}
}

// hops makes hops to other proxies.
type hops struct {
	pool  *links.Pool
	pacer *pacing.Pacer // of what is sent to other proxies
	made  atomic.Uint64
}

const (
	hopDial  = 300 * time.Millisecond
	hopIdle  = 20 * time.Second
	hopQuiet = 500 * time.Millisecond // sent bytes that stay unacknowledged for so long end a hop ...
	longHop  = stallTime              // ... or so long where a body goes on as it comes: a reader that pauses acknowledges, but takes none
)

func newHops(n sock.Net, pacer *pacing.Pacer) *hops {
	h := &hops{pool: links.New(hopIdle, hopDial, 0), pacer: pacer}
	h.pool.Net, h.pool.Quiet = sock.On(n), hopQuiet
	return h
}

// dial gives a connection to another proxy.
func (h *hops) dial(ctx context.Context, addr string, cut time.Time) (*links.Conn, error) {
	if c := h.pool.Take(addr); c != nil {
		return c, nil
	}
	return h.pool.Dial(ctx, addr, addr, cut)
}

// do makes one hop. body is sent whole; stream, where there is one, goes on after it as it comes, in pieces. An answer of
// more than keepBytes goes on as it comes. The end of ctx ends the hop, amid an answer that goes on too: its connection closes, by
// which the other proxy knows.
func (h *hops) do(ctx context.Context, addr string, a *ask, body []byte, stream io.Reader, cut time.Time) outcome {
	c, err := h.dial(ctx, addr, cut)
	if ctx.Err() != nil {
		if err == nil {
			h.pool.Release(c)
		}
		return givenUp(false)
	}
	if err != nil {
		h.pool.CloseIdle(addr)
		return outcome{told: told{Code: errcode.Unreachable}, err: err, hop: true}
	}
	c.SetDeadline(cut)
	c.CloseOn(ctx)
	o := h.exchange(ctx, c, a, body, stream, cut)
	if o.answer == nil && ctx.Err() != nil && o.hop {
		return givenUp(o.Sent)
	}
	return o
}

// exchange carries one ask over a connection, which the end of ctx closes, and gives that back or closes it.
func (h *hops) exchange(ctx context.Context, c *links.Conn, a *ask, body []byte, stream io.Reader, cut time.Time) outcome {
	addr := c.Key()
	b := *a // an ask may be made again
	b.Number = h.made.Add(1)
	buf := getBuf()
	msg := appendMessage((*buf)[:0], &b, body)
	if len(msg)-len(body)-4 > maxHopHead { // nobody reads it
		putBuf(buf)
		h.pool.Release(c)
		return outcome{told: told{Code: errcode.HeaderTooLarge}}
	}
	out := h.pacer.Writer(c)
	n, err := out.Write(msg)
	whole := n == len(msg)
	*buf = msg[:0]
	putBuf(buf)
	if err != nil {
		h.pool.Close(c)
		if !whole { // the other side can't have it whole, and does nothing before it has
			if ctx.Err() == nil {
				h.pool.CloseIdle(addr)
			}
			return outcome{told: told{Code: errcode.Unreachable}, err: err, hop: true}
		}
		return outcome{told: told{Code: errcode.ConnectionLost, Sent: true}, err: err, hop: true}
	}
	if stream != nil {
		sock.SetQuiet(c.Conn, longHop)
		if err = sendPieces(c, out, stream); errors.Is(err, errClient) {
			h.pool.Close(c)
			return outcome{told: told{Code: errcode.ConnectionLost, Sent: true}, err: err}
		}
		c.SetDeadline(cut)
		if err != nil { // it may have said why before it read all
			c.SetDeadline(time.Now().Add(lingerTime))
		}
	}
	spoilt := stream != nil // the other side ends it where it answered before it had read all
	in := getReader(c)
	var t told
	err = readMessage(in, &t)
	if err == nil && t.Number != b.Number && t.Number != 0 { // 0: a proxy of an earlier version
		err = errcode.New(errcode.Malformed, "the answer to ask %d for ask %d", t.Number, b.Number)
	}
	if err != nil {
		putReader(in)
		h.pool.Close(c)
		k := errcode.ConnectionLost
		if isTimeout(err) {
			k = errcode.ResponseTimeout
			if time.Now().Before(cut) { // the link's own time-out, of bytes that nobody acknowledged
				k = errcode.ConnectionLost
			}
		}
		if k == errcode.ConnectionLost && ctx.Err() == nil {
			h.pool.CloseIdle(addr)
		}
		return outcome{told: told{Code: k, Sent: true}, err: err, hop: true}
	}
	o := outcome{told: t}
	if t.Code != errcode.OK {
		h.release(c, in, spoilt)
		return o
	}
	o.answer, err = readBody(in, t, func(whole bool) {
		h.release(c, in, spoilt || !whole)
	})
	if err != nil {
		putReader(in)
		h.pool.Close(c)
		return outcome{told: told{Code: errcode.ConnectionLost, Sent: true, Status: t.Status}, err: err, hop: true}
	}
	if o.answer.Rest != nil && a.Kind != newsFor { // news is read whole within its time
		c.SetDeadline(time.Time{})
		o.answer.Rest = &stalling{c.Conn, o.answer.Rest, cut}
	}
	return o
}

func (h *hops) release(c *links.Conn, in *bufio.Reader, spoilt bool) {
	extra := in.Buffered() > 0
	putReader(in)
	if extra || spoilt {
		h.pool.Close(c)
		return
	}
	h.pool.Release(c)
}

// readBody reads the body behind a head, whole up to keepBytes; end is called when what goes on has ended, or at once.
func readBody(in *bufio.Reader, t told, end func(whole bool)) (*Answer, error) {
	a := &Answer{Status: t.Status, Header: t.Header, Length: t.Length}
	var from io.Reader = &pieceReader{in: in}
	if t.Length >= 0 {
		from = http1.AnswerBody(in, t.Length)
	}
	var whole bool
	var err error
	if a.Body, whole, err = readSome(from, t.Length); err != nil {
		return nil, err
	}
	if whole {
		a.Length = int64(len(a.Body))
		end(true)
		return a, nil
	}
	a.Rest, a.end = from, end
	return a, nil
}

// keepBytes is how much of a body is read before it goes on.
const keepBytes = 64 << 10

// readSome reads a body up to keepBytes, and reports whether that was all.
func readSome(from io.Reader, length int64) (body []byte, whole bool, err error) {
	if length >= 0 && length <= keepBytes {
		body = make([]byte, length)
		_, err = io.ReadFull(from, body)
		return body, true, err
	}
	body = make([]byte, 0, 4<<10)
	for len(body) < keepBytes {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(2*cap(body), keepBytes))
			copy(grown, body)
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
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

// sendPieces sends a body as it comes, by a writer to the connection c.
func sendPieces(c net.Conn, out io.Writer, from io.Reader) error {
	w := &pieceWriter{w: out}
	b := make([]byte, pieceBytes)
	for {
		n, err := from.Read(b)
		c.SetWriteDeadline(time.Now().Add(stallTime))
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
			return fmt.Errorf("%w: %w", errClient, err)
		}
	}
}

// errClient marks a body that its client did not bring to its end.
var errClient = errors.New("the client's body broke off")
