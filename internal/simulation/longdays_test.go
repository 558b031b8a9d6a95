package simulation

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"saltmast/internal/faultschedule"
	"saltmast/internal/settings"
)

// Flawed worlds of the long and large days are noticed.
func TestMutantsOfLongDays(t *testing.T) {
	if raceOn {
		t.Skip("what the surveyor notices is looked at without the race detector")
	}
	for _, m := range []struct {
		name, day  string
		flaw       Flaw
		events     func(*World, *operator)
		rule, says string
	}{
		{"an order that was taken is refused when it comes again", "eight-orders", Flaw{Forgets: true}, nil, "CONFIG", "resent"},
		{"three disks of five lost after an acknowledgement", "five-voters", Flaw{}, threeWiped, "CONFIG", "read back"},
		{"acknowledged before it is synced, and all lose power amid the day", "blackout-amid", Flaw{Early: 150 * time.Millisecond}, nil, "", ""},
		{"a minority that missed changes, and all the others' disks lost", "two-parts", Flaw{Wipes: 2}, nil, "CONFIG", "read back"},
		{"a half that confirms by itself", "two-parts", Flaw{Settings: func(s *settings.Settings) {
			if s.NodeName == "core-1" { // it knows of no other that counts
				s.Seeds = []string{net.JoinHostPort(s.IP, portControl)}
			}
		}}, nil, "", ""},
		{"the same in a storm of the almanac", "almanac", Flaw{Early: 150 * time.Millisecond}, nil, "", ""},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			d, err := DayNamed(m.day)
			if err != nil {
				t.Fatal(err)
			}
			d.Floor, d.Length = 0, min(d.Length, 52*time.Second)
			if m.events != nil {
				d.Events = m.events
			}
			for seed := uint64(1); seed <= 3; seed++ {
				_, broken, _ := Play(t, d, seed, m.flaw)
				for _, b := range broken {
					if (m.rule == "" && (b.Rule == "CONFIG" || b.Rule == "TWICE")) || b.Rule == m.rule && strings.Contains(b.String(), m.says) {
						t.Logf("seed %d: %s", seed, b)
						return
					}
				}
				others := map[string]int{}
				for _, b := range broken {
					others[b.Rule]++
				}
				t.Logf("seed %d: not noticed; %v", seed, others)
			}
			t.Error("it was not noticed")
		})
	}
}

// threeWiped takes three disks of five at once.
func threeWiped(w *World, op *operator) {
	w.until(4 * time.Second)
	op.send(w.office(1).draw(op.r, 0), 0, 6*time.Second)
	for _, c := range w.core[:3] {
		w.people.Go(func() { w.awayFor(c, "wipe, kill", 300*time.Millisecond) })
	}
	w.pause(time.Second)
}

// A caller follows 307 twice and no more, and the order says who answered.
func TestRedirections(t *testing.T) {
	dir := scratch(t)
	bubble(t, func(t testing.TB) {
		w := newWorld(7, dir, Size{Core: 5})
		for i, c := range w.core {
			l, err := c.m.Start().Listen(net.JoinHostPort(c.m.IP, portControl), 0)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				for {
					x, err := l.Accept()
					if err != nil {
						return
					}
					newReader(x).ReadString('}')
					if i == 3 {
						fmt.Fprint(x, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					} else {
						fmt.Fprintf(x, "HTTP/1.1 307 Elsewhere\r\nLocation: http://%s/v1/configuration\r\nContent-Length: 0\r\n\r\n", net.JoinHostPort(w.core[(i+1)%5].m.IP, portControl))
					}
					x.Close()
				}
			}()
		}
		f := w.office(1)
		var got []int
		for at := range 4 {
			status, by := f.patch(f.all[0], w.core[at], []byte("{}"))
			got = append(got, status, by.n)
		}
		if want := []int{http.StatusTemporaryRedirect, 2, 200, 3, 200, 3, 200, 3}; !slices.Equal(got, want) {
			t.Errorf("status and who answered: %v, not %v", got, want)
		}
		f.close()
		for _, c := range w.core {
			c.m.PowerOff()
		}
	})
}

// The storms play what the almanac draws: each kind but those that are left out is played in the first days, most of them again and again.
func TestStormsPlayAllKinds(t *testing.T) {
	count := map[string]int{}
	for seed := uint64(1); seed <= 30; seed++ {
		day, err := stormDay(stormSite(Size{}.full()), seed)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range day.Entries {
			count[e.Kind]++
			for _, way := range []string{"behind", "split", "relieve"} { // of a core in two parts
				if e.Kind == "core_cut" && strings.Contains(e.How, way) {
					count[way]++
				}
			}
		}
	}
	for _, name := range faultschedule.Kinds() {
		if (count[name] == 0) != slices.Contains(notPlayed, name) {
			t.Errorf("%s: %d in 30 days", name, count[name])
		}
	}
	if count["behind"]*count["split"]*count["relieve"] == 0 {
		t.Errorf("a core in two parts: %d behind, %d split, %d relieve", count["behind"], count["split"], count["relieve"])
	}
}
