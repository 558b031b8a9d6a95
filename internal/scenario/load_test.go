package scenario

import (
	"strings"
	"testing"
)

func loads(class string, n int) (l []Load) {
	for i := range n {
		l = append(l, Load{AtUs: int64(i) * 1000, Class: class, ID: RetryID("x", i), Route: RetryID("r", i%7)})
	}
	return l
}

// A given load takes the place of the drawn one: its moments, classes and identities, with the rest drawn; one route has one agent.
func TestSetLoad(t *testing.T) {
	s := Draw(1, Size{ForS: 2})
	keyed := -1
	for i, c := range s.Classes {
		if c.Effect == Keyed {
			keyed = i
		}
	}
	p, again := MakePlan(s), MakePlan(s)
	l := loads(s.Classes[keyed].Name, 3000)
	for _, x := range []*Plan{p, again} {
		if err := x.SetLoad(l); err != nil {
			t.Fatal(err)
		}
	}
	if len(p.Arrivals) != 2000 || p.Scenario.Rate != 1000 || p.Scenario.Classes[keyed].Share != 1 || len(p.Scenario.Surges) != 0 {
		t.Errorf("%d arrivals at %v a second, share %v", len(p.Arrivals), p.Scenario.Rate, p.Scenario.Classes[keyed].Share)
	}
	agents, used := map[string]int{}, map[int]bool{}
	for i, a := range p.Arrivals {
		if a.AtUs != l[i].AtUs || a.ID != l[i].ID || a.Class != keyed || a.Key == "" || a.WorkUs < 1 || a.Budget < 1 {
			t.Fatalf("%+v", a)
		}
		if a != again.Arrivals[i] {
			t.Fatal("one seed, two plans")
		}
		if was, ok := agents[a.Route]; ok && was != a.Agent {
			t.Fatalf("route %s is at agents %d and %d", a.Route, was, a.Agent)
		}
		agents[a.Route], used[a.Agent] = a.Agent, true
	}
	if len(used) < 2 {
		t.Error("all routes are at one agent")
	}
	if drawn := Draw(1, Size{ForS: 2}); drawn.Classes[keyed].Share == 1 {
		t.Error("the drawn scenario's classes were changed")
	}
}

func TestLoadsThatCantBePlayed(t *testing.T) {
	s := Draw(1, Size{ForS: 2})
	class := s.Classes[0].Name
	for want, l := range map[string][]Load{
		`class "lunch" is none of`: loads("lunch", 3), "no request within 2 s": {{AtUs: 2e6, Class: class}}, "comes before the one": {{AtUs: 5, Class: class}, {AtUs: 4, Class: class}},
		"allowed": make([]Load, MaxArrivals+1),
	} {
		p := MakePlan(s)
		n := len(p.Arrivals)
		if err := p.SetLoad(l); err == nil || !strings.Contains(err.Error(), want) || len(p.Arrivals) != n {
			t.Errorf("error %v, want %q; %d arrivals, want %d as before", err, want, len(p.Arrivals), n)
		}
	}
}
