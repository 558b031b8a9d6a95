package configuration

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Chart is one reading of a Set: which route a request takes, and what is wrong with the whole. It is made of persistent maps,
// so that the chart of a set that differs in an item shares all else with this one. Nothing of it may be changed, and any
// number of goroutines may use it.
type Chart struct {
	sites    table[string, *site]        // by host in lower case
	routes   sorted[string, *claim]      // by name
	services table[string, *Service]     // by name
	leads    sorted[lead, struct{}]      // which routes lead to a service
	unread   sorted[Key, error]          // what stands and can't be read
	missing  sorted[string, struct{}]    // services that some route leads to and that don't stand
	shared   sorted[[2]string, struct{}] // host and prefix of more than one route
	limits   ClientLimits
}

// site is the routes of one host.
type site struct {
	places *immutable.Map[string, []*claim] // by prefix; the one that counts first
	spans  []span                           // lengths of prefixes, the longest first
}

// span is how many prefixes have one length.
type span struct{ length, count int }

// claim is a route's to its host and prefix.
type claim struct {
	route   *Route
	version Version
}

// lead is that a route leads to a service.
type lead struct{ service, route string }

type leadOrder struct{}

func (leadOrder) Compare(a, b lead) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.route, b.route))
}

type pairOrder struct{}

func (pairOrder) Compare(a, b [2]string) int { return slices.Compare(a[:], b[:]) }

// hosts tells names of hosts apart whatever their case. Those in a chart are in lower case.
type hosts struct{}

func (hosts) Hash(s string) uint32 {
	h := uint32(2166136261) // FNV-1a
	for n := range len(s) {
		h = (h ^ uint32(lower(s[n]))) * 16777619
	}
	return h
}

func (hosts) Equal(a, b string) bool {
	if len(a) != len(b) {
		return false
	}
	for n := range len(a) {
		if a[n] != b[n] && lower(a[n]) != lower(b[n]) {
			return false
		}
	}
	return true
}

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		b += 'a' - 'A'
	}
	return b
}

// chartOf reads items, one of each key.
func chartOf(items iter.Seq[Item]) *Chart {
	c := &Chart{
		sites: tableOf[string, *site](hosts{}), routes: sortedOf[string, *claim](nil), services: tableOf[string, *Service](nil),
		leads: sortedOf[lead, struct{}](leadOrder{}), unread: sortedOf[Key, error](keyOrder{}), missing: sortedOf[string, struct{}](nil),
		shared: sortedOf[[2]string, struct{}](pairOrder{}), limits: DefaultLimits(),
	}
	for i := range items {
		c.follow(false, i)
	}
	c.sites.end()
	c.routes.end()
	c.services.end()
	c.leads.end()
	c.unread.end()
	c.missing.end()
	c.shared.end()
	return c
}

// copied is a chart that may follow a set; nil of nil.
func (c *Chart) copied() *Chart {
	if c == nil {
		return nil
	}
	o := *c
	return &o
}

// follow has the chart go along with a set in which an item takes the place of another one; stood: that was no tombstone. It
// is for a chart that nobody else has seen.
func (c *Chart) follow(stood bool, i Item) {
	if c == nil {
		return
	}
	if stood {
		c.drop(i.Key)
	}
	if i.Dropped {
		return
	}
	var err error
	switch i.Key.Kind {
	case Routes:
		var r *Route
		if r, err = readRoute(i); err == nil {
			c.place(&claim{r, i.Version})
		}
	case Services:
		var v *Service
		if v, err = readService(i); err == nil {
			c.services.set(i.Key.Name, v)
		}
		c.missing.delete(i.Key.Name)
	case Limits:
		var l ClientLimits
		if l, err = readLimits(i); err == nil {
			c.limits = l
		}
	default:
		err = invalid(i.Key.String(), "unknown")
	}
	if err != nil {
		c.unread.set(i.Key, err)
	}
}

// drop takes back what the item that stood under a key said.
func (c *Chart) drop(k Key) {
	if _, ok := c.unread.get(k); ok {
		c.unread.delete(k)
	} else if k.Kind == Routes {
		c.leave(k.Name)
	}
	switch k.Kind {
	case Services:
		c.services.delete(k.Name)
		c.miss(k.Name)
	case Limits:
		c.limits = DefaultLimits()
	}
}

// stands reports whether a service does, readable or not.
func (c *Chart) stands(service string) bool {
	_, read := c.services.get(service)
	if !read && c.unread.len() > 0 {
		_, read = c.unread.get(Key{Kind: Services, Name: service})
	}
	return read
}

// miss notes whether a service is missing.
func (c *Chart) miss(service string) {
	if led, _ := c.first(service); led && !c.stands(service) {
		c.missing.set(service, struct{}{})
	} else if c.missing.len() > 0 {
		c.missing.delete(service)
	}
}

// first is the first route that leads to a service.
func (c *Chart) first(service string) (ok bool, route string) {
	it := c.leads.m.Iterator()
	it.Seek(lead{service: service})
	if it.Done() {
		return false, ""
	}
	l, _, _ := it.Next()
	return l.service == service, l.route
}

// place puts a route in its place.
func (c *Chart) place(n *claim) {
	r := n.route
	c.routes.set(r.Name, n)
	for _, s := range r.Split {
		c.leads.set(lead{s.Service, r.Name}, struct{}{})
		if !c.stands(s.Service) {
			c.missing.set(s.Service, struct{}{})
		}
	}
	at, ok := c.sites.get(r.Host)
	if !ok {
		at = &site{places: immutable.NewMap[string, []*claim](nil)}
	}
	held, _ := at.places.Get(r.Prefix)
	claims := append(slices.Clone(held), n)
	slices.SortFunc(claims, func(a, b *claim) int {
		return cmp.Or(cmp.Compare(b.version, a.version), cmp.Compare(a.route.Name, b.route.Name))
	})
	next := &site{places: at.places.Set(r.Prefix, claims), spans: at.spans}
	if len(claims) == 1 {
		next.spans = counted(at.spans, len(r.Prefix), 1)
	} else {
		c.shared.set([2]string{r.Host, r.Prefix}, struct{}{})
	}
	c.sites.set(r.Host, next)
}

// leave takes a route from its place.
func (c *Chart) leave(name string) {
	n, _ := c.routes.get(name)
	r := n.route
	c.routes.delete(name)
	for _, s := range r.Split {
		c.leads.delete(lead{s.Service, name})
		c.miss(s.Service)
	}
	at, _ := c.sites.get(r.Host)
	held, _ := at.places.Get(r.Prefix)
	claims := slices.DeleteFunc(slices.Clone(held), func(o *claim) bool { return o == n })
	next := &site{spans: at.spans}
	switch len(claims) {
	case 0:
		next.places, next.spans = at.places.Delete(r.Prefix), counted(at.spans, len(r.Prefix), -1)
	case 1:
		c.shared.delete([2]string{r.Host, r.Prefix})
		fallthrough
	default:
		next.places = at.places.Set(r.Prefix, claims)
	}
	if next.places.Len() == 0 {
		c.sites.delete(r.Host)
	} else {
		c.sites.set(r.Host, next)
	}
}

// counted is spans with so many more prefixes of a length.
func counted(spans []span, length, more int) []span {
	spans = slices.Clone(spans)
	n, ok := slices.BinarySearchFunc(spans, length, func(s span, l int) int { return cmp.Compare(l, s.length) })
	if !ok {
		return slices.Insert(spans, n, span{length, more})
	}
	if spans[n].count += more; spans[n].count == 0 {
		return slices.Delete(spans, n, n+1)
	}
	return spans
}

// fault is why the whole is not valid: that of the first item at fault by kind and name.
func (c *Chart) fault() error {
	var at string // the first route at fault
	some := false
	note := func(name string) {
		if !some || name < at {
			some, at = true, name
		}
	}
	if it := c.unread.m.Iterator(); !it.Done() {
		if k, err, _ := it.Next(); k.Kind == Routes {
			note(k.Name)
		} else if c.missing.len()+c.shared.len() == 0 {
			return err
		}
	}
	for it := c.missing.m.Iterator(); !it.Done(); {
		service, _, _ := it.Next()
		_, route := c.first(service)
		note(route)
	}
	for it := c.shared.m.Iterator(); !it.Done(); {
		p, _, _ := it.Next()
		note(c.claimants(p)[1])
	}
	if !some {
		return nil
	}
	k := Key{Kind: Routes, Name: at}
	if err, ok := c.unread.get(k); ok {
		return err
	}
	n, _ := c.routes.get(at)
	for _, s := range n.route.Split {
		if !c.stands(s.Service) {
			return invalid(k.String(), "unknown service %s", quoted(s.Service))
		}
	}
	p := [2]string{n.route.Host, n.route.Prefix}
	return invalid(k.String(), "host %s and prefix %s are those of route %s", quoted(p[0]), quoted(p[1]), quoted(c.claimants(p)[0]))
}

// claimants are the names of the routes of a host and prefix, in order.
func (c *Chart) claimants(p [2]string) (names []string) {
	at, _ := c.sites.get(p[0])
	claims, _ := at.places.Get(p[1])
	for _, n := range claims {
		names = append(names, n.route.Name)
	}
	slices.Sort(names)
	return names
}

// Route is the route for a request: of those for its host, whatever its case and port, the one with the longest prefix that
// begins the path. nil: there is none. It allocates nothing, and looks once for each length that a prefix of the host has.
func (c *Chart) Route(host, path string) *Route {
	at, ok := c.sites.get(host)
	if !ok {
		if n := strings.LastIndexByte(host, ':'); n > strings.IndexByte(host, ']') {
			at, ok = c.sites.get(host[:n])
		}
		if !ok {
			return nil
		}
	}
	for _, s := range at.spans {
		if s.length <= len(path) {
			if claims, ok := at.places.Get(path[:s.length]); ok {
				return claims[0].route
			}
		}
	}
	return nil
}

// Service is the service of that name; nil: there is none.
func (c *Chart) Service(name string) *Service {
	v, _ := c.services.get(name)
	return v
}

// Limits hold for what clients send.
func (c *Chart) Limits() ClientLimits { return c.limits }

// Routes are all routes that a request can take, by name.
func (c *Chart) Routes() (all []*Route) {
	for it := c.routes.m.Iterator(); !it.Done(); {
		_, n, _ := it.Next()
		at, _ := c.sites.get(n.route.Host)
		if claims, _ := at.places.Get(n.route.Prefix); claims[0] == n {
			all = append(all, n.route)
		}
	}
	return all
}
