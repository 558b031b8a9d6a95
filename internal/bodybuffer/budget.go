// Package bodybuffer decides which bodies are buffered in memory and which are streamed, under one memory budget. A buffered body can
// be sent again; a streamed one is sent once. The package does no I/O. Start reading at Budget.
package bodybuffer

import "sync"

const (
	// MaxBody is the maximum size of a body in bytes, in either direction.
	MaxBody = 32 << 20
	// SmallBody is the size in bytes up to which a body is buffered without the budget: the bound on open requests bounds their sum.
	SmallBody = 64 << 10
	// maxShareDivisor limits one body to a part of the budget, 1/maxShareDivisor, so that a few large ones leave room for others.
	maxShareDivisor = 8
	// GrowthStep is how many more bytes a body of unknown length asks for at a time.
	GrowthStep = 64 << 10
)

// Budget bounds the bytes buffered of bodies over SmallBody, and the bodies streamed at once. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	limit      int64 // bytes
	used       int64 // bytes
	streams    int   // bodies being streamed
	maxStreams int   // 0: no limit
}

// New returns a budget of limit bytes. maxStreams bounds the bodies streamed at once: each occupies a connection on both sides for as
// long as it takes, and short requests need some too. 0: no bound.
func New(limit int64, maxStreams int) *Budget { return &Budget{limit: limit, maxStreams: maxStreams} }

// Resize sets new bounds. Existing reservations stay until they are released.
func (b *Budget) Resize(limit int64, maxStreams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit, b.maxStreams = limit, maxStreams
}

// Usage returns the bytes reserved and the number of bodies being streamed.
func (b *Budget) Usage() (bytes int64, streams int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.streams
}

// Mode is how a body is handled.
type Mode int

// The modes.
const (
	Buffered Mode = iota // read into memory as a whole before its request goes on: it can be sent again
	Streamed             // passed on as it arrives, once
	TooLarge             // over MaxBody: rejected before it is read
)

// Reservation is one body's share of the budget.
type Reservation struct {
	budget   *Budget
	bytes    int64 // beyond SmallBody, taken from the budget
	streamed bool
}

// Reserve decides on a body of a known length. With length -1 it is unknown, and the body is buffered until Grow refuses.
func (b *Budget) Reserve(length int64) (*Reservation, Mode) {
	r := &Reservation{budget: b}
	switch {
	case length > MaxBody:
		return r, TooLarge
	case length > SmallBody && !r.take(length-SmallBody):
		return r, Streamed
	}
	return r, Buffered
}

// Grow reserves room for a body that has grown to a number of bytes. It returns TooLarge if the body exceeds MaxBody, and Streamed if
// there is no room, so that the body must be streamed.
func (r *Reservation) Grow(to int64) Mode {
	switch {
	case to > MaxBody:
		return TooLarge
	case to-SmallBody > r.bytes && !r.take(to-SmallBody-r.bytes):
		return Streamed
	}
	return Buffered
}

func (r *Reservation) take(bytes int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.bytes+bytes > r.budget.limit/maxShareDivisor || r.budget.used+bytes > r.budget.limit {
		return false
	}
	r.budget.used += bytes
	r.bytes += bytes
	return true
}

// Stream marks the body as streamed; it returns false if too many are already.
func (r *Reservation) Stream() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.streamed && r.budget.maxStreams > 0 && r.budget.streams >= r.budget.maxStreams {
		return false
	}
	if !r.streamed {
		r.streamed = true
		r.budget.streams++
	}
	return true
}

// Release returns the reservation to the budget. It may be called more than once.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.bytes
	r.bytes = 0
	if r.streamed {
		r.budget.streams--
	}
	r.streamed = false
}
