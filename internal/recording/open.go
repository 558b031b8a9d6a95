package recording

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Options say how a source is read.
type Options struct {
	Format string            // a name of Names, or a log_format; "" has it found out by the first bytes
	Fields map[string]string // of JSON lines: which field is what; see the json reader
	Zone   *time.Location    // of times that name none; nil: UTC, and the entries say so
	Limit  int               // bytes of one line at the most; 0: 1 MiB
}

const (
	maxLine = 1 << 20
	// sniff is how much of a source is looked at to find out what it is.
	sniff = 256 << 10
	// maxWindow bounds the memory of a zstd stream.
	maxWindow = 32 << 20
)

// Source is an open one.
type Source struct {
	Reader
	Format string // as it was found out, or given
	Name   string
	close  []func()
}

// Close gives up what the source holds.
func (s *Source) Close() {
	for i := len(s.close) - 1; i >= 0; i-- {
		s.close[i]()
	}
	s.close = nil
}

// Open opens a file, or standard input as -. What is compressed by gzip or zstd is read as what it holds.
func Open(name string, o Options) (*Source, error) {
	if name == "-" {
		return New(name, os.Stdin, o)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	if info, err := f.Stat(); err == nil && info.IsDir() {
		f.Close()
		return nil, fmt.Errorf("%s is a folder", name)
	}
	s, err := New(name, f, o)
	if err != nil {
		f.Close()
		return nil, err
	}
	s.close = append([]func(){func() { f.Close() }}, s.close...)
	return s, nil
}

// New reads a source from r. An error names the source and says what it lacks.
func New(name string, r io.Reader, o Options) (*Source, error) {
	s := &Source{Name: name, Format: o.Format}
	in := bufio.NewReaderSize(r, sniff)
	for depth := 0; ; depth++ {
		head, err := in.Peek(4)
		if err != nil && err != io.EOF {
			return nil, fmt.Errorf("%s: %w", name, unpacked(err))
		}
		switch {
		case bytes.HasPrefix(head, []byte{0x1f, 0x8b}):
			z, err := gzip.NewReader(in)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, unpacked(err))
			}
			in = bufio.NewReaderSize(z, sniff)
		case bytes.HasPrefix(head, []byte{0x28, 0xb5, 0x2f, 0xfd}):
			z, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxWindow), zstd.WithDecoderMaxWindow(maxWindow))
			if err != nil {
				s.Close()
				return nil, fmt.Errorf("%s: %w", name, unpacked(err))
			}
			s.close = append(s.close, z.Close)
			in = bufio.NewReaderSize(z, sniff)
		default:
			return s, s.choose(in, o)
		}
		if depth == 2 {
			s.Close()
			return nil, fmt.Errorf("%s: compressed more than twice", name)
		}
	}
}

// unpacked tells a compressed file that is cut off from one that is none.
func unpacked(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// choose makes the reader of a source's format.
func (s *Source) choose(in *bufio.Reader, o Options) error {
	if o.Limit == 0 {
		o.Limit = maxLine
	}
	if s.Format == "" {
		head, err := in.Peek(sniff)
		if err != nil && err != io.EOF && len(head) == 0 { // else it may end where it is read
			s.Close()
			return fmt.Errorf("%s: %w", s.Name, unpacked(err))
		}
		if s.Format = guess(head); s.Format == "" {
			s.Close()
			line, _, _ := bytes.Cut(head, []byte("\n"))
			return fmt.Errorf("%s: no format that is known by its first line %.60q; say which it is (one of %v, or a log_format)", s.Name, line, Names())
		}
	}
	switch s.Format {
	case "har":
		s.Reader = newHAR(s.Name, in)
	case "json":
		r, err := newJSON(s.Name, in, o)
		if err != nil {
			s.Close()
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		s.Reader = r
	default:
		l, err := ParseLayout(s.Format, o.Zone)
		if err != nil {
			s.Close()
			return fmt.Errorf("%s: format: %w", s.Name, err)
		}
		s.Reader = &logReader{lines: lines{name: s.Name, in: in, limit: o.Limit}, layout: l, either: s.Format == "common" || s.Format == "combined"}
	}
	return nil
}

// guess finds out a format by the first bytes; "": it is none that is known.
func guess(head []byte) string {
	text := bytes.TrimLeft(bytes.TrimPrefix(head, []byte("\xef\xbb\xbf")), " \t\r\n")
	if len(text) == 0 {
		return "common" // an empty log has no entries in any format
	}
	if text[0] == '{' {
		line, _, _ := bytes.Cut(text, []byte("\n"))
		line = bytes.TrimSpace(line)
		if line[len(line)-1] == '}' && len(line) > 2 && !bytes.HasPrefix(bytes.TrimLeft(line[1:], " \t"), []byte(`"log"`)) {
			return "json"
		}
		if i := bytes.Index(text, []byte(`"log"`)); i >= 0 && i < 200 {
			return "har"
		}
		return ""
	}
	line, _, _ := bytes.Cut(text, []byte("\n"))
	for _, name := range []string{"combined", "common", "envoy", "alb", "haproxy"} {
		l, err := ParseLayout(name, nil)
		if err == nil && l.Parse(string(bytes.TrimRight(line, "\r")), &Entry{}) == nil {
			return name
		}
	}
	return ""
}

// lines gives the lines of a log, each within a bound.
type lines struct {
	name  string
	in    *bufio.Reader
	limit int
	n     int64
	buf   []byte
	cut   bool // the last line had no end
}

// next gives a line without its end; a *LineError tells of one that is too long, which is passed over.
func (l *lines) next() (string, error) {
	l.n++
	l.buf = l.buf[:0]
	long := false
	for {
		part, err := l.in.ReadSlice('\n')
		if len(l.buf)+len(part) > l.limit+2 {
			long = true
		}
		if !long {
			l.buf = append(l.buf, part...)
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF:
			if len(l.buf) == 0 && !long {
				return "", io.EOF
			}
			l.cut = true
		case err != nil:
			return "", unpacked(err)
		}
		if long {
			return "", &LineError{l.name, l.n, fmt.Sprintf("longer than %d bytes", l.limit)}
		}
		return string(bytes.TrimRight(l.buf, "\r\n")), nil
	}
}

// logReader reads an access log.
type logReader struct {
	lines
	layout *Layout
	either bool // the format does not tell whether its times are of the start or the end
}

// Next implements Reader.
func (r *logReader) Next() (*Entry, error) {
	for {
		line, err := r.next()
		if err != nil {
			return nil, err
		}
		if line == "" || line[0] == '#' {
			continue
		}
		e := &Entry{Source: r.name, Line: r.n}
		if err := r.layout.Parse(line, e); err != nil {
			if r.cut {
				return nil, ErrTruncated
			}
			return nil, &LineError{r.name, r.n, err.Error()}
		}
		if r.either {
			e.Stamp = AtEither
		}
		return e, nil
	}
}
