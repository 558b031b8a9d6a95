// Package requestlog says what is known of requests that must not run twice: what a journal of them holds, what may be
// claimed from it after a crash, and what to do when it can't be written. It does no I/O: records come as bytes, times as
// arguments. Package log keeps the bytes. Start reading at Book and Gate.
package requestlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"
)

// Kind is what a record says. The numbers stand on disk.
type Kind uint8

// Kinds of records.
const (
	KindStart   Kind = 1 // a daemon took the journal up
	KindFollows Kind = 2 // a segment goes on where another ended
	KindIntent  Kind = 3 // an attempt is about to go out
	KindOutcome Kind = 4 // how an attempt ended
	KindGap     Kind = 5 // requests went out unrecorded
	KindStop    Kind = 6 // a daemon ended the journal in order: nothing was open but what is recorded as open
)

// Version is that of the records that this program writes. A reader passes over records of a newer one and says so.
const Version = 1

// MaxText bounds each text of a record, in bytes; see Clip.
const MaxText = 255

// Result is how an attempt ended. The numbers stand on disk.
type Result uint8

// Results of attempts.
const (
	Served        Result = 1 // the server's answer came whole
	TurnedAway    Result = 2 // the server answered that it has not run it
	Errored       Result = 3 // the server answered with an error, or with what can't be read: it may have run
	NoAnswer      Result = 4 // the connection ended first: it may have run
	TimedOut      Result = 5 // nothing came in time: it may have run
	GivenUp       Result = 6 // cancelled: it may have run
	ConnectFailed Result = 7 // its last byte never left
	NotSent       Result = 8 // not a byte left
	OneWay        Result = 9 // it left whole, and a call of its kind is never answered: it may have run
)

var resultNames = [...]string{Served: "served", TurnedAway: "turned away", Errored: "error", NoAnswer: "no answer, connection ended",
	TimedOut: "no answer in time", GivenUp: "given up", ConnectFailed: "could not connect", NotSent: "not sent", OneWay: "sent, a oneway call is never answered"}

func (r Result) String() string {
	if int(r) < len(resultNames) && resultNames[r] != "" {
		return resultNames[r]
	}
	return fmt.Sprintf("result %d", uint8(r))
}

// MarshalText implements encoding.TextMarshaler.
func (r Result) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Intent is written before the first byte of an attempt leaves.
type Intent struct {
	Request string // the caller's id
	Attempt int    // counted from 0
	Class   string
	Account string // as the operator's file maps it; empty: it does not
	Key     string // the caller's idempotency key; empty: none
	Server  string // id, as the list has it
	Addr    string
	At      time.Time         // wall clock
	Digest  [sha256.Size]byte // of the body; the body itself is never kept
}

// Outcome is written when an attempt has ended.
type Outcome struct {
	Intent uint64 // sequence number of the intent
	Result Result
	Status int // of the answer, in its protocol; 0: none
	At     time.Time
}

// Start is the first record of a daemon's run.
type Start struct {
	At         time.Time
	Prev       uint64 // number of the segment before; 0: none
	Found      uint32 // records that stood in it
	Unrecorded bool   // the daemon serves on when it can't write: after a crash the end of its run is in doubt
}

// Follows is the first record of a further segment of a run.
type Follows struct {
	At       time.Time
	Prev     uint64
	Stable   uint32 // so many records of it were on disk for certain
	Poisoned bool   // a write or sync of it failed: what stands behind Stable was never acted on
	Why      string
}

// Gap tells of requests that went out unrecorded.
type Gap struct {
	From, To time.Time
	Count    uint64
	Why      string
}

// Stop is the last record of a run that ended in order.
type Stop struct{ At time.Time }

// Clip shortens a text beyond MaxText, so that two different ones stay different: its head and a digest of the whole.
func Clip(s string) string {
	if len(s) <= MaxText {
		return s
	}
	d := sha256.Sum256([]byte(s))
	return s[:MaxText-1-32] + "#" + hex.EncodeToString(d[:16])
}

// ErrNewer is the error of a record that a newer program wrote.
var ErrNewer = errors.New("a record of a newer version")

// errShort is the error of a payload that ends too soon or has more than it should.
var errShort = errors.New("a record of the wrong length")

// OutcomeLen is the length of an encoded Outcome, in bytes: fixed, so that room for it can be set aside.
const OutcomeLen = 2 + 8 + 1 + 2 + 8

type writer struct{ b []byte }

func (w *writer) head(k Kind)  { w.b = append(w.b, uint8(k), Version) }
func (w *writer) u8(v uint8)   { w.b = append(w.b, v) }
func (w *writer) u16(v uint16) { w.b = binary.LittleEndian.AppendUint16(w.b, v) }
func (w *writer) u32(v uint32) { w.b = binary.LittleEndian.AppendUint32(w.b, v) }
func (w *writer) u64(v uint64) { w.b = binary.LittleEndian.AppendUint64(w.b, v) }
func (w *writer) time(t time.Time) {
	if t.IsZero() {
		w.u64(0)
		return
	}
	w.u64(uint64(t.UnixNano()))
}
func (w *writer) text(s string) {
	s = Clip(s)
	w.u8(uint8(len(s)))
	w.b = append(w.b, s...)
}
func (w *writer) flag(v bool) {
	if v {
		w.u8(1)
	} else {
		w.u8(0)
	}
}

// Append encodes a record behind b: an *Intent, *Outcome, *Start, *Follows, *Gap or *Stop.
func Append(b []byte, record any) []byte {
	w := writer{b}
	switch r := record.(type) {
	case *Intent:
		w.head(KindIntent)
		w.time(r.At)
		w.u16(uint16(min(max(r.Attempt, 0), 1<<16-1)))
		w.b = append(w.b, r.Digest[:]...)
		for _, s := range []string{r.Request, r.Class, r.Account, r.Key, r.Server, r.Addr} {
			w.text(s)
		}
	case *Outcome:
		w.head(KindOutcome)
		w.u64(r.Intent)
		w.u8(uint8(r.Result))
		w.u16(uint16(min(max(r.Status, 0), 1<<16-1)))
		w.time(r.At)
	case *Start:
		w.head(KindStart)
		w.time(r.At)
		w.u64(r.Prev)
		w.u32(r.Found)
		w.flag(r.Unrecorded)
	case *Follows:
		w.head(KindFollows)
		w.time(r.At)
		w.u64(r.Prev)
		w.u32(r.Stable)
		w.flag(r.Poisoned)
		w.text(r.Why)
	case *Gap:
		w.head(KindGap)
		w.time(r.From)
		w.time(r.To)
		w.u64(r.Count)
		w.text(r.Why)
	case *Stop:
		w.head(KindStop)
		w.time(r.At)
	default:
		panic(fmt.Sprintf("settles: no record: %T", record))
	}
	return w.b
}

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.bad, r.b = true, nil
		return make([]byte, n) // n is 255 at the most
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}
func (r *reader) u8() uint8   { return r.take(1)[0] }
func (r *reader) u16() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) text() string {
	return string(r.take(int(r.u8())))
}
func (r *reader) time() time.Time {
	if v := r.u64(); v != 0 {
		return time.Unix(0, int64(v))
	}
	return time.Time{}
}

// Decode reads a record that Append wrote. Errors: ErrNewer, or that its length is wrong.
func Decode(b []byte) (any, error) {
	r := reader{b: b}
	kind, version := Kind(r.u8()), r.u8()
	if r.bad {
		return nil, errShort
	}
	if version > Version {
		return nil, ErrNewer
	}
	var out any
	switch kind {
	case KindIntent:
		v := &Intent{At: r.time(), Attempt: int(r.u16())}
		copy(v.Digest[:], r.take(sha256.Size))
		texts := string(r.b) // one for all
		for _, s := range []*string{&v.Request, &v.Class, &v.Account, &v.Key, &v.Server, &v.Addr} {
			n := int(r.u8())
			from := len(texts) - len(r.b)
			if r.take(n); !r.bad {
				*s = texts[from : from+n]
			}
		}
		out = v
	case KindOutcome:
		out = &Outcome{Intent: r.u64(), Result: Result(r.u8()), Status: int(r.u16()), At: r.time()}
	case KindStart:
		out = &Start{At: r.time(), Prev: r.u64(), Found: r.u32(), Unrecorded: r.u8() != 0}
	case KindFollows:
		out = &Follows{At: r.time(), Prev: r.u64(), Stable: r.u32(), Poisoned: r.u8() != 0, Why: r.text()}
	case KindGap:
		out = &Gap{From: r.time(), To: r.time(), Count: r.u64(), Why: r.text()}
	case KindStop:
		out = &Stop{At: r.time()}
	default:
		return nil, ErrNewer // a kind that this program does not know is a newer one's
	}
	if r.bad || len(r.b) > 0 {
		return nil, errShort
	}
	return out, nil
}

// At is the time that a record bears; zero for none.
func At(record any) time.Time {
	switch r := record.(type) {
	case *Intent:
		return r.At
	case *Outcome:
		return r.At
	case *Start:
		return r.At
	case *Follows:
		return r.At
	case *Gap:
		return r.To
	case *Stop:
		return r.At
	}
	return time.Time{}
}
