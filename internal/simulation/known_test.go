package simulation

import (
	"testing"

	"saltmast/internal/simulation/checker"
)

// A known breach is passed over for its kind and rule alone, and not beside another one.
func TestKnownIsPassedOver(t *testing.T) {
	h := Hunter{Known: map[string]bool{"five-amid:SERVED": true}}
	for _, c := range []struct {
		kind  string
		rules []string
		want  bool
	}{
		{"five-amid", []string{"SERVED"}, true},
		{"five-amid", []string{"SERVED", "TWICE"}, false},
		{"five-amid", []string{"ACK"}, false},
		{"five", []string{"SERVED"}, false},
		{"five-amid", nil, false},
	} {
		o := Outcome{}
		o.Name = c.kind
		for _, r := range c.rules {
			o.Broken = append(o.Broken, checker.Broken{Rule: r})
		}
		if got := h.PassedOver(o); got != c.want {
			t.Errorf("%s %v: passed over %v", c.kind, c.rules, got)
		}
	}
}
