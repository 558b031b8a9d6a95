// Package recording reads what gateways recorded: HAR files and access logs, as one stream of entries in the order of their
// source, whatever the size of the files. It guesses nothing: what a source does not say is unknown in its entry, and a line
// that can't be read is an error that names it. What the entries mean together is package audit's affair. Start reading at Open.
package recording

import (
	"errors"
	"fmt"
	"time"
)

// Unknown stands for a duration that the source does not tell.
const Unknown = time.Duration(-1)

// Stamp says which moment of a request a source's time is of.
type Stamp int

// Moments.
const (
	AtStart  Stamp = iota // when it came
	AtEnd                 // when its answer had gone out
	AtEither              // the format does not tell
)

// Entry is one request as it was recorded.
type Entry struct {
	Source string // file name, - for standard input
	Line   int64  // of a log; of a HAR the entry's number. Counted from 1

	Time       time.Time     // as the source has it; zero: it has none
	Stamp      Stamp         // what Time is of
	Resolution time.Duration // of Time as it was written
	Zoned      bool          // the source names the zone of Time; else it was taken for UTC
	Duration   time.Duration // Unknown: not told; else below 0 where it ends before it starts

	Method string
	Host   string
	Path   string // with its query
	Proto  string
	Status int // 0: not told, or no answer

	Field  map[string]string // what else was recorded, by the names of its format; of a HAR the request's headers, in lower case
	Body   []byte            // of the request, MaxBody at the most
	Sent   int64             // bytes of the request's body; -1: not told
	Cached bool              // answered by the browser's own cache: no server saw it
	Failed bool              // it was aborted: there was no answer
}

// MaxBody is how much of a request's body is kept, in bytes.
const MaxBody = 64 << 10

// Start is when the request came, if the source tells.
func (e *Entry) Start() (time.Time, bool) {
	switch {
	case e.Time.IsZero():
		return time.Time{}, false
	case e.Stamp == AtStart:
		return e.Time, true
	case e.Stamp == AtEnd && e.Duration != Unknown:
		return e.Time.Add(-e.Duration), true
	}
	return time.Time{}, false
}

// LineError is the error of an entry that can't be read. The next one can be read after it.
type LineError struct {
	Source string
	Line   int64
	Why    string
}

func (e *LineError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Source, e.Line, e.Why) }

// ErrTruncated is the error of a source that ends amid an entry, or amid its compressed bytes. Nothing follows it but the
// next source.
var ErrTruncated = errors.New("the file is cut off")

// Reader gives entries one by one. Next ends with io.EOF; a *LineError tells of one entry, after which it goes on.
type Reader interface {
	Next() (*Entry, error)
}
