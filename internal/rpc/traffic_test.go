package rpc

import (
	"testing"
	"time"
)

// Frames are counted by kind on both sides of a connection.
func TestFramesAreCounted(t *testing.T) {
	l, err := Listen(nil, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const kind = 29 // nothing else in this process sends it
	counted := func() (t Traffic) {
		for _, k := range Totals() {
			if k.Kind == kind {
				t = k
			}
		}
		return t
	}
	before := counted() // from earlier runs of this test in the same process
	s := Serve(l, func(c Call) { c.Reply("answer", nil) })
	defer s.Close()
	c := NewClient(nil, l.Addr().String())
	defer c.Close()
	var text string
	if err := c.Call(kind, "call", &text, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	// 10 bytes of frame header, and a CBOR text with a header of one byte
	if want := (Traffic{Kind: kind, Out: before.Out + 2, OutBytes: before.OutBytes + 32, In: before.In + 2, InBytes: before.InBytes + 32}); counted() != want {
		t.Errorf("counted %+v, not %+v", counted(), want)
	}
}
