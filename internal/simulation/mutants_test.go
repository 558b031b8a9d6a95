package simulation

import (
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"saltmast/internal/settings"
)

// A flawed world is noticed, by the rule that it breaks.
func TestMutants(t *testing.T) {
	if raceOn {
		t.Skip("what the surveyor notices is looked at without the race detector")
	}
	day := func(name string) Day {
		d, err := DayNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		d.Floor = 0
		return d
	}
	for _, m := range []struct {
		name string
		day  Day
		flaw Flaw
		rule string
		says string
	}{
		{"pursers that forget the claims they granted", change(day("keys"), func(d *Day) { d.Faults = Faults{} }),
			Flaw{Settings: func(s *settings.Settings) {
				if s.DataDir != "" {
					s.Bounds.DedupWindow = -30*time.Second + 50*time.Millisecond // the margin of pursers is 30 s
				}
			}}, "TWICE", "key"},
		{"a gate that ignores that its backend drains", day("release"),
			Flaw{Beat: func(m *tugMachine, state string) bool { return state == "draining" }}, "DRAIN", "acknowledged to leave"},
		{"a proxy that forgets a route", day("quiet"),
			Flaw{Between: func(m *tugMachine, r *request, a *answer) *answer {
				if m.n == 0 && m.w.now() > 6*time.Second && strings.HasPrefix(r.path, "/level/") {
					return own(404, r)
				}
				return a
			}}, "CONFIG", "late"},
		{"a proxy that goes back", day("changes"),
			Flaw{Between: func(m *tugMachine, r *request, a *answer) *answer {
				if m.n == 1 && strings.HasPrefix(r.path, "/new") && m.w.now()%(500*time.Millisecond) > 200*time.Millisecond {
					return own(404, r)
				}
				return a
			}}, "CONFIG", "back"},
		{"further tries without a ration", day("failing"),
			Flaw{Settings: func(s *settings.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryAllowance = 1000, 1e5 }}, "BUDGET", "further arrivals"},
		{"a 503 for a key that ran", day("quiet"),
			Flaw{Between: func(m *tugMachine, r *request, a *answer) *answer {
				if r.get("Violetlatch-Operation-Key") != "" && m.w.now() > 6*time.Second {
					return own(503, r)
				}
				return a
			}}, "REFUSED", "key"},
		{"an answer to another", day("quiet"),
			Flaw{Between: func(m *tugMachine, r *request, a *answer) *answer {
				if a.status == 200 && m.w.now() > 6*time.Second {
					b := *a
					b.body = append([]byte("x"), a.body...)
					return &b
				}
				return a
			}}, "MIXED", "seal"},
		{"a gate that sends again what may run once", day("quiet"),
			Flaw{Twice: func(m *tugMachine, r *request) bool {
				return strings.HasPrefix(r.path, "/debit/") && m.w.now() > 6*time.Second
			}}, "TWICE", "mutating"},
		{"a caller that is not the machine's service", day("quiet"),
			Flaw{Settings: func(s *settings.Settings) {
				if s.NodeName == "side-2" {
					s.Service = "pump"
				}
			}}, "UNASKED", "caller"},
		{"a planned stop that is none", change(day("side-stop"), func(d *Day) { d.Rate, d.Work = 30, 8 }), Flaw{Abrupt: true}, "LOST", "closed"},
		{"a backend that tells another service", day("quiet"), Flaw{Told: func(m *tugMachine) string { return "pump" }}, "ROUTE", "r-level"},
		{"a mesh that does not come back", day("power"), Flaw{Stay: true}, "RECOVER", "served before"},
		{"two disks of three lost after an acknowledgement", day("core-wipe"), Flaw{Wipes: 2}, "CONFIG", "read back"},
		{"changes acknowledged before they are synced", day("power"), Flaw{Early: 100 * time.Millisecond}, "CONFIG", "read back"},
		{"claims granted before they are synced", day("core-all-kill"), Flaw{Early: 200 * time.Millisecond}, "TWICE", "key"},
		{"a member that grants with its disk lost", day("thin"), Flaw{Settings: func(s *settings.Settings) { s.Bootstrap = s.DataDir != "" }}, "TWICE", "key"},
		{"a claim given back though its request may have run", change(day("lost-answers"), func(d *Day) { d.Keys = 0.5 }),
			Flaw{Between: func(m *tugMachine, r *request, a *answer) *answer {
				if key := r.get("Violetlatch-Operation-Key"); key != "" && (a.status == 502 || a.status == 504) {
					m.giveBack(key)
				}
				return a
			}}, "TWICE", "key"},
		{"a proxy that does not notice that its clients have left", day("leavers"),
			Flaw{Blind: func(addr string) bool { return strings.HasSuffix(addr, ":"+portOut) }}, "GONE", "runs went on"},
		{"a gate that does not notice that its callers have left", day("leavers"),
			Flaw{Blind: func(addr string) bool { return !strings.HasSuffix(addr, ":"+portOut) }}, "GONE", "runs went on"},
		{"a roll that does not grow", day("five"), Flaw{Settings: func(s *settings.Settings) { s.Tolerance.Machines = 1 }}, "WORLD", "in epoch 1"},
		{"voters that are replaced after minutes", day("in-turn"), Flaw{Settings: func(s *settings.Settings) { s.VoterReplaceAfter = 5 * time.Minute }}, "WORLD", "a removal"},
		{"a roll that counts machines alone", day("zone-lost"), Flaw{Settings: func(s *settings.Settings) {
			s.Tolerance = settings.Tolerance{Machines: 1}
		}}, "WORLD", "the loss of the zone"},
		{"a voter that goes before its successor has the books", day("leaver"), Flaw{Hasty: true}, "WORLD", "right after a replacement"},
		{"a change acknowledged on one voter's word", change(day("cut-wipe"), func(d *Day) {
			d.Events = func(w *World, op *operator) { cutAndWipe(w, op, w.core[0]) }
		}), Flaw{Settings: func(s *settings.Settings) {
			if s.NodeName == "core-1" { // it knows of no other that counts
				s.Seeds = []string{net.JoinHostPort(s.IP, portControl)}
			}
		}}, "CONFIG", "read back"},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				l, broken, _ := Play(t, m.day, seed, m.flaw)
				if l == nil {
					return
				}
				others := map[string]int{}
				for _, b := range broken {
					if b.Rule == m.rule && strings.Contains(b.String(), m.says) {
						t.Logf("seed %d: %s", seed, b)
						return
					}
					others[b.Rule]++
				}
				t.Log("seed "+strconv.FormatUint(seed, 10)+": not noticed;", others, l.Tell())
			}
			t.Errorf("%s was not noticed", m.rule)
		})
	}
}

func change(d Day, f func(*Day)) Day {
	f(&d)
	return d
}

// own is an answer of a proxy's own.
func own(status int, r *request) *answer {
	return &answer{status: status, complete: true, header: map[string][]string{"Violetlatch-Attempt-Id": {r.get("Violetlatch-Attempt-Id")}}}
}
