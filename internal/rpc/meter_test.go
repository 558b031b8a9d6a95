package rpc

import (
	"testing"
	"time"
)

// Frames are counted by kind on both sides of a link.
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
	before := counted() // of this test's run before
	s := Serve(l, func(c Call) { c.Reply("answer", nil) })
	defer s.Close()
	c := NewClient(nil, l.Addr().String())
	defer c.Close()
	var text string
	if err := c.Call(kind, "call", &text, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	// 10 bytes of head, and a text with one byte of its own head
	if want := (Traffic{Kind: kind, Out: before.Out + 2, OutBytes: before.OutBytes + 32, In: before.In + 2, InBytes: before.InBytes + 32}); counted() != want {
		t.Errorf("counted %+v, not %+v", counted(), want)
	}
}
