// Package bodybuffer decides, without I/O, which bodies are kept in memory and which pass on as they come, under one account. A kept
// body can be sent again; one that passes is sent once. Start reading at Account.
package bodybuffer

import "sync"

const (
	// MaxBody is how many bytes a body may have, either way.
	MaxBody = 32 << 20
	// SmallBody is how many bytes a body may have to be kept whatever else is held: the bound on open requests bounds their sum.
	SmallBody = 64 << 10
	// part of the account that one body may take: a few large ones must not leave the others none.
	part = 8
	// GrowthStep is by how much a body of unknown length asks for more.
	GrowthStep = 64 << 10
)

// Budget is what may be held of bodies over Small. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limit    int64 // bytes
	held     int64
	passing  int // bodies that pass just now
	passings int // of these at the most; 0: no bound
}

// New returns an account of so many bytes. passings bounds the bodies that pass at once: each holds a connection at both
// sides for as long as it takes, and short requests need some too. 0: no bound.
func New(limit int64, passings int) *Budget { return &Budget{limit: limit, passings: passings} }

// Resize sets other bounds. What is held stays until it is given back.
func (a *Budget) Resize(limit int64, passings int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit, a.passings = limit, passings
}

// Usage is how many bytes are held, and how many bodies pass.
func (a *Budget) Usage() (bytes int64, passing int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held, a.passing
}

// Mode is what becomes of a body.
type Mode int

const (
	Buffered Mode = iota // whole in memory before its request goes on: it can be sent again
	Streamed             // as it comes, once
	TooLarge             // over Most: turned away before it is read
)

// Reservation is one body's part of the account.
type Reservation struct {
	a      *Budget
	bytes  int64 // beyond Small, taken from the account
	passes bool
}

// Reserve decides for a body of a told length; -1: not told, and it is kept until Grow says no.
func (a *Budget) Reserve(length int64) (*Reservation, Mode) {
	h := &Reservation{a: a}
	switch {
	case length > MaxBody:
		return h, TooLarge
	case length > SmallBody && !h.take(length-SmallBody):
		return h, Streamed
	}
	return h, Buffered
}

// Grow asks for room for a body that has grown to so many bytes. TooLarge: it may not be so long. Passed: there is none, and it
// goes on as it comes.
func (h *Reservation) Grow(to int64) Mode {
	switch {
	case to > MaxBody:
		return TooLarge
	case to-SmallBody > h.bytes && !h.take(to-SmallBody-h.bytes):
		return Streamed
	}
	return Buffered
}

func (h *Reservation) take(bytes int64) bool {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	if h.bytes+bytes > h.a.limit/part || h.a.held+bytes > h.a.limit {
		return false
	}
	h.a.held += bytes
	h.bytes += bytes
	return true
}

// Stream says that the body goes on as it comes; false: too many do already.
func (h *Reservation) Stream() bool {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	if !h.passes && h.a.passings > 0 && h.a.passing >= h.a.passings {
		return false
	}
	if !h.passes {
		h.passes = true
		h.a.passing++
	}
	return true
}

// Release gives back what is held. It may be called more than once.
func (h *Reservation) Release() {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	h.a.held -= h.bytes
	h.bytes = 0
	if h.passes {
		h.a.passing--
	}
	h.passes = false
}
