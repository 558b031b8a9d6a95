package faultschedule

import (
	"fmt"
	"strconv"
	"strings"
)

// Text writes a day as the bench reads it: one [[day]] with its plan and its faults.
func (d *Day) Text(s *Site) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = %q\nslot = \"trouble\"\nseed = %d\n", d.Name, d.Seed)
	if d.Length != s.Length {
		fmt.Fprintf(&b, "length_s = %s\n", figure(d.Length))
	}
	if c := d.Closing; c != nil {
		fmt.Fprintf(&b, "closing = { kind = %q, down_s = %s", c.Kind, figure(c.Down))
		if c.How != "" {
			fmt.Fprintf(&b, ", how = %q", c.How)
		}
		b.WriteString(" }\n")
	}
	for _, list := range []string{"plan", "faults"} {
		fmt.Fprintf(&b, "%s = [\n", list)
		for _, e := range d.Entries {
			if e.planned == (list == "plan") {
				fmt.Fprintf(&b, "  %s,\n", e.text())
			}
		}
		b.WriteString("]\n")
	}
	return b.String()
}

func (e *Entry) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "{ at = %s, kind = %q", figure(e.At), e.Kind)
	for _, f := range []struct {
		key string
		is  float64
	}{{"share", e.Share}, {"count", float64(e.Count)}, {"x", e.X}, {"for_s", e.For}, {"gap_s", e.Gap}} {
		switch {
		case f.is == 0:
		case f.key == "count":
			fmt.Fprintf(&b, ", count = %d", e.Count)
		default:
			fmt.Fprintf(&b, ", %s = %s", f.key, figure(f.is))
		}
	}
	for _, t := range [][2]string{{"on", e.On}, {"zone", e.Zone}, {"to_zone", e.ToZone}, {"service", e.Service}, {"how", e.How}} {
		if t[1] != "" {
			fmt.Fprintf(&b, ", %s = %q", t[0], t[1])
		}
	}
	return b.String() + " }"
}

// figure writes a figure as TOML's float.
func figure(x float64) string {
	s := strconv.FormatFloat(x, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}
