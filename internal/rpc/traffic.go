package rpc

import "sync/atomic"

// Traffic counts the frames of one kind that this process has sent and received, calls and answers together, over all peers. Bytes
// include the frame headers but not those of TCP/IP.
type Traffic struct {
	Kind     uint8  `cbor:"1,keyasint"`
	Out      uint64 `cbor:"2,keyasint"`
	OutBytes uint64 `cbor:"3,keyasint"`
	In       uint64 `cbor:"4,keyasint"`
	InBytes  uint64 `cbor:"5,keyasint"`
}

// maxKinds is the number of counters. Higher kinds are counted as the last one.
const maxKinds = 32

var counters [maxKinds]struct{ out, outBytes, in, inBytes atomic.Uint64 }

func countSent(kind uint8, bytes int) {
	c := &counters[min(kind, maxKinds-1)]
	c.out.Add(1)
	c.outBytes.Add(uint64(bytes))
}

func countReceived(kind uint8, bytes int) {
	c := &counters[min(kind, maxKinds-1)]
	c.in.Add(1)
	c.inBytes.Add(uint64(bytes))
}

// Totals returns the traffic of this process since its start, ordered by kind, without kinds that had none.
func Totals() (all []Traffic) {
	for k := range counters {
		c := &counters[k]
		t := Traffic{uint8(k), c.out.Load(), c.outBytes.Load(), c.in.Load(), c.inBytes.Load()}
		if t.Out+t.In > 0 {
			all = append(all, t)
		}
	}
	return all
}
