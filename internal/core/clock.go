package core

import "time"

// Clock is the loop's monotonic clock. It starts far above zero, since the module reads a start time
// of 0 as "long ago" and a backend may have started a while before this agent.
type Clock struct {
	base time.Time
	unix time.Duration // Unix time at base; fixed, so that one start time always converts to one value
}

// clockStart is where it begins.
const clockStart = 24 * time.Hour

// NewClock returns a clock that begins now.
func NewClock() Clock {
	now := time.Now()
	return Clock{base: now, unix: time.Duration(now.UnixNano())}
}

// At is the clock's value at t.
func (c Clock) At(t time.Time) time.Duration { return clockStart + t.Sub(c.base) }

// Now is the clock's value now.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// FromUnixMs converts a start time as discovery gives it; 0 means long ago and stays so.
func (c Clock) FromUnixMs(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, clockStart+time.Duration(ms*1e6)-c.unix)
}
