package requestlog

import "time"

// Policy says what becomes of requests that must be recorded while the journal can't be written.
type Policy int

// Policies.
const (
	Refuse          Policy = iota // refused at once, nothing sent, with when to come back
	ServeUnrecorded               // served, and counted: the count is recorded as a gap as soon as it can be
)

// Verdict is what becomes of one request.
type Verdict int

// Verdicts.
const (
	Record Verdict = iota
	TurnAway
	Unrecorded
)

// Gate decides what becomes of requests while the journal can't be written, and when that is tried again. It is not safe
// for use by many.
type Gate struct {
	Policy Policy

	down  bool
	why   string
	since time.Time
	next  time.Time // the next try
	pause time.Duration
	gap   Gap
}

// Pauses between tries to write again.
const (
	firstPause = 250 * time.Millisecond
	longPause  = 5 * time.Second
)

// Fail says that the journal can't be written. Each failure in a row doubles the pause before the next try.
func (g *Gate) Fail(now time.Time, why string) {
	if !g.down {
		g.down, g.since, g.pause = true, now, firstPause
	} else {
		g.pause = min(2*g.pause, longPause)
	}
	g.why, g.next = why, now.Add(g.pause)
}

// Mend says that it can be written again.
func (g *Gate) Mend() { g.down = false }

// Pending gives the gap to record now, if there is one. Until Recorded says that it is on disk it is given again.
func (g *Gate) Pending() (Gap, bool) { return g.gap, !g.down && g.gap.Count > 0 }

// Recorded says that a gap that Pending gave is on disk.
func (g *Gate) Recorded(gap Gap) {
	if g.gap.Count -= min(g.gap.Count, gap.Count); g.gap.Count == 0 {
		g.gap = Gap{}
	} else {
		g.gap.From = gap.To
	}
}

// Down reports whether the journal can't be written, why, and since when.
func (g *Gate) Down() (why string, since time.Time, down bool) { return g.why, g.since, g.down }

// Due reports whether to try to write again now, and else how long to wait.
func (g *Gate) Due(now time.Time) (time.Duration, bool) {
	if !g.down {
		return 0, false
	}
	if wait := g.next.Sub(now); wait > 0 {
		return wait, false
	}
	return 0, true
}

// Admit says what becomes of a request, and for one that is turned away when to come back.
func (g *Gate) Admit(now time.Time) (Verdict, time.Duration) {
	switch {
	case !g.down:
		return Record, 0
	case g.Policy == ServeUnrecorded:
		g.Missed(now, g.why)
		return Unrecorded, 0
	}
	return TurnAway, max(firstPause, g.next.Sub(now))
}

// Missed counts a request that goes out unrecorded.
func (g *Gate) Missed(now time.Time, why string) {
	if g.gap.Count == 0 {
		g.gap.From, g.gap.Why = now, why
	}
	g.gap.To = now
	g.gap.Count++
}
