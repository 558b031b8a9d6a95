package configuration

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// reference is a routing table built from the items alone, in the simplest way. An incrementally updated RoutingTable must give
// the same results.
type reference struct {
	fault    error
	routes   []*Route // by name
	services map[string]*Service
	limits   ClientLimits
}

func newReference(s Set) (f reference) {
	type place struct{ host, prefix string }
	first, wins, versions := map[place]string{}, map[place]*Route{}, map[string]Version{}
	f.services, f.limits = map[string]*Service{}, DefaultLimits()
	fault := func(err error) {
		if f.fault == nil {
			f.fault = err
		}
	}
	for i := range s.All() {
		if i.Deleted {
			continue
		}
		switch i.Key.Kind {
		case Routes:
			r, err := decodeRoute(i)
			if err != nil {
				fault(err)
				continue
			}
			for _, share := range r.Split {
				if v, ok := s.Get(Key{Kind: Services, Name: share.Service}); !ok || v.Deleted {
					fault(invalid(i.Key.String(), "unknown service %s", quoted(share.Service)))
				}
			}
			p := place{r.Host, r.Prefix}
			if o, ok := first[p]; ok {
				fault(invalid(i.Key.String(), "host %s and prefix %s are those of route %s", quoted(r.Host), quoted(r.Prefix), quoted(o)))
			} else {
				first[p] = r.Name
			}
			versions[r.Name] = i.Version
			if o := wins[p]; o == nil || i.Version > versions[o.Name] {
				wins[p] = r
			}
		case Services:
			v, err := decodeService(i)
			if err != nil {
				fault(err)
				continue
			}
			f.services[v.Name] = v
		case Limits:
			l, err := decodeLimits(i)
			if err != nil {
				fault(err)
				continue
			}
			f.limits = l
		}
	}
	for _, r := range wins {
		f.routes = append(f.routes, r)
	}
	slices.SortFunc(f.routes, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	return f
}

func (f reference) route(host, path string) (best *Route) {
	for _, r := range f.routes {
		if r.Host == strings.ToLower(host) && strings.HasPrefix(path, r.Prefix) && (best == nil || len(best.Prefix) < len(r.Prefix)) {
			best = r
		}
	}
	return best
}

// Each set of a random history, derived from any earlier set, has an incrementally updated routing table that gives the same
// results as one built from all items. Deriving sets does not change the sets they came from.
func TestRoutingTableUpdates(t *testing.T) {
	names, services := []string{"a", "b", "c", "d"}, []string{"cranes", "tugs", "gulls"}
	at := []string{"/", "/a/", "/a/b/", "/a/b", "e/"}
	item := rapid.Custom(func(t *rapid.T) Item {
		i := Item{Key: Key{Kind: Kind(rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2}).Draw(t, "kind"))}, Version: Version(rapid.IntRange(1, 4).Draw(t, "version")),
			Ballot: Ballot{N: rapid.Uint64Range(0, 5).Draw(t, "n")}, Deleted: rapid.IntRange(0, 3).Draw(t, "dropped") == 0}
		bad := rapid.IntRange(0, 9).Draw(t, "bad") == 0
		switch i.Key.Kind {
		case Routes:
			i.Key.Name = rapid.SampledFrom(names).Draw(t, "name")
			shares := ""
			for _, s := range rapid.SliceOfN(rapid.SampledFrom(services), 1, 3).Draw(t, "services") {
				shares += fmt.Sprintf(`,{"service":%q,"weight":1}`, s)
			}
			i.Spec = fmt.Appendf(nil, `{"host":%q,"path-prefix":%q,"route-kind":"idempotent","deadline-s":%d,"split":[%s]}`,
				rapid.SampledFrom([]string{"quay.example", "Quay.example", "dock.example"}).Draw(t, "host"), rapid.SampledFrom(at).Draw(t, "prefix"),
				rapid.IntRange(1, 2).Draw(t, "deadline"), shares[1:])
		case Services:
			i.Key.Name = rapid.SampledFrom(services).Draw(t, "name")
			i.Spec = fmt.Appendf(nil, `{"connection-limit":%d}`, rapid.IntRange(0, 2).Draw(t, "limit"))
		case Limits:
			i.Spec = fmt.Appendf(nil, `{"idle-timeout-s":%d}`, rapid.IntRange(0, 2).Draw(t, "idle"))
		}
		switch {
		case i.Deleted:
			i.Spec = nil
		case bad:
			i.Spec = nil // cannot be decoded
		}
		return i
	})
	same := func(t *rapid.T, s Set, c *RoutingTable) {
		f := newReference(s)
		if got, want := fmt.Sprint(s.Check()), fmt.Sprint(f.fault); got != want {
			t.Fatalf("Check returns %s, the reference %s", got, want)
		}
		if got := c.Routes(); len(got) != len(f.routes) || len(got) > 0 && !reflect.DeepEqual(got, f.routes) {
			t.Fatalf("routes %v, reference %v", got, f.routes)
		}
		for _, host := range []string{"quay.example", "QUAY.example:80", "dock.example", "none.example"} {
			for _, path := range []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "", "e/"} {
				if got, want := c.Route(host, path), f.route(strings.TrimSuffix(host, ":80"), path); !reflect.DeepEqual(got, want) {
					t.Fatalf("%s%s goes to %v, reference %v", host, path, got, want)
				}
			}
		}
		for _, name := range services {
			if got, want := c.Service(name), f.services[name]; !reflect.DeepEqual(got, want) {
				t.Fatalf("service %s is %v, reference %v", name, got, want)
			}
		}
		if c.Limits() != f.limits {
			t.Fatalf("limits %v, reference %v", c.Limits(), f.limits)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		sets := []Set{Set{}.WithRoutingTable()}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			s := sets[rapid.IntRange(max(0, len(sets)-3), len(sets)-1).Draw(t, "of")]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				s = s.Without(item.Draw(t, "without").Key)
			case 1:
				other := sets[rapid.IntRange(0, len(sets)-1).Draw(t, "moved")]
				for i := range other.All() { // UpdatedTo requires that items with equal ballots are equal
					if have, ok := s.Get(i.Key); ok && have.Ballot == i.Ballot && have.compare(i) != 0 {
						other = s
					}
				}
				if s = s.UpdatedTo(other); !equal(s, other) {
					t.Fatalf("%v, not %v", slices.Collect(s.All()), slices.Collect(other.All()))
				}
			default:
				s = s.With(rapid.SliceOfN(item, 0, 3).Draw(t, "items")...)
			}
			sets = append(sets, s)
			same(t, s, s.RoutingTable())
			fresh := newRoutingTable(s.All())
			same(t, s, fresh)
			for _, host := range []string{"quay.example", "dock.example"} {
				got, ok := s.RoutingTable().hosts.get(host)
				if want, some := fresh.hosts.get(host); ok != some || ok && !slices.Equal(got.lengths, want.lengths) {
					t.Fatalf("prefix lengths of %s: %v, when built from all items %v", host, got, want)
				}
			}
		}
		for _, s := range sets {
			same(t, s, s.RoutingTable())
		}
	})
}
