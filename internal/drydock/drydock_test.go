package drydock

import (
	"testing"
	"time"
)

func TestQuiet(t *testing.T) {
	d := Day{Name: "quiet", Length: 8 * time.Second, Floor: 0.97}
	begun := time.Now()
	l, broken, notes := Play(t, d, 1, Flaw{})
	t.Log(time.Since(begun))
	for _, n := range notes {
		t.Log(n)
	}
	if l != nil {
		t.Log(len(l.Tries), len(l.Runs))
	}
	for _, b := range broken {
		t.Error(b)
	}
}
