package checker

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Broken is one breach of a rule.
type Broken struct {
	Rule  string
	At    time.Duration
	Lines []string
}

func (b Broken) String() string {
	return fmt.Sprintf("%s at %.3f s:\n  %s", b.Rule, b.At.Seconds(), strings.Join(b.Lines, "\n  "))
}

// judge is a day under judgement.
type judge struct {
	*Log
	byID   map[string]*Try
	runs   map[string][]*Run // by id, those that ran
	ofKey  map[string][]*Run // by the key of their try
	routes map[string][]*version
	broken []Broken
}

// version is one version of a route that may be in force.
type version struct {
	Item
	sent  time.Duration
	acked time.Duration // 0: never
}

const far = time.Duration(1) << 60

// Judge tells what was broken, the first first. The day is over: nothing is added any more.
func Judge(l *Log) []Broken {
	j := &judge{Log: l, byID: map[string]*Try{}, runs: map[string][]*Run{}, ofKey: map[string][]*Run{}, routes: map[string][]*version{}}
	for _, t := range l.Tries {
		j.byID[t.ID] = t
	}
	for _, r := range l.Runs {
		if !r.Declined {
			j.runs[r.ID] = append(j.runs[r.ID], r)
			if t := j.byID[r.ID]; t != nil && t.Key != "" {
				j.ofKey[t.Key] = append(j.ofKey[t.Key], r)
			}
		}
	}
	for _, c := range l.Calls {
		if c.Invalid || c.Acked == 0 && c.Status/100 == 4 && c.Status != 408 && c.Status != 429 {
			continue
		}
		for _, i := range c.Items {
			if i.Kind != "routes" {
				continue
			}
			vs := j.routes[i.Name]
			at := slices.IndexFunc(vs, func(v *version) bool { return v.Version == i.Version })
			if at < 0 {
				vs = append(vs, &version{Item: i, sent: c.Sent})
				at = len(vs) - 1
			}
			if c.Acked > 0 && (vs[at].acked == 0 || c.Acked < vs[at].acked) {
				vs[at].acked = c.Acked
			}
			j.routes[i.Name] = vs
		}
	}
	for _, vs := range j.routes {
		sort.Slice(vs, func(a, b int) bool { return vs[a].Version < vs[b].Version })
	}
	for _, f := range []func(){j.twice, j.refused, j.mixed, j.unasked, j.config, j.readBack, j.drain, j.budget, j.gone, j.lost, j.recovered, j.served, j.acked, j.contact, j.numbers} {
		f()
	}
	sort.SliceStable(j.broken, func(a, b int) bool { return j.broken[a].At < j.broken[b].At })
	return j.broken
}

func (j *judge) breaks(rule string, at time.Duration, lines ...string) {
	j.broken = append(j.broken, Broken{rule, at, lines})
}

func (t *Try) line() string {
	end := fmt.Sprintf("%.4f status %d", t.End.Seconds(), t.Status)
	switch {
	case t.Status == 0 && t.GaveUp:
		end = fmt.Sprintf("%.4f given up", t.End.Seconds())
	case t.Status == 0:
		end = fmt.Sprintf("%.4f closed", t.End.Seconds())
	case !t.Complete:
		end += " cut off"
	}
	key := ""
	if t.Key != "" {
		key = " key " + t.Key
	}
	return fmt.Sprintf("try %s%s %s %s %s at %s: %.4f -> %s", t.ID, key, t.Kind, t.Method, t.Path, t.Machine, t.Sent.Seconds(), end)
}

func (r *Run) line() string {
	what := fmt.Sprintf("status %d", r.Status)
	switch {
	case r.Declined:
		what = fmt.Sprintf("declined %d", r.Status)
	case r.Dropped:
		what = "dropped"
	case r.Broke:
		what += " broken off"
	case !r.Done:
		what = "no end"
	}
	return fmt.Sprintf("run %s of %s at %s %s: %.4f -> %.4f %s seal %s", r.ID, r.Path, r.Service, r.Instance, r.At.Seconds(), r.End.Seconds(), what, r.Seal)
}

func lines(ts []*Try, rs []*Run) (out []string) {
	for _, t := range ts {
		if t != nil {
			out = append(out, t.line())
		}
	}
	for _, r := range rs {
		out = append(out, r.line())
	}
	return out
}

func repeatable(kind string) bool { return kind == "idempotent" || kind == "egress" }

// promised reports whether a status promises that nothing ran.
func promised(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// twice: what may run once ran once, by try and by key.
func (j *judge) twice() {
	for id, rs := range j.runs {
		t := j.byID[id]
		if t == nil {
			continue
		}
		if len(rs) > 1 && !repeatable(t.Kind) {
			j.breaks("TWICE", rs[1].At, lines([]*Try{t}, rs)...)
		}
	}
	for _, rs := range j.ofKey {
		rs = slices.Clone(rs)
		sort.Slice(rs, func(a, b int) bool { return rs[a].At < rs[b].At })
		for k := 1; k < len(rs); k++ {
			first, t := j.byID[rs[k-1].ID], j.byID[rs[k].ID]
			if first != t && rs[k].At < first.Sent+j.Bounds.Dedup {
				j.breaks("TWICE", rs[k].At, lines([]*Try{first, t}, rs)...)
				break
			}
		}
	}
}

// refused: a promise that nothing ran is kept.
func (j *judge) refused() {
	for _, t := range j.Tries {
		if promised(t.Status) && !repeatable(t.Kind) && len(j.runs[t.ID]) > 0 {
			j.breaks("REFUSED", t.End, lines([]*Try{t}, j.runs[t.ID])...)
		}
	}
}

// mixed: a success is the backend's own, whole, and answers the request.
func (j *judge) mixed() {
	for _, t := range j.Tries {
		if t.Extra != "" {
			j.breaks("MIXED", t.End, t.line(), t.Extra)
			continue
		}
		if t.Status/100 != 2 || !t.Complete {
			continue
		}
		rs := j.runs[t.ID]
		if t.Key != "" {
			rs = j.ofKey[t.Key]
		}
		good := t.Seal != "" && slices.ContainsFunc(rs, func(r *Run) bool {
			return r.Seal == t.Seal && r.Sent == t.Got && r.Status == t.Status
		})
		if good && t.Key == "" && t.AnswerTo != t.ID {
			good = false
		}
		if !good {
			j.breaks("MIXED", t.End, append([]string{fmt.Sprintf("seal %q, body %s, answer to %s", t.Seal, t.Got, t.AnswerTo)}, lines([]*Try{t}, rs)...)...)
		}
	}
}

// unasked: what runs was sent so by a client.
func (j *judge) unasked() {
	for _, r := range j.Runs {
		if r.Declined {
			continue
		}
		t := j.byID[r.ID]
		switch {
		case t == nil:
			j.breaks("UNASKED", r.At, "no client sent this", r.line())
		case t.Method != r.Method || t.Path != r.Path || t.Body != r.Body || t.Host != r.Host || t.Key != r.Key:
			j.breaks("UNASKED", r.At, "changed on its way", t.line(), r.line(), fmt.Sprintf("sent %s %s %s, ran %s %s %s", t.Host, t.Method, t.Body, r.Host, r.Method, r.Body))
		case t.Rude:
			j.breaks("UNASKED", r.At, "its body never came whole", t.line(), r.line())
		case t.Caller != r.Caller:
			j.breaks("UNASKED", r.At, fmt.Sprintf("caller %q, but %q", r.Caller, t.Caller), t.line(), r.line())
		}
	}
}

// ---- In touch ----

// calm reports whether a machine's processes ran well through the contact time before t. lasting: until end.
func (j *judge) calm(machine string, t, end time.Duration) bool {
	for _, x := range j.Troubles {
		if x.Machine == machine && !x.Backend && x.From < end && x.To > t-j.Bounds.Contact {
			return false
		}
	}
	return true
}

// settled reports whether the core is.
func (j *judge) settled(t, end time.Duration) bool {
	out := 0
	for _, x := range j.Troubles {
		if !x.Core {
			continue
		}
		for _, edge := range []time.Duration{x.From, x.To} {
			if edge > t-j.Bounds.Contact && edge <= end {
				return false
			}
		}
		if x.From <= t && x.To > t {
			out++
		}
	}
	return 2*out < cmp.Or(j.Core, 3)
}

func (j *judge) inTouch(machine string, t, end time.Duration) bool {
	return j.calm(machine, t, end) && j.settled(t, end)
}

// lifeOf numbers the lives of a machine's processes.
func (j *judge) lifeOf(machine string, t time.Duration) (n int) {
	for _, x := range j.Troubles {
		if x.Machine == machine && !x.Backend && x.From <= t && (strings.Contains(x.Kind, "kill") || strings.Contains(x.Kind, "power") || x.Planned) {
			n++
		}
	}
	return n
}

// ---- Configuration ----

// routeOf is the route whose prefix begins a path: the days give each its own.
func (j *judge) routeOf(host, path string) (name string, vs []*version) {
	for n, v := range j.routes {
		for _, x := range v {
			if !x.Dropped && x.Host == host && strings.HasPrefix(path, x.Prefix) {
				return n, v
			}
		}
	}
	return "", nil
}

// fits reports whether a version allows what became of a request. service: that ran it; empty: it got 404.
func (v *version) fits(service string) bool {
	if service == "" {
		return v.Dropped
	}
	return !v.Dropped && slices.Contains(v.Services, service)
}

// handled is what became of one request: it ran at a service, or found no route.
type handled struct {
	t       *Try
	at      time.Duration
	service string
}

// config: newer versions come into force in time, nothing goes back, and only what was ever sent is in force.
func (j *judge) config() {
	var all []handled
	for _, t := range j.Tries {
		for _, r := range j.runs[t.ID] {
			all = append(all, handled{t, r.At, r.Service})
		}
		if t.Status == 404 && t.Complete {
			all = append(all, handled{t, t.End, ""})
		}
	}
	sort.SliceStable(all, func(a, b int) bool { return all[a].at < all[b].at })
	type place struct {
		machine string
		life    int
		route   string
	}
	type proof struct {
		h       handled
		version int
	}
	proved := map[place][]proof{}
	for _, h := range all {
		name, vs := j.routeOf(h.t.Host, h.t.Path)
		what := "404"
		if h.service != "" {
			what = "run by " + h.service
		}
		if vs == nil {
			if h.service != "" {
				j.breaks("ROUTE", h.at, "no route was ever sent for it, "+what, h.t.line())
			}
			continue
		}
		// Versions that may be in force; 0 stands for none at all.
		floor := 0
		var ackedAt time.Duration
		for _, v := range vs {
			if v.acked > 0 && v.acked+j.Bounds.Apply < h.t.Sent && v.Version > floor {
				floor, ackedAt = v.Version, v.acked
			}
		}
		low, high, allowed := -1, -1, false
		if h.service == "" {
			low, high, allowed = 0, 0, floor == 0
		}
		for _, v := range vs {
			if v.sent > h.at || !v.fits(h.service) {
				continue
			}
			if low < 0 {
				low = v.Version
			}
			high = v.Version
			allowed = allowed || v.Version >= floor
		}
		if high < 0 {
			j.breaks("ROUTE", h.at, fmt.Sprintf("route %s never allowed it, %s", name, what), h.t.line())
			continue
		}
		if !allowed && j.inTouch(h.t.Machine, h.t.Sent, h.at) {
			j.breaks("CONFIG", h.at, fmt.Sprintf("late: route %s at r%d acknowledged at %.3f, %s as r%d has it", name, floor, ackedAt.Seconds(), what, high), h.t.line())
		}
		p := place{h.t.Machine, j.lifeOf(h.t.Machine, h.t.Sent), name}
		for _, x := range proved[p] {
			if high < x.version && h.t.Sent > x.h.at+j.Bounds.Rollback {
				j.breaks("CONFIG", h.at, fmt.Sprintf("back: route %s was at r%d, then %s as r%d has it", name, x.version, what, high), x.h.t.line(), h.t.line())
				break
			}
		}
		if h.service != "" && low > 0 {
			proved[p] = append(proved[p], proof{h, low})
		}
	}
	for _, c := range j.Calls {
		if c.Taken > 0 && c.Refused > 0 {
			j.breaks("CONFIG", max(c.Taken, c.Refused), fmt.Sprintf("resent: acknowledged at %.3f and refused at %.3f, sent first at %.3f, last status %d: %+v",
				c.Taken.Seconds(), c.Refused.Seconds(), c.Sent.Seconds(), c.Status, c.Items))
		}
		if c.Invalid && c.Acked > 0 {
			j.breaks("CONFIG", c.Acked, fmt.Sprintf("an invalid call was acknowledged: %+v", c.Items))
		}
	}
}

// readBack: what was acknowledged is there at the end.
func (j *judge) readBack() {
	if !j.ReadOK {
		j.breaks("CONFIG", j.End, "no answer when read back")
		return
	}
	type key struct{ kind, name string }
	type sent struct {
		Item
		acked bool
	}
	of := map[key][]sent{}
	invalid := map[string]bool{}
	for _, c := range j.Calls {
		for _, i := range c.Items {
			if c.Invalid {
				invalid[i.Spec] = true
				continue
			}
			of[key{i.Kind, i.Name}] = append(of[key{i.Kind, i.Name}], sent{i, c.Acked > 0})
		}
	}
	read := map[key]Item{}
	for _, i := range j.Read {
		read[key{i.Kind, i.Name}] = i
	}
	for k, all := range of {
		newest := 0
		for _, s := range all {
			if s.acked {
				newest = max(newest, s.Version)
			}
		}
		got, there := read[k]
		good := false
		for _, s := range all {
			if s.Version >= newest && (s.Dropped && !there || !s.Dropped && there && s.Version == got.Version && sameJSON(s.Spec, got.Spec)) {
				good = true
			}
		}
		if !good && newest > 0 {
			j.breaks("CONFIG", j.End, fmt.Sprintf("read back: %s %s was acknowledged at r%d, there: %v r%d", k.kind, k.name, newest, there, got.Version), got.Spec)
		}
	}
	for k, i := range read {
		rightly := slices.ContainsFunc(of[k], func(s sent) bool { return s.Version == i.Version && s.Spec == i.Spec }) // in another call as well
		if of[k] == nil || invalid[i.Spec] && !rightly {
			j.breaks("CONFIG", j.End, fmt.Sprintf("read back: %s %s was refused or never sent", k.kind, k.name), i.Spec)
		}
	}
}

// ---- The rest ----

// drain: nothing reaches a backend that said long ago that it leaves.
func (j *judge) drain() {
	for _, x := range j.Leaves {
		for _, r := range j.Runs {
			t := j.byID[r.ID]
			if r.Instance != x.Instance || r.At <= x.At+j.Bounds.Drain || r.Status == 421 || t == nil {
				continue
			}
			if j.inTouch(t.Machine, x.At, r.At) && j.inTouch(x.Machine, x.At, r.At) {
				j.breaks("DRAIN", r.At, fmt.Sprintf("%s was acknowledged to leave at %.3f", x.Instance, x.At.Seconds()), t.line(), r.line())
			}
		}
	}
}

// budget: further arrivals stay within the ration, in every window.
func (j *judge) budget() {
	type event struct {
		at                  time.Duration
		first, repeat, call int
	}
	of := map[string][]event{}
	seen := map[string]bool{}
	again := map[*Run]bool{} // what its calls bring is repeated with it
	all := slices.Clone(j.Runs)
	sort.SliceStable(all, func(a, b int) bool { return all[a].At < all[b].At })
	for _, r := range all {
		t := j.byID[r.ID]
		called := t != nil && t.Of != nil && again[t.Of]
		switch {
		case called:
			of[r.Service] = append(of[r.Service], event{at: r.At, repeat: 1, call: 1})
		case seen[r.ID]:
			of[r.Service] = append(of[r.Service], event{at: r.At, repeat: 1})
		}
		again[r] = seen[r.ID] || called
		seen[r.ID] = true
	}
	for _, t := range j.Tries {
		if t.Of != nil {
			continue // requests are what clients send
		}
		if _, vs := j.routeOf(t.Host, t.Path); vs != nil {
			named := map[string]bool{}
			for _, v := range vs {
				for _, s := range v.Services {
					if !named[s] && v.sent <= t.Sent {
						named[s] = true
						of[s] = append(of[s], event{at: t.Sent, first: 1})
					}
				}
			}
		}
	}
	for service, es := range of {
		sort.SliceStable(es, func(a, b int) bool { return es[a].at < es[b].at })
		count := func(from, to time.Duration) (first, repeat, call int) {
			for _, e := range es {
				if e.at > from && e.at <= to {
					first, repeat, call = first+e.first, repeat+e.repeat, call+e.call
				}
			}
			return
		}
		w := j.Bounds.Window
		for _, e := range es {
			if e.repeat == 0 {
				continue
			}
			first, repeat, call := count(e.at-w, e.at)
			if float64(repeat) <= j.Bounds.Allowance {
				continue
			}
			half, _, _ := count(e.at-w-w/2, e.at-w/2)
			before, _, _ := count(e.at-2*w, e.at-w)
			if most := j.Bounds.Ratio*float64(max(first, half, before)) + j.Bounds.Allowance; float64(repeat) > most {
				j.breaks("BUDGET", e.at, fmt.Sprintf("%s: %d further arrivals in %v (%d by calls of repeated runs), %.0f at most (%d requests)", service, repeat, w, call, most, first))
				break
			}
		}
	}
}

// lost: without unplanned trouble a request that was read gets its answer, planned stops included.
func (j *judge) lost() {
	for _, t := range j.Tries {
		if t.Direct || t.Whole == 0 || t.Complete && t.Status < 500 || t.GaveUp || t.End >= t.Deadline-5*time.Millisecond {
			continue
		}
		troubled, planned := false, false
		for _, x := range j.Troubles {
			if x.From <= t.End && x.To > t.Sent-j.Bounds.Contact {
				if x.Planned {
					planned = planned || x.Machine == t.Machine
				} else {
					troubled = true
				}
			}
		}
		rs := j.runs[t.ID]
		broke := slices.ContainsFunc(rs, func(r *Run) bool { return r.Broke || r.Status/100 == 5 })
		if troubled || broke {
			continue
		}
		switch {
		case !t.Complete && (len(rs) > 0 || t.End > t.Whole+j.Bounds.LossSlack):
			j.breaks("LOST", t.End, lines([]*Try{t}, rs)...)
		case planned && len(rs) > 0 && t.Complete && (t.Status == 500 || t.Status == 502 || t.Status == 504):
			j.breaks("LOST", t.End, append([]string{"broken off in a planned stop"}, lines([]*Try{t}, rs)...)...)
		}
	}
}

// recovered: after the closing fault requests are served again.
func (j *judge) recovered() {
	if j.Closing == 0 {
		return
	}
	part := func(from, to time.Duration) (n, good int) {
		for _, t := range j.Tries {
			if !t.Direct && t.Sent >= from && t.Sent < to {
				n++
				if t.Status/100 == 2 && t.Complete {
					good++
				}
			}
		}
		return
	}
	n, good := part(0, j.Closing)
	m, again := part(j.Back+j.Bounds.Recovery, far)
	if 4*good >= n && (4*again < m || m == 0) {
		j.breaks("RECOVER", j.Back+j.Bounds.Recovery, fmt.Sprintf("%d of %d served before the fault, %d of %d after it", good, n, again, m))
	}
}

// served: the part of requests that the day is to serve, and what is refused though it is proper.
func (j *judge) served() {
	n, good, denied := 0, 0, []*Try{}
	for _, t := range j.Tries {
		if t.Direct || t.Rude || t.Status == 409 { // the key is at work
			continue
		}
		n++
		if t.Status/100 == 2 && t.Complete {
			good++
		}
		if t.Status/100 == 4 && !promised(t.Status) && t.Status != 404 && j.inTouch(t.Machine, t.Sent, t.End) {
			denied = append(denied, t)
		}
	}
	if len(denied) > 5+n/500 {
		j.breaks("DENIED", denied[0].End, lines(denied[:5], nil)...)
	}
	if n == 0 || float64(good) < j.Floor*float64(n) {
		j.breaks("SERVED", j.End, fmt.Sprintf("%d of %d requests were served", good, n))
	}
}

// acked: a proper change is acknowledged while the core is settled.
func (j *judge) acked() {
	for _, c := range j.Calls {
		end := c.Sent + 5*time.Second
		if !c.Invalid && !c.Contest && c.Acked == 0 && end < j.End && j.settled(c.Sent, end) {
			j.breaks("ACK", end, fmt.Sprintf("sent at %.3f, last status %d: %+v", c.Sent.Seconds(), c.Status, c.Items))
		}
	}
}
