package checker

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Contact is what was seen of machines that were cut off from a majority of the core. Its methods may be called by many.
type Contact struct {
	mu      sync.Mutex
	Answers []Answer
	Apart   []*Apart
	Anew    []Anew
	Ready   []Ready
}

// Answer is one answer that an operator got of a core machine.
type Answer struct {
	Machine  string
	What     string // was asked
	Sent, At time.Duration
	Status   int
}

// Apart is a span in which a machine reached no majority of the core, both ways.
type Apart struct {
	Machine  string
	From, To time.Duration
}

// Anew is the start of a proxy's life. Reaches: it can reach machines that hear a majority, whatever its seeds name.
type Anew struct {
	Machine string
	At      time.Duration
	Reaches bool
}

// Ready is an answer that a proxy is ready.
type Ready struct {
	Machine string
	At      time.Duration
}

// AddAnswer notes an answer. Silence is none.
func (c *Contact) AddAnswer(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Status != 0 {
		c.Answers = append(c.Answers, a)
	}
}

// AddApart notes a span from its begin until what it returns is called.
func (c *Contact) AddApart(machine string, now time.Duration) (over func(now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &Apart{machine, now, far}
	c.Apart = append(c.Apart, a)
	return func(now time.Duration) { a.To = now }
}

// AddAnew notes the start of a proxy.
func (c *Contact) AddAnew(a Anew) { c.mu.Lock(); defer c.mu.Unlock(); c.Anew = append(c.Anew, a) }

// AddReady notes that a proxy said it is ready.
func (c *Contact) AddReady(machine string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Ready = append(c.Ready, Ready{machine, at})
}

// contact: a core machine that reaches no majority confirms nothing and refuses nothing; nothing that was refused comes into
// force; a proxy that begins anew does not serve by what was overtaken long before, once it is ready or where it could know.
func (j *judge) contact() {
	c := &j.Contact
	for _, a := range c.Answers {
		class := a.Status / 100
		if class == 5 || a.Status == 408 || a.Status == 429 {
			continue
		}
		for _, x := range c.Apart {
			if x.Machine == a.Machine && a.Sent > x.From && a.At < x.To {
				j.breaks("CONTACT", a.At, fmt.Sprintf("%s, cut off since %.3f, answered %d: %s, sent at %.3f", a.Machine, x.From.Seconds(), a.Status, a.What, a.Sent.Seconds()))
			}
		}
	}
	for _, call := range j.Calls {
		if call.Acked != 0 || call.Status/100 != 4 || promised(call.Status) {
			continue
		}
		for _, i := range call.Items {
			for _, r := range j.Read {
				if r.Kind == i.Kind && r.Name == i.Name && r.Version == i.Version && sameJSON(r.Spec, i.Spec) && !j.sentElse(call, i) {
					j.breaks("CONTACT", j.End, fmt.Sprintf("%s r%d was refused with %d at %.3f and is in force", i.Name, i.Version, call.Status, call.Sent.Seconds()))
				}
			}
		}
	}
	j.anew()
	j.unknown()
}

// unknown: a proxy that is out of contact for long does not say that there is no route, where one may have come since.
func (j *judge) unknown() {
	const known = 3 * time.Second // a proxy may take so long to see that it is out of contact
	for _, t := range j.Tries {
		if t.Status != 404 || !t.Complete {
			continue
		}
		_, vs := j.routeOf(t.Host, t.Path)
		if !slices.ContainsFunc(vs, func(v *version) bool { return !v.Dropped && v.acked > 0 && v.acked+j.Bounds.Apply+known < t.Sent }) ||
			slices.ContainsFunc(vs, func(v *version) bool { return v.Dropped }) {
			continue
		}
		for _, x := range j.Contact.Apart {
			if x.Machine == t.Machine && t.Sent > x.From+known+j.Bounds.Rollback && t.End < x.To {
				j.breaks("CONTACT", t.End, fmt.Sprintf("%s, out of contact since %.3f, said that there is no route", t.Machine, x.From.Seconds()), t.line())
			}
		}
	}
}

// sentElse reports whether another call carried the same item and was not refused.
func (j *judge) sentElse(not *Call, i Item) bool {
	return slices.ContainsFunc(j.Calls, func(c *Call) bool {
		return c != not && !(c.Acked == 0 && c.Status/100 == 4) && slices.ContainsFunc(c.Items, func(x Item) bool {
			return x.Kind == i.Kind && x.Name == i.Name && x.Version == i.Version
		})
	})
}

// anew looks at proxies that began anew.
func (j *judge) anew() {
	c := &j.Contact
	for _, t := range j.Tries {
		var life *Anew // the last that began before the try
		for k := range c.Anew {
			if a := &c.Anew[k]; a.Machine == t.Machine && a.At <= t.Sent && (life == nil || life.At < a.At) {
				life = a
			}
		}
		if life == nil {
			continue
		}
		ready := slices.ContainsFunc(c.Ready, func(r Ready) bool { return r.Machine == t.Machine && r.At > life.At && r.At < t.Sent })
		if !ready && !life.Reaches {
			continue
		}
		_, vs := j.routeOf(t.Host, t.Path)
		var floor *version
		for _, v := range vs {
			if v.acked > 0 && v.acked+j.Bounds.Apply < life.At {
				floor = v
			}
		}
		if floor == nil {
			continue
		}
		var how []string
		for _, r := range j.runs[t.ID] {
			how = append(how, r.Service)
		}
		if t.Status == 404 && t.Complete {
			how = append(how, "")
		}
		for _, service := range how {
			if !slices.ContainsFunc(vs, func(v *version) bool { return v.Version >= floor.Version && v.sent <= t.End && v.fits(service) }) {
				j.breaks("CONTACT", t.End, fmt.Sprintf("%s began anew at %.3f (ready: %v), %s r%d was acknowledged at %.3f, and it was handled as before: %s",
					t.Machine, life.At.Seconds(), ready, floor.Name, floor.Version, floor.acked.Seconds(), cmp.Or(strings.TrimSpace(service), "404")), t.line())
			}
		}
	}
}
