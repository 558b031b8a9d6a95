package configuration

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"
)

// RoutingTable is built from a Set: it finds the route of a request and knows which items are invalid. It consists of persistent
// maps, so that the tables of sets that differ in an item share everything else. It is immutable and safe for concurrent use.
type RoutingTable struct {
	hosts           hashMap[string, *hostRoutes]      // by host in lower case
	routes          sortedMap[string, *candidate]     // by name
	services        hashMap[string, *Service]         // by name
	serviceRoutes   sortedMap[serviceRoute, struct{}] // the routes that refer to each service
	unreadable      sortedMap[Key, error]             // live items that cannot be decoded
	missingServices sortedMap[string, struct{}]       // services that a route refers to and that do not exist
	conflicts       sortedMap[[2]string, struct{}]    // host and prefix of more than one route
	limits          ClientLimits
}

// hostRoutes holds the routes of one host.
type hostRoutes struct {
	byPrefix *immutable.Map[string, []*candidate] // by prefix; the route in use comes first
	lengths  []prefixLength                       // lengths of prefixes, longest first
}

// prefixLength counts the prefixes of one length.
type prefixLength struct{ length, count int }

// candidate is one of the routes for a host and prefix.
type candidate struct {
	route   *Route
	version Version
}

// serviceRoute is a reference of a route to a service.
type serviceRoute struct{ service, route string }

type serviceRouteOrder struct{}

func (serviceRouteOrder) Compare(a, b serviceRoute) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route))
}

type hostPrefixOrder struct{}

func (hostPrefixOrder) Compare(a, b [2]string) int { return slices.Compare(a[:], b[:]) }

// hostHasher hashes and compares host names without regard to case. Those in a routing table are in lower case.
type hostHasher struct{}

func (hostHasher) Hash(s string) uint32 {
	h := uint32(2166136261) // FNV-1a
	for n := range len(s) {
		h = (h ^ uint32(lowerASCII(s[n]))) * 16777619
	}
	return h
}

func (hostHasher) Equal(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for n := range len(a) {
		if a[n] != b[n] && lowerASCII(a[n]) != lowerASCII(b[n]) {
			return false
		}
	}
	return true
}

func lowerASCII(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// newRoutingTable builds the routing table of items with distinct keys.
func newRoutingTable(items iter.Seq[Item]) *RoutingTable {
	t := &RoutingTable{
		hosts: newHashMap[string, *hostRoutes](hostHasher{}), routes: newSortedMap[string, *candidate](nil), services: newHashMap[string, *Service](nil),
		serviceRoutes: newSortedMap[serviceRoute, struct{}](serviceRouteOrder{}), unreadable: newSortedMap[Key, error](keyOrder{}), missingServices: newSortedMap[string, struct{}](nil),
		conflicts: newSortedMap[[2]string, struct{}](hostPrefixOrder{}), limits: DefaultLimits(),
	}
	for i := range items {
		t.apply(false, i)
	}
	t.hosts.freeze()
	t.routes.freeze()
	t.services.freeze()
	t.serviceRoutes.freeze()
	t.unreadable.freeze()
	t.missingServices.freeze()
	t.conflicts.freeze()
	return t
}

// clone returns a shallow copy that may be changed with apply; nil for nil.
func (t *RoutingTable) clone() *RoutingTable {
	if t == nil {
		return nil
	}
	o := *t
	return &o
}

// apply updates the table for an item that replaces the one under its key; wasLive says that the replaced item was not a
// tombstone. The table must not have been shared yet.
func (t *RoutingTable) apply(wasLive bool, i Item) {
	if t == nil {
		return
	}
	if wasLive {
		t.removeItem(i.Key)
	}
	if i.Deleted {
		return
	}
	var err error
	switch i.Key.Kind {
	case Routes:
		var r *Route
		if r, err = decodeRoute(i); err == nil {
			t.addRoute(&candidate{r, i.Version})
		}
	case Services:
		var v *Service
		if v, err = decodeService(i); err == nil {
			t.services.set(i.Key.Name, v)
		}
		t.missingServices.delete(i.Key.Name)
	case Limits:
		var l ClientLimits
		if l, err = decodeLimits(i); err == nil {
			t.limits = l
		}
	default:
		err = invalid(i.Key.String(), "unknown")
	}
	if err != nil {
		t.unreadable.set(i.Key, err)
	}
}

// removeItem removes the live item under a key.
func (t *RoutingTable) removeItem(k Key) {
	if _, ok := t.unreadable.get(k); ok {
		t.unreadable.delete(k)
	} else if k.Kind == Routes {
		t.removeRoute(k.Name)
	}
	switch k.Kind {
	case Services:
		t.services.delete(k.Name)
		t.updateMissing(k.Name)
	case Limits:
		t.limits = DefaultLimits()
	}
}

// serviceExists reports whether a service exists, even if its item cannot be decoded.
func (t *RoutingTable) serviceExists(service string) bool {
	_, exists := t.services.get(service)
	if !exists && t.unreadable.len() > 0 {
		_, exists = t.unreadable.get(Key{Kind: Services, Name: service})
	}
	return exists
}

// updateMissing records whether a service is missing.
func (t *RoutingTable) updateMissing(service string) {
	if referenced, _ := t.firstRouteTo(service); referenced && !t.serviceExists(service) {
		t.missingServices.set(service, struct{}{})
	} else if t.missingServices.len() > 0 {
		t.missingServices.delete(service)
	}
}

// firstRouteTo returns the first route, by name, that refers to a service.
func (t *RoutingTable) firstRouteTo(service string) (ok bool, route string) {
	it := t.serviceRoutes.frozen.Iterator()
	it.Seek(serviceRoute{service: service})
	if it.Done() {
		return false, ""
	}
	l, _, _ := it.Next()
	return l.service == service, l.route
}

// addRoute adds a route under its host and prefix.
func (t *RoutingTable) addRoute(n *candidate) {
	r := n.route
	t.routes.set(r.Name, n)
	for _, s := range r.Split {
		t.serviceRoutes.set(serviceRoute{s.Service, r.Name}, struct{}{})
		if !t.serviceExists(s.Service) {
			t.missingServices.set(s.Service, struct{}{})
		}
	}
	routes, ok := t.hosts.get(r.Host)
	if !ok {
		routes = &hostRoutes{byPrefix: immutable.NewMap[string, []*candidate](nil)}
	}
	current, _ := routes.byPrefix.Get(r.Prefix)
	candidates := append(slices.Clone(current), n)
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.route.Name, b.route.Name))
	})
	next := &hostRoutes{byPrefix: routes.byPrefix.Set(r.Prefix, candidates), lengths: routes.lengths}
	if len(candidates) == 1 {
		next.lengths = adjustLength(routes.lengths, len(r.Prefix), 1)
	} else {
		t.conflicts.set([2]string{r.Host, r.Prefix}, struct{}{})
	}
	t.hosts.set(r.Host, next)
}

// removeRoute removes a route from its host and prefix.
func (t *RoutingTable) removeRoute(name string) {
	n, _ := t.routes.get(name)
	r := n.route
	t.routes.delete(name)
	for _, s := range r.Split {
		t.serviceRoutes.delete(serviceRoute{s.Service, name})
		t.updateMissing(s.Service)
	}
	routes, _ := t.hosts.get(r.Host)
	current, _ := routes.byPrefix.Get(r.Prefix)
	candidates := slices.DeleteFunc(slices.Clone(current), func(o *candidate) bool { return o == n })
	next := &hostRoutes{lengths: routes.lengths}
	switch len(candidates) {
	case 0:
		next.byPrefix, next.lengths = routes.byPrefix.Delete(r.Prefix), adjustLength(routes.lengths, len(r.Prefix), -1)
	case 1:
		t.conflicts.delete([2]string{r.Host, r.Prefix})
		fallthrough
	default:
		next.byPrefix = routes.byPrefix.Set(r.Prefix, candidates)
	}
	if next.byPrefix.Len() == 0 {
		t.hosts.delete(r.Host)
	} else {
		t.hosts.set(r.Host, next)
	}
}

// adjustLength returns lengths with delta added to the count of prefixes of one length.
func adjustLength(lengths []prefixLength, length, delta int) []prefixLength {
	lengths = slices.Clone(lengths)
	n, ok := slices.BinarySearchFunc(lengths, length, func(s prefixLength, l int) int { return cmp.Compare(l, s.length) })
	if !ok {
		return slices.Insert(lengths, n, prefixLength{length, delta})
	}
	if lengths[n].count += delta; lengths[n].count == 0 {
		return slices.Delete(lengths, n, n+1)
	}
	return lengths
}

// validate returns the error of the first invalid item by kind and name, or nil.
func (t *RoutingTable) validate() error {
	var firstInvalid string // the first invalid route
	found := false
	note := func(name string) {
		if !found || name < firstInvalid {
			found, firstInvalid = true, name
		}
	}
	if it := t.unreadable.frozen.Iterator(); !it.Done() {
		if k, err, _ := it.Next(); k.Kind == Routes {
			note(k.Name)
		} else if t.missingServices.len()+t.conflicts.len() == 0 {
			return err
		}
	}
	for it := t.missingServices.frozen.Iterator(); !it.Done(); {
		service, _, _ := it.Next()
		_, route := t.firstRouteTo(service)
		note(route)
	}
	for it := t.conflicts.frozen.Iterator(); !it.Done(); {
		p, _, _ := it.Next()
		note(t.routesAt(p)[1])
	}
	if !found {
		return nil
	}
	k := Key{Kind: Routes, Name: firstInvalid}
	if err, ok := t.unreadable.get(k); ok {
		return err
	}
	n, _ := t.routes.get(firstInvalid)
	for _, s := range n.route.Split {
		if !t.serviceExists(s.Service) {
			return invalid(k.String(), "unknown service %s", quoted(s.Service))
		}
	}
	p := [2]string{n.route.Host, n.route.Prefix}
	return invalid(k.String(), "host %s and prefix %s are those of route %s", quoted(p[0]), quoted(p[1]), quoted(t.routesAt(p)[0]))
}

// routesAt returns the sorted names of the routes for a host and prefix.
func (t *RoutingTable) routesAt(p [2]string) (names []string) {
	routes, _ := t.hosts.get(p[0])
	candidates, _ := routes.byPrefix.Get(p[1])
	for _, n := range candidates {
		names = append(names, n.route.Name)
	}
	slices.Sort(names)
	return names
}

// Route returns the route for a request, or nil: among the routes of its host, regardless of case and port, the one with the
// longest prefix of the path. It does not allocate, and does one lookup for each distinct prefix length of the host.
func (t *RoutingTable) Route(host, path string) *Route {
	routes, ok := t.hosts.get(host)
	if !ok {
		if n := strings.LastIndexByte(host, ':'); n > strings.IndexByte(host, ']') {
			routes, ok = t.hosts.get(host[:n])
		}
		if !ok {
			return nil
		}
	}
	for _, s := range routes.lengths {
		if s.length <= len(path) {
			if candidates, ok := routes.byPrefix.Get(path[:s.length]); ok {
				return candidates[0].route
			}
		}
	}
	return nil
}

// Service returns the service with that name, or nil.
func (t *RoutingTable) Service(name string) *Service {
	v, _ := t.services.get(name)
	return v
}

// Limits returns the limits for clients.
func (t *RoutingTable) Limits() ClientLimits { return t.limits }

// Routes returns all routes that a request can take, by name.
func (t *RoutingTable) Routes() (all []*Route) {
	for it := t.routes.frozen.Iterator(); !it.Done(); {
		_, n, _ := it.Next()
		routes, _ := t.hosts.get(n.route.Host)
		if candidates, _ := routes.byPrefix.Get(n.route.Prefix); candidates[0] == n {
			all = append(all, n.route)
		}
	}
	return all
}
