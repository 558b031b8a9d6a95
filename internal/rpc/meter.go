package rpc

import "sync/atomic"

// Traffic is what this process has sent and read by signal in frames of one kind, calls and answers together, whoever the peer
// was. Bytes are those of frames with their heads, without headers of the network.
type Traffic struct {
	Kind     uint8  `cbor:"1,keyasint"`
	Out      uint64 `cbor:"2,keyasint"`
	OutBytes uint64 `cbor:"3,keyasint"`
	In       uint64 `cbor:"4,keyasint"`
	InBytes  uint64 `cbor:"5,keyasint"`
}

// kinds is above all kinds of calls; what lies beyond is counted as the last.
const kinds = 32

var meter [kinds]struct{ out, outBytes, in, inBytes atomic.Uint64 }

func sent(kind uint8, bytes int) {
	m := &meter[min(kind, kinds-1)]
	m.out.Add(1)
	m.outBytes.Add(uint64(bytes))
}

func taken(kind uint8, bytes int) {
	m := &meter[min(kind, kinds-1)]
	m.in.Add(1)
	m.inBytes.Add(uint64(bytes))
}

// Totals are those of this process since its start, of kinds that there were, in the order of kinds.
func Totals() (all []Traffic) {
	for k := range meter {
		m := &meter[k]
		t := Traffic{uint8(k), m.out.Load(), m.outBytes.Load(), m.in.Load(), m.inBytes.Load()}
		if t.Out+t.In > 0 {
			all = append(all, t)
		}
	}
	return all
}
