package thrift

import (
	"encoding/binary"
	"fmt"
)

// reader walks over bytes. It allocates nothing.
type reader struct {
	b       []byte
	at      int
	compact bool
}

func (r *reader) left() int { return len(r.b) - r.at }

func (r *reader) u8() (byte, error) {
	if r.left() < 1 {
		return 0, ErrCut
	}
	r.at++
	return r.b[r.at-1], nil
}

func (r *reader) u32() (uint32, error) {
	if r.left() < 4 {
		return 0, ErrCut
	}
	r.at += 4
	return binary.BigEndian.Uint32(r.b[r.at-4:]), nil
}

func (r *reader) pass(n int) error {
	if n < 0 || r.left() < n {
		return ErrCut
	}
	r.at += n
	return nil
}

// varint reads an unsigned one of so many bits. What does not fit, or has no end, is malformed.
func (r *reader) varint(bits int) (uint64, error) {
	var v uint64
	for shift := 0; ; shift += 7 {
		b, err := r.u8()
		if err != nil {
			return 0, err
		}
		if shift+7 > bits && b>>(max(0, bits-shift)) != 0 {
			return 0, fmt.Errorf("varint of over %d bits: %w", bits, ErrValue)
		}
		v |= uint64(b&0x7f) << shift
		if b < 0x80 {
			return v, nil
		}
	}
}

// length reads the length of a string or the size of a container.
func (r *reader) length() (int, error) {
	var n uint64
	var err error
	if r.compact {
		n, err = r.varint(32)
	} else {
		var u uint32
		u, err = r.u32()
		n = uint64(u)
	}
	if err != nil {
		return 0, err
	}
	if n > 1<<31-1 {
		return 0, fmt.Errorf("a length of %d: %w", int32(n), ErrValue)
	}
	return int(n), nil
}

// bytes reads a string.
func (r *reader) bytes() ([]byte, error) {
	n, err := r.length()
	if err != nil {
		return nil, err
	}
	if err := r.pass(n); err != nil {
		return nil, err
	}
	return r.b[r.at-n : r.at : r.at], nil
}

// int reads a whole number.
func (r *reader) int(t Type) (int64, error) {
	if t == I8 {
		b, err := r.u8()
		return int64(int8(b)), err
	}
	if r.compact {
		bits := 64
		switch t {
		case I16:
			bits = 16
		case I32:
			bits = 32
		}
		n, err := r.varint(bits)
		return unzigzag(n), err
	}
	switch t {
	case I16:
		if err := r.pass(2); err != nil {
			return 0, err
		}
		return int64(int16(binary.BigEndian.Uint16(r.b[r.at-2:]))), nil
	case I32:
		n, err := r.u32()
		return int64(int32(n)), err
	}
	if err := r.pass(8); err != nil {
		return 0, err
	}
	return int64(binary.BigEndian.Uint64(r.b[r.at-8:])), nil
}

// compactTypes are the types by their numbers in the compact protocol; those of booleans carry their value in a field.
var compactTypes = [16]Type{0: Stop, 1: Bool, 2: Bool, 3: I8, 4: I16, 5: I32, 6: I64, 7: Double, 8: String, 9: List, 10: Set, 11: Map,
	12: Struct, 13: UUID}

// toCompact is the other way round; a boolean is 1 for now.
var toCompact = [17]byte{Bool: 1, I8: 3, I16: 4, I32: 5, I64: 6, Double: 7, String: 8, List: 9, Set: 10, Map: 11, Struct: 12, UUID: 13}

func typeOf(t byte, compact bool) (Type, error) {
	if compact {
		if t == 0 || t > 13 {
			return 0, fmt.Errorf("compact type %d: %w", t, ErrValue)
		}
		return compactTypes[t], nil
	}
	switch Type(t) {
	case Bool, I8, Double, I16, I32, I64, String, Struct, Map, Set, List, UUID:
		return Type(t), nil
	}
	return 0, fmt.Errorf("type %d: %w", t, ErrValue)
}

// field is the head of a field.
type field struct {
	t   Type
	id  int16
	val byte // of a compact boolean: its value, 1 or 2
}

// field reads the head of the next field; its type is Stop at the end of the struct. last is the id before it.
func (r *reader) field(last int16) (f field, err error) {
	b, err := r.u8()
	if err != nil || b == 0 {
		return field{}, err
	}
	if !r.compact {
		if f.t, err = typeOf(b, false); err != nil {
			return f, err
		}
		if err := r.pass(2); err != nil {
			return f, err
		}
		f.id = int16(binary.BigEndian.Uint16(r.b[r.at-2:]))
		return f, nil
	}
	if f.t, err = typeOf(b&0x0f, true); err != nil {
		return f, err
	}
	if f.t == Bool {
		f.val = b & 0x0f
	}
	if delta := b >> 4; delta != 0 {
		id := int(last) + int(delta)
		if id > 1<<15-1 {
			return f, fmt.Errorf("field id %d: %w", id, ErrValue)
		}
		f.id = int16(id)
		return f, nil
	}
	id, err := r.int(I16)
	f.id = int16(id)
	return f, err
}

// container is the head of a list, a set or a map.
type container struct {
	key, elem Type
	n         int
}

// container reads one and holds its size against the bytes that are left: no element takes less than one.
func (r *reader) container(t Type) (c container, err error) {
	each := 1
	switch {
	case t == Map && r.compact:
		if c.n, err = r.length(); err != nil || c.n == 0 {
			return c, err
		}
		b, err := r.u8()
		if err != nil {
			return c, err
		}
		if c.key, err = typeOf(b>>4, true); err != nil {
			return c, err
		}
		if c.elem, err = typeOf(b&0x0f, true); err != nil {
			return c, err
		}
		each = 2
	case t == Map:
		if err := r.pass(2); err != nil {
			return c, err
		}
		k, e := r.b[r.at-2], r.b[r.at-1]
		if c.n, err = r.length(); err != nil {
			return c, err
		}
		if c.n == 0 && (k == 0 || e == 0) {
			return container{}, nil // as some write an empty one
		}
		if c.key, err = typeOf(k, false); err != nil {
			return c, err
		}
		if c.elem, err = typeOf(e, false); err != nil {
			return c, err
		}
		each = 2
	case r.compact:
		b, err := r.u8()
		if err != nil {
			return c, err
		}
		if c.n = int(b >> 4); c.n == 15 {
			if c.n, err = r.length(); err != nil {
				return c, err
			}
		}
		if c.n == 0 && b&0x0f == 0 {
			return container{}, nil
		}
		if c.elem, err = typeOf(b&0x0f, true); err != nil {
			return c, err
		}
	default:
		e, err := r.u8()
		if err != nil {
			return c, err
		}
		if c.n, err = r.length(); err != nil {
			return c, err
		}
		if c.n == 0 && e == 0 {
			return container{}, nil
		}
		if c.elem, err = typeOf(e, false); err != nil {
			return c, err
		}
	}
	if c.n > r.left()/each {
		return c, fmt.Errorf("a container of %d elements in %d bytes: %w", c.n, r.left(), ErrSize)
	}
	return c, nil
}

// skip passes over one value and checks it. A compact boolean of a field has no bytes of its own: its caller knows.
func (r *reader) skip(t Type, depth int) error {
	switch t {
	case Bool:
		b, err := r.u8()
		if err == nil && (b > 2 || b == 2 && !r.compact) {
			return fmt.Errorf("boolean %d: %w", b, ErrValue)
		}
		return err
	case I8:
		return r.pass(1)
	case Double:
		return r.pass(8)
	case UUID:
		return r.pass(16)
	case I16, I32, I64:
		_, err := r.int(t)
		return err
	case String:
		_, err := r.bytes()
		return err
	}
	if depth <= 0 {
		return ErrDepth
	}
	if t == Struct {
		for last := int16(0); ; {
			f, err := r.field(last)
			if err != nil || f.t == Stop {
				return err
			}
			last = f.id
			if f.val != 0 {
				continue
			}
			if err := r.skip(f.t, depth-1); err != nil {
				return err
			}
		}
	}
	c, err := r.container(t)
	if err != nil {
		return err
	}
	for range c.n {
		if t == Map {
			if err := r.skip(c.key, depth-1); err != nil {
				return err
			}
		}
		if err := r.skip(c.elem, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the field at a path of ids, through structs alone: 1, 3 is field 3 of the struct in field 1. Of a field
// that comes twice it is the first. The message must have come from Scan.
func Find(m *Message, path ...int16) (Value, bool) {
	r := reader{b: m.Body, compact: m.Protocol == Compact}
	if len(path) == 0 || len(path) > maxDepth {
		return Value{}, false
	}
	for i, last := 0, int16(0); ; {
		f, err := r.field(last)
		if err != nil || f.t == Stop {
			return Value{}, false
		}
		last = f.id
		if f.id == path[i] {
			if i == len(path)-1 {
				if f.val != 0 {
					return Value{Bool, compactBool[f.val : f.val+1 : f.val+1], true}, true
				}
				from := r.at
				if r.skip(f.t, maxDepth) != nil {
					return Value{}, false
				}
				return Value{f.t, r.b[from:r.at:r.at], r.compact}, true
			}
			if f.t != Struct {
				return Value{}, false
			}
			i, last = i+1, 0
			continue
		}
		if f.val == 0 && r.skip(f.t, maxDepth) != nil {
			return Value{}, false
		}
	}
}

// compactBool holds the values of boolean fields, which stand in no byte of their own.
var compactBool = []byte{0, 1, 2}
