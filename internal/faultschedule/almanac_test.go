package faultschedule

import (
	"math"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func site(t *testing.T, change ...string) *Site {
	t.Helper()
	text, err := os.ReadFile("testdata/site.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ReadSite("site.toml", []byte(strings.NewReplacer(change...).Replace(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// written is a day as the bench reads it.
type written struct {
	Day []struct {
		Name         string
		Length       float64 `toml:"length_s"`
		Closing      struct{ Kind string }
		Plan, Faults []struct {
			At, Share, X                 float64
			For                          float64 `toml:"for_s"`
			Gap                          float64 `toml:"gap_s"`
			Count                        int
			Kind, How, On, Zone, Service string
			ToZone                       string `toml:"to_zone"`
		}
	}
}

func read(t *testing.T, text string) (w written) {
	t.Helper()
	d := toml.NewDecoder(strings.NewReader(text))
	if err := d.DisallowUnknownFields().Decode(&w); err != nil && !strings.Contains(err.Error(), "strict") {
		t.Fatal(err)
	}
	return w
}

// What a day loses is counted here from its text alone: of three machines that count one at a time, and until it has caught up.
func TestLossesAreBorne(t *testing.T) {
	for _, bears := range []int{1, 2} {
		s := site(t)
		if bears == 2 {
			s = site(t, "zone = \"quay\", count = 1", "zone = \"quay\", count = 3", "machines = 1\n", "machines = 2\n")
		}
		days, err := Draw(s, 5, 400, s.Plays())
		if err != nil {
			t.Fatal(err)
		}
		most := 0
		for _, d := range days {
			w := read(t, d.Text(s)).Day[0]
			length := s.Length
			if w.Length > 0 {
				length = w.Length
			}
			type loss struct {
				from, to float64
				n        int
				all      bool
			}
			var losses []loss
			for _, e := range append(w.Plan, w.Faults...) {
				l := loss{e.At, e.At + e.For + s.Timing.CatchUp, e.Count, false}
				switch {
				case slices.Contains([]string{"core_cut", "disk_full", "disk_slow", "disk_stall", "after_ack_kill", "after_ack_wipe"}, e.Kind):
					l.all = strings.Contains(e.How, "both") || strings.Contains(e.How, "split") || strings.Contains(e.How, "relieve") || strings.Contains(e.How, "behind")
					if strings.Contains(e.How, "behind") { // the others are dark as long again, behind the cut
						l.to += e.For + 2
					}
				case e.Kind == "replace_core": // until its successor counts; planned, it goes once that does, by its grace
					if l.n, l.to = 1, e.At+e.X+s.Timing.CatchUp; strings.Contains(e.How, "planned") {
						l.to = e.At + 2*s.Timing.CatchUp + 6
					}
				case e.On == "core" && e.Kind == "roll_term" && strings.Contains(e.How, "remove"):
					l.to, l.n = math.Inf(1), 1
				case e.On == "core" && e.Kind == "roll_term":
					l.to, l.n = e.At+e.Gap*math.Ceil(e.Share*float64(s.core())), int(e.X)
					if e.Gap <= s.Timing.CatchUp {
						t.Errorf("%s: the next is stopped before the last has caught up: %+v", d.Name, e)
					}
				case e.Kind == "herd_kill" && (e.On == "core" || strings.Contains(e.How, "taken") || strings.Contains(e.How, "off")):
					l.all = true
				case e.On == "core" && slices.Contains([]string{"node_kill", "node_freeze", "node_slow", "reset_conns"}, e.Kind):
				case e.On == "core":
					t.Errorf("%s: on the core: %+v", d.Name, e)
				default:
					continue
				}
				if l.n < 1 && !l.all {
					t.Errorf("%s: loses nothing: %+v", d.Name, e)
				}
				if !math.IsInf(l.to, 1) && l.to > length+0.01 {
					t.Errorf("%s: lost at the end of %g s: %+v", d.Name, length, e)
				}
				losses = append(losses, l)
			}
			for _, at := range losses {
				n, all, beside := 0, 0, 0
				for _, l := range losses {
					if l.from <= at.from && at.from < l.to {
						n += l.n
						beside++
						if l.all {
							all++
						}
					}
				}
				if n > bears || all > 0 && beside > 1 {
					t.Errorf("%s: %d lost at %g\n%s", d.Name, n, at.from, d.Text(s))
				}
				most = max(most, n)
			}
		}
		if most != bears {
			t.Errorf("%d are borne, and at most %d were lost", bears, most)
		}
	}
}

// Every kind comes in every variant and with every word, in few days; at once, and in all parts of a day.
func TestAllIsDealt(t *testing.T) {
	s := site(t)
	days, err := Draw(s, 9, 100, s.Plays())
	if err != nil {
		t.Fatal(err)
	}
	hows, ends, early, late, close, inTurn := map[string]map[string]bool{}, map[Closing]bool{}, 0, 0, 0, 0
	for _, d := range days {
		if d.Closing != nil {
			ends[Closing{Kind: d.Closing.Kind, How: d.Closing.How}] = true
		}
		gone := math.Inf(-1) // the last machine that counts went for good, and its successor has had its time
		for i, e := range d.Entries {
			if e.Kind == "replace_core" {
				if e.At-gone < 1 {
					inTurn++
				}
				gone = e.to
			}
			if hows[e.Kind] == nil {
				hows[e.Kind] = map[string]bool{}
			}
			hows[e.Kind][""] = true
			for _, word := range strings.Fields(e.How) {
				hows[e.Kind][word] = true
			}
			hows[e.Kind]["on "+e.On] = true
			if e.At < s.Length/5 {
				early++
			}
			if e.At > s.Length*3/5 {
				late++
			}
			if i > 0 && e.At-d.Entries[i-1].At < 0.3 {
				close++
			}
		}
	}
	for _, k := range kinds {
		want := slices.Concat(strings.Fields(strings.Join(k.how, " ")), k.also)
		if k.whom {
			want = append(want, whoms...)
		}
		if k.after {
			want = append(want, "meet", "race", "hard", "drain")
		}
		if k.on {
			want = append(want, "on core")
		}
		for _, word := range want {
			if !hows[k.name][word] {
				t.Errorf("%s is never dealt with %q", k.name, word)
			}
		}
		if hows[k.name] == nil {
			t.Errorf("%s is never dealt", k.name)
		}
	}
	if inTurn < 3 {
		t.Errorf("%d removals right after another", inTurn)
	}
	if len(ends) != 11 {
		t.Errorf("%d closings of 11", len(ends))
	}
	if early < 20 || late < 20 || close < 60 {
		t.Errorf("%d entries early, %d late, %d at one moment with another", early, late, close)
	}
}

// The same seed gives the same days, also as the first of more; another seed gives others.
func TestDrawIsOfItsSeed(t *testing.T) {
	s := site(t)
	a, _ := Draw(s, 3, 5, s.Plays())
	b, _ := Draw(s, 3, 12, s.Plays())
	c, _ := Draw(s, 4, 5, s.Plays())
	if !reflect.DeepEqual(a, b[:5]) || reflect.DeepEqual(a[0].Entries, c[0].Entries) {
		t.Error("the draw is not of its seed")
	}
}
