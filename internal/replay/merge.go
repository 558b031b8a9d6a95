package replay

import (
	"container/heap"
	"errors"
	"hash/fnv"
	"io"
	"time"

	"saltmast/internal/recording"
)

// Timed is an entry with the moment at which its request came.
type Timed struct {
	*recording.Entry
	Start time.Time
}

// MergeOptions say what of a recording is taken. Zero values stand for the defaults and for no bound.
type MergeOptions struct {
	Seed        uint64        // draws the moments within a clock's unit
	From, Until time.Time     // starts from From on and before Until
	Window      time.Duration // an entry may stand so much later in its source than one that started after it; 2 min
	Most        int           // entries of a source that are held at the most; 65,536
	Exact       bool          // starts are taken as they were written, with nothing drawn
}

const (
	defaultWindow = 2 * time.Minute
	defaultMost   = 1 << 16
)

// Left counts the entries that a Merger did not give as they stand.
type Left struct {
	Unreadable int `json:"unreadable"` // left out
	NoStart    int `json:"no_start"`   // left out: when they came is not known
	Cached     int `json:"cached"`     // left out: no server saw them
	Outside    int `json:"outside"`    // left out: before From, or from Until on
	Truncated  int `json:"truncated"`  // sources that were cut off
	Reordered  int `json:"reordered"`  // given with the start of the one before, since they stood too late in their source
	Spread     int `json:"spread"`     // given a moment within the unit of their clock
}

// Merger gives the entries of several sources as one stream in the order of their starts. Sources may overlap in time, as
// those of several gateways, or follow each other, as rotated logs. What it holds is bounded by Most for each source.
//
// A clock tells a moment to its unit alone: within it the moment is drawn, from the seed, the source and the line, so that
// reading a recording twice gives the same moments.
type Merger struct {
	o       MergeOptions
	streams []*stream
	last    time.Time
	begun   bool
	left    Left
}

// NewMerger returns a merger that has read nothing.
func NewMerger(o MergeOptions, sources ...recording.Reader) *Merger {
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	if o.Most == 0 {
		o.Most = defaultMost
	}
	m := &Merger{o: o}
	for _, s := range sources {
		m.streams = append(m.streams, &stream{in: s})
	}
	return m
}

// Left tells what was left out or changed so far.
func (m *Merger) Left() Left { return m.left }

// Next gives the next entry. The end is io.EOF; any other error is one of reading a source.
func (m *Merger) Next() (Timed, error) {
	var first *stream
	for _, s := range m.streams {
		if err := m.settle(s); err != nil {
			return Timed{}, err
		}
		if len(s.held) > 0 && (first == nil || s.held[0].Start.Before(first.held[0].Start)) {
			first = s
		}
	}
	if first == nil {
		return Timed{}, io.EOF
	}
	e := heap.Pop(&first.held).(held).Timed
	if m.begun && e.Start.Before(m.last) {
		e.Start = m.last
		m.left.Reordered++
	}
	m.last, m.begun = e.Start, true
	return e, nil
}

// settle reads on until nothing that a source still brings can come before the first that is held.
func (m *Merger) settle(s *stream) error {
	for !s.ended && len(s.held) < m.o.Most && (len(s.held) == 0 || s.newest.Sub(s.held[0].Start) < m.o.Window) {
		e, err := s.in.Next()
		var bad *recording.LineError
		switch {
		case err == io.EOF:
			s.ended = true
			continue
		case errors.As(err, &bad):
			m.left.Unreadable++
			continue
		case errors.Is(err, recording.ErrTruncated):
			m.left.Truncated++
			s.ended = true
			continue
		case err != nil:
			return err
		}
		start, ok := e.Start()
		switch {
		case !ok || e.Stamp == recording.AtEnd && e.Duration < 0:
			m.left.NoStart++
			continue
		case e.Cached:
			m.left.Cached++
			continue
		}
		s.clock.Add(e.Resolution)
		// What a finer clock wrote without its zeros is no less exact; the first entries of a source can't tell yet.
		if unit := s.clock.Of(e.Resolution); unit > time.Microsecond && !m.o.Exact {
			start = start.Add(m.within(e, unit))
			m.left.Spread++
		}
		if start.Before(m.o.From) || !m.o.Until.IsZero() && !start.Before(m.o.Until) {
			m.left.Outside++
			continue
		}
		if start.After(s.newest) {
			s.newest = start
		}
		s.n++
		heap.Push(&s.held, held{Timed{e, start}, s.n})
	}
	return nil
}

// within is a moment of the unit of an entry's clock.
func (m *Merger) within(e *recording.Entry, unit time.Duration) time.Duration {
	h := fnv.New64a()
	var b [16]byte
	for i := range 8 {
		b[i], b[8+i] = byte(m.o.Seed>>(8*i)), byte(uint64(e.Line)>>(8*i))
	}
	h.Write(b[:])
	h.Write([]byte(e.Source))
	x := h.Sum64() // its high bits differ little from line to line: mixed as splitmix64 does
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return time.Duration(float64(x>>11) / (1 << 53) * float64(unit))
}

// stream is a source and what is held of it.
type stream struct {
	in     recording.Reader
	clock  recording.Clock
	held   heldHeap
	newest time.Time
	n      int64
	ended  bool
}

type held struct {
	Timed
	n int64
}

// heldHeap has the earliest start first, of two at one moment the one that was read first.
type heldHeap []held

func (h heldHeap) Len() int { return len(h) }
func (h heldHeap) Less(i, j int) bool {
	if h[i].Start.Equal(h[j].Start) {
		return h[i].n < h[j].n
	}
	return h[i].Start.Before(h[j].Start)
}
func (h heldHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *heldHeap) Push(x any)   { *h = append(*h, x.(held)) }
func (h *heldHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = held{}
	*h = old[:len(old)-1]
	return x
}
