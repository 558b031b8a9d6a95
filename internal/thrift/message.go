// Package thrift reads and writes Apache Thrift messages as they stand on the wire, in the binary protocol (strict
// and old headers) and in the compact one: it scans a message whole before anything is believed of it, reads chosen
// fields, and turns one protocol into the other. It never decodes into maps or structs, allocates nothing per field,
// and takes no more of anything than Limits allow. It owns bytes; sockets and meaning are for others. The formats are
// those of the Thrift project's pages "Thrift Binary protocol encoding" and "Thrift Compact protocol encoding". Start
// reading at Scan.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// Protocol is how a message is written.
type Protocol uint8

const (
	Binary Protocol = iota
	Compact
)

func (p Protocol) String() string {
	if p == Compact {
		return "compact"
	}
	return "binary"
}

// MessageType is what a message is.
type MessageType uint8

const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// Type is the type of a value, numbered as in the binary protocol.
type Type uint8

const (
	Stop   Type = 0
	Bool   Type = 2
	I8     Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11 // or bytes: the wire does not tell
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// Limits bound what a message may ask of its reader.
type Limits struct {
	Frame int // bytes of a frame; 0 is 64 KiB
	Name  int // bytes of a method's name; 0 is 256
	Depth int // of structs and containers in one another; 0 is 64
}

func (l Limits) orDefaults() Limits {
	if l.Frame <= 0 {
		l.Frame = 64 << 10
	}
	if l.Name <= 0 {
		l.Name = 256
	}
	if l.Depth <= 0 || l.Depth > maxDepth {
		l.Depth = maxDepth
	}
	return l
}

// Most is how many bytes a frame may have.
func (l Limits) Most() int { return l.orDefaults().Frame }

// maxDepth is also the depth that Apache's own libraries take; scanning recurses no further.
const maxDepth = 64

// Message is a whole one. Its slices point into the frame that it was read from.
type Message struct {
	Protocol Protocol
	Old      bool // binary, with the header that has no version
	Type     MessageType
	Seq      int32
	Name     []byte // with the service in front where the caller multiplexes: Service:method
	Body     []byte // the one struct of the message, in Protocol, validated to its last byte
}

// Errors of a message. Each that Scan returns wraps one of them.
var (
	ErrCut     = errors.New("ends amid a value")
	ErrHeader  = errors.New("no Thrift message")
	ErrValue   = errors.New("malformed value")
	ErrDepth   = errors.New("nested too deep")
	ErrSize    = errors.New("too large")
	ErrTrailer = errors.New("bytes behind the message")
)

const (
	version1     = 0x80010000
	versionMask  = 0xffff0000
	compactID    = 0x82
	compactV1    = 1
	compactVMask = 0x1f
)

// FrameLength reads the length of a frame off its first four bytes, within the limits. HTTP, TLS and unframed
// Thrift on a framed port show here, as lengths beyond any limit.
func FrameLength(head [4]byte, l Limits) (int, error) {
	n := int32(binary.BigEndian.Uint32(head[:]))
	switch l = l.orDefaults(); {
	case n <= 0:
		return 0, fmt.Errorf("frame of %d bytes: %w", n, ErrHeader)
	case int(n) > l.Frame:
		return 0, fmt.Errorf("frame of %d bytes, %d allowed: %w", n, l.Frame, ErrSize)
	}
	return int(n), nil
}

// Scan reads a frame's content: one message, all of it, and nothing behind it. No value is believed before all are
// checked; no container is taken at its word.
func Scan(frame []byte, l Limits) (Message, error) {
	l = l.orDefaults()
	if len(frame) > l.Frame {
		return Message{}, fmt.Errorf("%d bytes, %d allowed: %w", len(frame), l.Frame, ErrSize)
	}
	m, at, err := header(frame, l)
	if err != nil {
		return Message{}, err
	}
	r := reader{b: frame, at: at, compact: m.Protocol == Compact}
	if err := r.skip(Struct, l.Depth); err != nil {
		return Message{}, err
	}
	if r.at != len(frame) {
		return Message{}, ErrTrailer
	}
	m.Body = frame[at:]
	return m, nil
}

// header reads a message up to its struct.
func header(b []byte, l Limits) (m Message, at int, err error) {
	if len(b) == 0 {
		return m, 0, ErrCut
	}
	r := reader{b: b}
	if b[0] == compactID {
		m.Protocol = Compact
		if len(b) < 2 {
			return m, 0, ErrCut
		}
		if b[1]&compactVMask != compactV1 {
			return m, 0, fmt.Errorf("compact protocol of version %d: %w", b[1]&compactVMask, ErrHeader)
		}
		m.Type = MessageType(b[1] >> 5)
		r.at, r.compact = 2, true
		seq, err := r.varint(32)
		if err != nil {
			return m, 0, err
		}
		m.Seq = int32(seq)
	} else {
		first, err := r.u32()
		if err != nil {
			return m, 0, err
		}
		if first&0x80000000 != 0 {
			if first&versionMask != version1 {
				return m, 0, fmt.Errorf("binary protocol of version %#x: %w", first>>16, ErrHeader)
			}
			m.Type = MessageType(first)
			if first&0xff00 != 0 {
				return m, 0, fmt.Errorf("header %#x: %w", first, ErrHeader)
			}
		} else {
			m.Old = true
			r.at = 0 // it was the length of the name
		}
	}
	if m.Name, err = r.bytes(); err != nil {
		return m, 0, err
	}
	if len(m.Name) == 0 || len(m.Name) > l.Name {
		return m, 0, fmt.Errorf("a name of %d bytes: %w", len(m.Name), ErrHeader)
	}
	if m.Protocol == Binary {
		if m.Old {
			t, err := r.u8()
			if err != nil {
				return m, 0, err
			}
			m.Type = MessageType(t)
		}
		seq, err := r.u32()
		if err != nil {
			return m, 0, err
		}
		m.Seq = int32(seq)
	}
	if m.Type < Call || m.Type > Oneway {
		return m, 0, fmt.Errorf("message type %d: %w", m.Type, ErrHeader)
	}
	return m, r.at, nil
}

// AppendHeader writes the header of a message in its protocol, strict in binary unless m.Old. What follows is the
// struct.
func AppendHeader(dst []byte, m *Message) []byte {
	if m.Protocol == Compact {
		dst = append(dst, compactID, byte(m.Type)<<5|compactV1)
		dst = binary.AppendUvarint(dst, uint64(uint32(m.Seq)))
		dst = binary.AppendUvarint(dst, uint64(len(m.Name)))
		return append(dst, m.Name...)
	}
	if m.Old {
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(m.Name)))
		dst = append(dst, m.Name...)
		dst = append(dst, byte(m.Type))
		return binary.BigEndian.AppendUint32(dst, uint32(m.Seq))
	}
	dst = binary.BigEndian.AppendUint32(dst, version1|uint32(m.Type))
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(m.Name)))
	dst = append(dst, m.Name...)
	return binary.BigEndian.AppendUint32(dst, uint32(m.Seq))
}

// AppendFrame writes a whole message, framed: the length, the header of m, its body unchanged.
func AppendFrame(dst []byte, m *Message) []byte {
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = AppendHeader(dst, m)
	dst = append(dst, m.Body...)
	binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-4))
	return dst
}

// ApplicationException is the type of a TApplicationException, as the Thrift project numbers them.
type ApplicationException int32

const (
	Unknown               ApplicationException = 0
	UnknownMethod         ApplicationException = 1
	InvalidMessageType    ApplicationException = 2
	WrongMethodName       ApplicationException = 3
	BadSequenceID         ApplicationException = 4
	MissingResult         ApplicationException = 5
	InternalError         ApplicationException = 6
	ProtocolError         ApplicationException = 7
	InvalidTransform      ApplicationException = 8
	InvalidProtocol       ApplicationException = 9
	UnsupportedClientType ApplicationException = 10
)

// AppendException writes a framed TApplicationException as the answer to a call.
func AppendException(dst []byte, to *Message, kind ApplicationException, text string) []byte {
	m := *to
	m.Type = Exception
	m.Body = nil
	at := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = AppendHeader(dst, &m)
	w := writer{b: dst, compact: m.Protocol == Compact}
	w.field(String, 1, 0)
	w.size(len(text))
	w.b = append(w.b, text...)
	w.field(I32, 2, 1)
	w.int(I32, int64(kind))
	w.b = append(w.b, byte(Stop))
	binary.BigEndian.PutUint32(w.b[at:], uint32(len(w.b)-at-4))
	return w.b
}

// ReadException reads the type and text of an exception's body. What it lacks is zero.
func ReadException(m *Message) (kind ApplicationException, text []byte) {
	if v, ok := Find(m, 1); ok && v.Type == String {
		text = v.Bytes()
	}
	if v, ok := Find(m, 2); ok && v.Type == I32 {
		n, _ := v.Int()
		kind = ApplicationException(n)
	}
	return kind, text
}

// zigzag and unzigzag map signed numbers to unsigned ones that are small when they are.
func zigzag(n int64) uint64   { return uint64(n<<1) ^ uint64(n>>63) }
func unzigzag(n uint64) int64 { return int64(n>>1) ^ -int64(n&1) }

// Value is one field of a message.
type Value struct {
	Type    Type
	Raw     []byte // as it stands on the wire; of a compact boolean field, one byte that is 1 or 2
	compact bool
}

// Bytes is the content of a string.
func (v Value) Bytes() []byte {
	if v.Type != String {
		return nil
	}
	r := reader{b: v.Raw, compact: v.compact}
	b, err := r.bytes()
	if err != nil {
		return nil
	}
	return b
}

// Int is a whole number or a boolean (0 or 1).
func (v Value) Int() (int64, bool) {
	r := reader{b: v.Raw, compact: v.compact}
	switch v.Type {
	case Bool:
		if len(v.Raw) != 1 {
			return 0, false
		}
		if v.Raw[0] == 1 {
			return 1, true
		}
		return 0, true
	case I8, I16, I32, I64:
		n, err := r.int(v.Type)
		return n, err == nil
	}
	return 0, false
}

// Float is a double.
func (v Value) Float() (float64, bool) {
	if v.Type != Double || len(v.Raw) != 8 {
		return 0, false
	}
	if v.compact {
		return math.Float64frombits(binary.LittleEndian.Uint64(v.Raw)), true
	}
	return math.Float64frombits(binary.BigEndian.Uint64(v.Raw)), true
}
