// Package pacing implements egress traffic shaping for a link of known bandwidth: large messages are sent no faster than the link
// transmits them, so that they do not fill its queue ahead of small ones. Start reading at Pacer.
package pacing

import (
	"io"
	"sync"
	"time"
)

const (
	// chunkBytes is how much of a large message is sent at once. A message up to this size is sent without waiting.
	chunkBytes = 8 << 10
	// usableBandwidth is the part of the bandwidth that messages may use: the rest is for packet headers and for other traffic of
	// the machine.
	usableBandwidth = 0.9
	// maxBacklog is how much may wait in the link's own queue, as the time that it takes to send it.
	maxBacklog = 10 * time.Millisecond
)

// Pacer accounts for what all writers send over one link. The zero value and a nil Pacer pace nothing. It is safe for concurrent use.
type Pacer struct {
	secondsPerByte float64 // transmission time on the link; 0: not paced

	mu     sync.Mutex
	freeAt time.Time // when the link will have sent all that was reserved
}

// New returns a Pacer for a link of a bandwidth in megabits (10^6) per second. 0 or less means unknown: nothing is paced.
func New(megabitsPerSecond float64) *Pacer {
	if megabitsPerSecond <= 0 {
		return &Pacer{}
	}
	return &Pacer{secondsPerByte: 8 / (usableBandwidth * megabitsPerSecond * 1e6)}
}

// Writer returns a writer to w that paces messages. Each chunk of a message larger than chunkBytes waits until the link has sent all
// but a short backlog of what was written before. Smaller messages are counted and do not wait. Deadlines of w apply to the writes
// to it, but not to the waits between them.
func (p *Pacer) Writer(w io.Writer) io.Writer {
	if p == nil || p.secondsPerByte == 0 {
		return w
	}
	return &writer{p, w}
}

type writer struct {
	pacer *Pacer
	w     io.Writer
}

// Write implements io.Writer.
func (w *writer) Write(b []byte) (n int, err error) {
	if len(b) <= chunkBytes {
		w.pacer.reserve(len(b), time.Now())
		return w.w.Write(b)
	}
	for n < len(b) && err == nil {
		chunk := b[n:min(n+chunkBytes, len(b))]
		if wait := w.pacer.reserve(len(chunk), time.Now()); wait > 0 {
			time.Sleep(wait)
		}
		var k int
		k, err = w.w.Write(chunk)
		n += k
	}
	return n, err
}

// reserve reserves the link for n bytes, behind earlier reservations, and returns how long to wait before sending them.
func (p *Pacer) reserve(n int, now time.Time) (wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	wait = p.freeAt.Sub(now) - maxBacklog
	p.freeAt = p.freeAt.Add(time.Duration(float64(n) * p.secondsPerByte * float64(time.Second)))
	return max(0, wait)
}
