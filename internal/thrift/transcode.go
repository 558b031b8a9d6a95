package thrift

import (
	"encoding/binary"
	"fmt"
)

// writer appends values in one of the protocols.
type writer struct {
	b       []byte
	compact bool
}

func (w *writer) size(n int) {
	if w.compact {
		w.b = binary.AppendUvarint(w.b, uint64(n))
	} else {
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(n))
	}
}

func (w *writer) int(t Type, n int64) {
	switch {
	case t == I8:
		w.b = append(w.b, byte(n))
	case w.compact:
		w.b = binary.AppendUvarint(w.b, zigzag(n))
	case t == I16:
		w.b = binary.BigEndian.AppendUint16(w.b, uint16(n))
	case t == I32:
		w.b = binary.BigEndian.AppendUint32(w.b, uint32(n))
	default:
		w.b = binary.BigEndian.AppendUint64(w.b, uint64(n))
	}
}

// field writes the head of a field that is no boolean; last is the id before it.
func (w *writer) field(t Type, id, last int16) {
	if !w.compact {
		w.b = append(w.b, byte(t))
		w.b = binary.BigEndian.AppendUint16(w.b, uint16(id))
		return
	}
	w.compactField(toCompact[t], id, last)
}

func (w *writer) compactField(t byte, id, last int16) {
	if delta := int(id) - int(last); delta > 0 && delta <= 15 {
		w.b = append(w.b, byte(delta)<<4|t)
		return
	}
	w.b = append(w.b, t)
	w.b = binary.AppendUvarint(w.b, zigzag(int64(id)))
}

// Transcode appends the body of a message in another protocol. Nothing is lost but what only one of the two can say:
// the types of an empty map, which compact does not write, and how booleans and numbers were spelt. The message must
// have come from Scan. The result may be up to eight times as long (a compact i64 of one byte), and up to three times
// shorter; limit bounds it.
func Transcode(dst []byte, m *Message, to Protocol, limit int) ([]byte, error) {
	if m.Protocol == to {
		if len(m.Body) > limit {
			return dst, ErrSize
		}
		return append(dst, m.Body...), nil
	}
	if room := min(limit, 2*len(m.Body)+64); cap(dst)-len(dst) < room { // the one allocation, as a rule
		dst = append(make([]byte, 0, len(dst)+room), dst...)
	}
	t := transcoder{r: reader{b: m.Body, compact: m.Protocol == Compact}, w: writer{b: dst, compact: to == Compact}, most: len(dst) + limit}
	if err := t.value(Struct, maxDepth); err != nil {
		return dst, err
	}
	if t.r.left() > 0 {
		return dst, ErrTrailer
	}
	return t.w.b, nil
}

type transcoder struct {
	r    reader
	w    writer
	most int
}

func (t *transcoder) value(k Type, depth int) error {
	if len(t.w.b) > t.most {
		return fmt.Errorf("over %d bytes in the other protocol: %w", t.most, ErrSize)
	}
	switch k {
	case Bool:
		b, err := t.r.u8()
		if err != nil {
			return err
		}
		t.w.b = append(t.w.b, boolByte(b == 1, t.w.compact))
		return nil
	case I8, I16, I32, I64:
		n, err := t.r.int(k)
		if err != nil {
			return err
		}
		t.w.int(k, n)
		return nil
	case Double:
		if err := t.r.pass(8); err != nil {
			return err
		}
		for i := 1; i <= 8; i++ { // the one is little endian, the other big
			t.w.b = append(t.w.b, t.r.b[t.r.at-i])
		}
		return nil
	case UUID:
		if err := t.r.pass(16); err != nil {
			return err
		}
		t.w.b = append(t.w.b, t.r.b[t.r.at-16:t.r.at]...)
		return nil
	case String:
		s, err := t.r.bytes()
		if err != nil {
			return err
		}
		if len(t.w.b)+len(s) > t.most {
			return ErrSize
		}
		t.w.size(len(s))
		t.w.b = append(t.w.b, s...)
		return nil
	}
	if depth <= 0 {
		return ErrDepth
	}
	if k == Struct {
		return t.fields(depth)
	}
	c, err := t.r.container(k)
	if err != nil {
		return err
	}
	t.container(k, c)
	for range c.n {
		if k == Map {
			if err := t.value(c.key, depth-1); err != nil {
				return err
			}
		}
		if err := t.value(c.elem, depth-1); err != nil {
			return err
		}
	}
	return nil
}

func (t *transcoder) fields(depth int) error {
	for last := int16(0); ; {
		f, err := t.r.field(last)
		if err != nil {
			return err
		}
		if f.t == Stop {
			t.w.b = append(t.w.b, byte(Stop))
			return nil
		}
		switch {
		case f.t == Bool && t.w.compact:
			b, err := t.r.u8()
			if err != nil {
				return err
			}
			t.w.compactField(boolByte(b == 1, true), f.id, last)
		case f.t == Bool:
			t.w.field(Bool, f.id, last)
			t.w.b = append(t.w.b, boolByte(f.val == 1, false))
		default:
			t.w.field(f.t, f.id, last)
			if err := t.value(f.t, depth-1); err != nil {
				return err
			}
		}
		last = f.id
	}
}

func (t *transcoder) container(k Type, c container) {
	w := &t.w
	switch {
	case k == Map && w.compact:
		w.size(c.n)
		if c.n > 0 {
			w.b = append(w.b, toCompact[c.key]<<4|toCompact[c.elem])
		}
	case k == Map:
		w.b = append(w.b, byte(c.key), byte(c.elem))
		w.size(c.n)
	case w.compact:
		if c.n < 15 {
			w.b = append(w.b, byte(c.n)<<4|toCompact[c.elem])
		} else {
			w.b = append(w.b, 0xf0|toCompact[c.elem])
			w.size(c.n)
		}
	default:
		w.b = append(w.b, byte(c.elem))
		w.size(c.n)
	}
}

// boolByte is a boolean as it stands in a byte: 1 or 0 in binary, 1 or 2 in compact.
func boolByte(v, compact bool) byte {
	switch {
	case v:
		return 1
	case compact:
		return 2
	}
	return 0
}
