package log

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"time"

	"saltmast/internal/requestlog"
)

// Report is what reading a journal found.
type Report struct {
	Segments []SegmentReport   `json:"segments"`
	Losses   []requestlog.Loss `json:"losses,omitempty"`
	Bytes    int64             `json:"bytes"`   // of the files
	Records  int               `json:"records"` // that could be read
	Newer    int               `json:"newer"`   // that a newer program wrote
	Certain  bool              `json:"certain"` // nothing that was on disk is missing
}

// SegmentReport is what reading one segment found.
type SegmentReport struct {
	Name     string    `json:"name"`
	Number   uint64    `json:"number"`
	Bytes    int64     `json:"bytes"`
	Used     int64     `json:"used"` // up to the end of the last record
	Records  int       `json:"records"`
	Made     time.Time `json:"made"`
	Torn     bool      `json:"torn,omitempty"`    // its end was being written: nothing there was acted on
	Damaged  int64     `json:"damaged,omitempty"` // the byte where damage begins; 0: none
	Poisoned bool      `json:"poisoned,omitempty"`
	Note     string    `json:"note,omitempty"`
}

// Read puts all that a folder's journal says into a book, in order, beside a writer or not. It holds one segment at a
// time in memory. An error means that the folder can't be read at all; damage is in the report and the book.
func Read(fsys FS, book *requestlog.Book) (*Report, error) {
	return ReadBefore(context.Background(), fsys, 1<<32, book)
}

// ReadBefore reads the segments below a number, until ctx ends: see Read.
func ReadBefore(ctx context.Context, fsys FS, below uint64, book *requestlog.Book) (*Report, error) {
	names, err := segments(fsys)
	if err != nil {
		return nil, err
	}
	names = slices.DeleteFunc(names, func(i Info) bool { n, _ := number(i.Name); return n >= below })
	rep := &Report{}
	var prev *segment
	var lastAt time.Time            // of the last record that was read
	var damagedEnd *requestlog.Loss // of the segment before
	lose := func(l requestlog.Loss) {
		rep.Losses = append(rep.Losses, l)
		book.Lost(l)
	}
	for i, info := range names {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		b, err := fsys.ReadFile(info.Name)
		if errors.Is(err, fs.ErrNotExist) { // retention took it meanwhile, and all before
			prev = nil
			continue
		}
		if err != nil {
			return nil, err
		}
		s := readSegment(info.Name, b)
		sr := SegmentReport{Name: s.name, Number: s.number, Bytes: s.size, Used: s.used, Records: len(s.records), Made: s.head.made}
		rep.Bytes += s.size
		if prev != nil && s.number != prev.number+1 {
			lose(requestlog.Loss{Segment: prev.number + 1, After: lastAt, Before: s.head.made,
				Describe: fmt.Sprintf("%d segments are missing", s.number-prev.number-1)})
		}
		if s.err != nil {
			var h *headerError
			errors.As(s.err, &h)
			sr.Note = s.err.Error()
			if blank(b) && i == len(names)-1 {
				sr.Note, sr.Torn = "made and never written to", true
			} else {
				lose(requestlog.Loss{Segment: s.number, After: lastAt, Newer: h.newer, Describe: s.err.Error()})
			}
			rep.Segments = append(rep.Segments, sr)
			prev = s
			continue
		}
		// What the segment says of the one before: how much of it was on disk for certain.
		known, poisoned := uint32(0), false
		if len(s.records) > 0 {
			switch r, _ := requestlog.Decode(s.records[0].payload); r := r.(type) {
			case *requestlog.Follows:
				known, poisoned = r.Stable, r.Poisoned
				if prev != nil && r.Prev == prev.number && prev.err == nil && prev.count() < known { // it went on while it was read
					if b, err := fsys.ReadFile(prev.name); err == nil {
						again := readSegment(prev.name, b)
						for _, r := range again.records {
							if again.err != nil || r.place < prev.count() {
								continue
							}
							if record, err := requestlog.Decode(r.payload); err == nil {
								rep.Records++
								book.Put(prev.number<<32|uint64(r.place), record)
								lastAt = requestlog.At(record)
							}
						}
						prev = again
					}
				}
				if prev != nil && r.Prev == prev.number {
					if poisoned && prev.err == nil && prev.count() >= known {
						damagedEnd = nil // its writer knew of no more
					}
					rep.tail(prev, known, lastAt, r.At, lose)
				}
			case *requestlog.Start:
				if prev != nil && r.Prev == prev.number {
					rep.tail(prev, r.Found, lastAt, r.At, lose)
				}
			}
		}
		if damagedEnd != nil {
			damagedEnd.Before = s.head.made
			lose(*damagedEnd)
			damagedEnd = nil
		}
		if poisoned && len(rep.Segments) > 0 {
			rep.Segments[len(rep.Segments)-1].Poisoned = true
		}
		holes := s.holes
		for _, r := range s.records {
			record, err := requestlog.Decode(r.payload)
			at := lastAt
			if err == nil {
				at = requestlog.At(record)
			}
			for len(holes) > 0 && r.place >= holes[0].to { // the record behind a hole
				h := holes[0]
				holes = holes[1:]
				n := lost(h.from, h.to, s.stable)
				if !h.torn { // written whole, and damaged since
					n = h.to - h.from
				}
				if n > 0 {
					if sr.Damaged == 0 {
						sr.Damaged = h.offset
					}
					lose(requestlog.Loss{Segment: s.number, Offset: h.offset, Records: n, After: lastAt, Before: at, Describe: "damaged"})
				} else {
					sr.Torn = true
				}
			}
			switch {
			case errors.Is(err, requestlog.ErrNewer):
				rep.Newer++
				lose(requestlog.Loss{Segment: s.number, Offset: r.offset, Records: 1, After: lastAt, Before: lastAt, Newer: true, Describe: "a record of a newer program"})
			case err != nil:
				if sr.Damaged == 0 {
					sr.Damaged = r.offset
				}
				lose(requestlog.Loss{Segment: s.number, Offset: r.offset, Records: 1, After: lastAt, Before: lastAt, Describe: err.Error()})
			default:
				rep.Records++
				book.Put(s.number<<32|uint64(r.place), record)
				lastAt = at
			}
		}
		if n := lost(s.count(), s.stable, s.stable); n > 0 { // can't be: a record names it that comes later
			lose(requestlog.Loss{Segment: s.number, Offset: s.used, Records: n, After: lastAt, Describe: "cut off"})
		}
		sr.Torn = sr.Torn || s.torn
		if s.damaged {
			if sr.Damaged == 0 {
				sr.Damaged = s.used
			}
			if len(s.records) > 0 { // without one it was given up before it was begun
				damagedEnd = &requestlog.Loss{Segment: s.number, Offset: s.used, After: lastAt, Describe: "its last record can't be read"}
			}
		}
		rep.Segments = append(rep.Segments, sr)
		prev = s
	}
	if damagedEnd != nil {
		lose(*damagedEnd)
	}
	rep.Certain = len(rep.Losses) == 0
	return rep, nil
}

// tail tells of records at a segment's end that were on disk, as the next one says, and are not there.
func (rep *Report) tail(prev *segment, known uint32, after, before time.Time, lose func(requestlog.Loss)) {
	if prev.err != nil || prev.count() >= known {
		return
	}
	if last := &rep.Segments[len(rep.Segments)-1]; last.Damaged == 0 {
		last.Damaged = prev.used
	}
	lose(requestlog.Loss{Segment: prev.number, Offset: prev.used, Records: known - prev.count(), After: after, Before: before, Describe: "cut off"})
}

// lost is how many of the places from one to another were on disk for certain.
func lost(from, to, stable uint32) uint32 {
	if to = min(to, stable); to > from {
		return to - from
	}
	return 0
}

// blank reports whether a segment was made and never got its header.
func blank(b []byte) bool { return len(b) < headerLen || zero(b[:headerLen]) }
