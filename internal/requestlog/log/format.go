package log

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/requestlog"
)

// A segment is a header and records, each on a boundary of 8 bytes, and zeros behind the last:
//
//	header  0 "vlsettle"  8 version u16  10 length of the header u16  16 number u64  24 salt u64  32 made at i64  60 CRC-32C
//	record  0 mark u16  2 length of the payload u16  4 CRC-32C  8 place in the segment u32  12 stable u32  16 payload
//
// All numbers are little-endian. A record's sum covers the segment's salt and all of it but the sum. stable is how many
// records of the segment were on disk for certain when this one was written: whatever is missing below the greatest of
// them is damage, and what is missing above it was never acted on.
const (
	headerLen = 64
	recordLen = 16 // of a record's own head
	align     = 8
	version   = 1
	mark      = 0x5e77
	endMark   = 0xa5 // the last byte of a payload: a record without it was not written to its end
	maxLen    = 4096 // of a payload
	suffix    = ".seg"
	newSuffix = ".new"
	// MinSegment and MaxSegment bound the size of a segment, in bytes.
	MinSegment = 16 << 10
	MaxSegment = 64 << 20
)

var magic = []byte("vlsettle")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is a segment's.
type header struct {
	number uint64
	salt   uint64
	made   time.Time
}

func (h header) bytes() []byte {
	b := make([]byte, headerLen)
	copy(b, magic)
	binary.LittleEndian.PutUint16(b[8:], version)
	binary.LittleEndian.PutUint16(b[10:], headerLen)
	binary.LittleEndian.PutUint64(b[16:], h.number)
	binary.LittleEndian.PutUint64(b[24:], h.salt)
	binary.LittleEndian.PutUint64(b[32:], uint64(h.made.UnixNano()))
	binary.LittleEndian.PutUint32(b[60:], crc32.Checksum(b[:60], castagnoli))
	return b
}

// errNewer is that of a segment of a newer program; errHeader of one whose header is damaged.
type headerError struct {
	newer bool
	text  string
}

func (e *headerError) Error() string { return e.text }

func parseHeader(b []byte) (header, error) {
	if len(b) < headerLen || !bytes.Equal(b[:8], magic) {
		return header{}, &headerError{text: "no header of a segment"}
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v > version {
		return header{}, &headerError{newer: true, text: fmt.Sprintf("written by a newer program (version %d, this one reads up to %d)", v, version)}
	}
	if crc32.Checksum(b[:60], castagnoli) != binary.LittleEndian.Uint32(b[60:]) {
		return header{}, &headerError{text: "the header's sum is wrong"}
	}
	return header{number: binary.LittleEndian.Uint64(b[16:]), salt: binary.LittleEndian.Uint64(b[24:]),
		made: time.Unix(0, int64(binary.LittleEndian.Uint64(b[32:])))}, nil
}

func padded(n int) int { return (n + align - 1) &^ (align - 1) }

// sizeOf is what a record of that payload takes, its end mark included.
func sizeOf(payload int) int { return padded(recordLen + payload + 1) }

// outcomeSize is what an outcome takes.
var outcomeSize = int64(sizeOf(requestlog.OutcomeLen))

// appendRecord encodes a record behind b.
func appendRecord(b []byte, salt uint64, place, stable uint32, record any) []byte {
	at := len(b)
	b = append(b, make([]byte, recordLen)...)
	b = append(requestlog.Append(b, record), endMark)
	n := len(b) - at - recordLen
	head := b[at:]
	binary.LittleEndian.PutUint16(head[0:], mark)
	binary.LittleEndian.PutUint16(head[2:], uint16(n))
	binary.LittleEndian.PutUint32(head[8:], place)
	binary.LittleEndian.PutUint32(head[12:], stable)
	binary.LittleEndian.PutUint32(head[4:], sum(salt, head))
	return append(b, make([]byte, padded(n+recordLen)-n-recordLen)...)
}

func sum(salt uint64, record []byte) uint32 {
	var s [8]byte
	binary.LittleEndian.PutUint64(s[:], salt)
	c := crc32.Update(0, castagnoli, s[:])
	c = crc32.Update(c, castagnoli, record[:4])
	return crc32.Update(c, castagnoli, record[8:])
}

// raw is a record as it stands.
type raw struct {
	offset  int64
	place   uint32
	stable  uint32
	payload []byte
}

// readRecord reads the record at an offset. ok is false where there is none that is whole.
func readRecord(b []byte, at int64, salt uint64) (r raw, next int64, ok bool) {
	if at+recordLen > int64(len(b)) || binary.LittleEndian.Uint16(b[at:]) != mark {
		return r, 0, false
	}
	n := int64(binary.LittleEndian.Uint16(b[at+2:]))
	if n > maxLen || at+recordLen+n > int64(len(b)) {
		return r, 0, false
	}
	head := b[at : at+recordLen+n]
	if sum(salt, head) != binary.LittleEndian.Uint32(head[4:]) {
		return r, 0, false
	}
	if n == 0 {
		return r, 0, false
	}
	return raw{offset: at, place: binary.LittleEndian.Uint32(head[8:]), stable: binary.LittleEndian.Uint32(head[12:]), payload: head[recordLen : len(head)-1]},
		at + int64(padded(int(recordLen+n))), true
}

// hole is a stretch of a segment in which no record can be read, before the one of place `to`, or to the segment's end.
type hole struct {
	offset   int64
	from, to uint32 // places that are missing, from included
	torn     bool   // what stands there was being written
}

// segment is one that was read.
type segment struct {
	name    string
	number  uint64
	size    int64
	err     error // of the header: nothing else is known then
	head    header
	records []raw
	holes   []hole
	stable  uint32 // the greatest that a record names
	used    int64  // bytes up to the end of the last record
	torn    bool   // behind the last record stands one that was being written
	damaged bool   // or one that was written and can't be read
}

// readSegment reads all that can be read. Behind damage it goes on at the next record that is whole.
func readSegment(name string, b []byte) *segment {
	s := &segment{name: name, size: int64(len(b)), used: headerLen}
	s.number, _ = number(name)
	if s.head, s.err = parseHeader(b); s.err == nil && s.head.number != s.number {
		s.err = &headerError{text: fmt.Sprintf("its header says segment %d", s.head.number)}
	}
	if s.err != nil {
		return s
	}
	s.records = make([]raw, 0, len(b)/128+1)
	at, place := int64(headerLen), uint32(0)
	bad := int64(-1) // where a stretch without records begins
	for at+recordLen <= int64(len(b)) {
		r, next, ok := readRecord(b, at, s.head.salt)
		if !ok || r.place < place {
			if bad < 0 {
				bad = at
			}
			if bad == at && zero(b[at:]) { // the usual end
				break
			}
			at += align
			continue
		}
		if bad >= 0 || r.place != place {
			from := bad
			if from < 0 {
				from = at
			}
			s.holes = append(s.holes, hole{offset: from, from: place, to: r.place, torn: torn(b, from)})
			bad = -1
		}
		s.records = append(s.records, r)
		s.stable = max(s.stable, r.stable)
		at, place = next, r.place+1
		s.used = next
	}
	if s.used < int64(len(b)) && !zero(b[s.used:]) {
		s.torn = torn(b, s.used)
		s.damaged = !s.torn
	}
	return s
}

// sector is what a disk writes whole or not at all.
const sector = 512

// torn tells a record that was being written when the machine or the write stopped from one that was damaged later: of the
// former the end, or at least one sector, never came and is still zero. Where in doubt it is damage.
func torn(b []byte, at int64) bool {
	end := at + recordLen
	if end > int64(len(b)) {
		return false
	}
	switch {
	case binary.LittleEndian.Uint16(b[at:]) == mark:
		n := int64(binary.LittleEndian.Uint16(b[at+2:]))
		if end += n; n > maxLen || end > int64(len(b)) {
			return false
		}
		if b[end-1] == 0 {
			return true
		}
	case zero(b[at : at/sector*sector+sector]): // its head's sector never came
		return true
	default: // its first byte alone came, or its head is damaged
		return zero(b[at+1 : end])
	}
	for from := at; from < end; {
		to := min(end, from/sector*sector+sector)
		if zero(b[from:to]) {
			return true
		}
		from = to
	}
	return false
}

// count is how many records it has had as far as it shows.
func (s *segment) count() uint32 {
	if len(s.records) == 0 {
		return 0
	}
	return s.records[len(s.records)-1].place + 1
}

var zeros [4096]byte

func zero(b []byte) bool {
	for len(b) > 0 {
		n := min(len(b), len(zeros))
		if !bytes.Equal(b[:n], zeros[:n]) {
			return false
		}
		b = b[n:]
	}
	return true
}

func segmentName(n uint64) string { return fmt.Sprintf("%016x%s", n, suffix) }

// number is a segment's, by its name.
func number(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil && n > 0 && n < 1<<32
}

// segments are the names of a folder's, in order.
func segments(fs FS) ([]Info, error) {
	all, err := fs.List()
	if err != nil {
		return nil, err
	}
	var out []Info
	for _, f := range all {
		if _, ok := number(f.Name); ok {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}
