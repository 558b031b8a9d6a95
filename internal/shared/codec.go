package shared

import (
	"encoding/binary"
	"maps"
	"slices"
)

// Version is that of the messages: the first byte of each. Another one is refused whole.
const Version = 1

// What a message holds: its second byte.
const (
	isDelta = 'd'
	isWord  = 'w'

	isRecord, isEvidence = 'r', 'e' // before each part of a delta
)

// AppendDelta writes a delta: the turn, then evidence, then records, up to so many bytes in all; it returns how many of
// both found place. Numbers are varints, texts have their length before them.
func AppendDelta(b []byte, d Delta, limit int) ([]byte, int) {
	b = append(b, Version, isDelta)
	b = binary.AppendUvarint(b, d.Turn)
	n := 0
	for _, e := range d.Evidence {
		at := len(b)
		b = appendAgent(append(b, isEvidence), e.Agent)
		b = binary.AppendVarint(appendText(b, e.Backend), e.Started)
		for _, c := range []uint64{e.Turn, e.Seen.Good, e.Seen.Slow, e.Seen.Bad} {
			b = binary.AppendUvarint(b, c)
		}
		if len(b) > limit {
			return b[:at], n
		}
		n++
	}
	for _, r := range d.Records {
		at := len(b)
		b = append(b, isRecord)
		b = appendAgent(b, r.Agent)
		b = binary.AppendUvarint(b, r.Window)
		b = binary.AppendUvarint(b, uint64(len(r.Counts)))
		for _, label := range slices.Sorted(maps.Keys(r.Counts)) {
			b = appendText(b, label)
			for _, c := range r.Counts[label] {
				b = binary.AppendUvarint(b, c)
			}
		}
		if len(b) > limit {
			return b[:at], n
		}
		n++
	}
	return b, n
}

// AppendMessage writes a message between holders.
func AppendMessage(b []byte, m Message) []byte {
	b = append(b, Version, isWord, byte(m.Word))
	b = appendText(b, m.Budget)
	b = appendAgent(appendAgent(b, m.From), m.To)
	b = binary.AppendUvarint(b, m.Seq)
	return binary.AppendUvarint(b, uint64(m.Amount))
}

// Decode reads what AppendDelta or AppendMessage wrote: a Delta or a Message, or ErrBad for anything else.
func Decode(raw []byte) (any, error) {
	r := &reader{raw: raw}
	if r.byte() != Version {
		return nil, ErrBad
	}
	var out any
	switch r.byte() {
	case isDelta:
		d := Delta{Turn: r.number()}
		for len(r.raw) > 0 && !r.bad {
			kind := r.byte()
			if kind == isEvidence {
				e := Evidence{Agent: r.agent(), Backend: r.text(LabelBytes), Started: r.signed(), Turn: r.number()}
				e.Seen = Seen{r.number(), r.number(), r.number()}
				d.Evidence = append(d.Evidence, e)
				continue
			}
			r.bad = r.bad || kind != isRecord
			rec := Record{Agent: r.agent(), Window: r.number(), Counts: map[string]Tally{}}
			for n := r.number(); n > 0 && !r.bad; n-- {
				label := r.text(LabelBytes)
				var t Tally
				for k := range t {
					t[k] = r.number()
				}
				if _, twice := rec.Counts[label]; twice || len(rec.Counts) >= maxLabels {
					r.bad = true
				}
				rec.Counts[label] = t
			}
			d.Records = append(d.Records, rec)
		}
		r.bad = r.bad || d.check() != nil
		out = d
	case isWord:
		m := Message{Word: Word(r.byte()), Budget: r.text(LabelBytes), From: r.agent(), To: r.agent(), Seq: r.number()}
		amount := r.number()
		r.bad = r.bad || amount > maxCount || len(r.raw) > 0 || m.Word < Ask || m.Word > Return
		m.Amount = int64(amount)
		out = m
	default:
		r.bad = true
	}
	if r.bad {
		return nil, ErrBad
	}
	return out, nil
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendAgent(b []byte, a Agent) []byte {
	return binary.LittleEndian.AppendUint64(appendText(b, a.Name), a.Incarnation)
}

// reader takes a message apart; once something is wrong all that follows is zero.
type reader struct {
	raw []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.raw) {
		r.bad, r.raw = true, nil
		return nil
	}
	out := r.raw[:n]
	r.raw = r.raw[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.raw)
	r.skip(size)
	return n
}

func (r *reader) signed() int64 {
	n, size := binary.Varint(r.raw)
	r.skip(size)
	return n
}

// skip leaves behind a varint of so many bytes; none or fewer: it was no varint.
func (r *reader) skip(size int) {
	if r.bad = r.bad || size <= 0; r.bad {
		r.raw = nil
		return
	}
	r.raw = r.raw[size:]
}

func (r *reader) text(most int) string {
	n := r.number()
	if n > uint64(most) {
		r.bad, r.raw = true, nil
		return ""
	}
	return string(r.take(int(n)))
}

func (r *reader) agent() Agent {
	a := Agent{Name: r.text(NameBytes)}
	if b := r.take(8); b != nil {
		a.Incarnation = binary.LittleEndian.Uint64(b)
	}
	r.bad = r.bad || a.Name == ""
	return a
}
