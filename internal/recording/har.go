package recording

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf16"
	"unicode/utf8"
)

// harReader reads the entries of a HAR 1.2, a file of one JSON document that may be larger than memory: it goes through
// the document by itself and keeps of it what an entry needs. Bodies of answers are passed over.
type harReader struct {
	name  string
	j     scanner
	begun bool
	ended bool
	n     int64
}

func newHAR(name string, in *bufio.Reader) *harReader {
	return &harReader{name: name, j: scanner{in: in}}
}

// Next implements Reader. What is no JSON ends the source.
func (r *harReader) Next() (*Entry, error) {
	e, err := r.next()
	switch {
	case err == nil || err == io.EOF:
		return e, err
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, ErrTruncated):
		r.ended = true
		return nil, ErrTruncated
	}
	var bad *LineError
	if errors.As(err, &bad) {
		return nil, err
	}
	r.ended = true
	return nil, fmt.Errorf("%s: byte %d: %w", r.name, r.j.at, err)
}

func (r *harReader) next() (*Entry, error) {
	if r.ended {
		return nil, io.EOF
	}
	if !r.begun {
		if err := r.enter("log"); err != nil {
			return nil, err
		}
		if err := r.enter("entries"); err != nil {
			return nil, err
		}
		if err := r.j.open('['); err != nil {
			return nil, err
		}
		r.begun = true
	}
	more, err := r.j.more(']')
	if err != nil {
		return nil, err
	}
	if !more {
		r.ended = true
		return nil, io.EOF // what stands behind the entries is not needed
	}
	r.n++
	e := &Entry{Source: r.name, Line: r.n, Duration: Unknown, Sent: -1}
	why := ""
	if err := r.entry(e, &why); err != nil {
		return nil, err
	}
	if why != "" {
		return nil, &LineError{r.name, r.n, why}
	}
	return e, nil
}

// enter goes into an object up to the value of a key.
func (r *harReader) enter(key string) error {
	if err := r.j.open('{'); err != nil {
		return err
	}
	for {
		more, err := r.j.more('}')
		if err != nil {
			return err
		}
		if !more {
			return fmt.Errorf("no %q: this is no HAR", key)
		}
		k, err := r.j.key()
		if err != nil {
			return err
		}
		if k == key {
			return nil
		}
		if err := r.j.skip(0); err != nil {
			return err
		}
	}
}

// entry reads one. why tells what of it can't be used; the scanner is behind it all the same.
func (r *harReader) entry(e *Entry, why *string) error {
	bad := func(format string, args ...any) {
		if *why == "" {
			*why = fmt.Sprintf(format, args...)
		}
	}
	return r.j.object(func(key string) error {
		switch key {
		case "startedDateTime":
			v, err := r.j.text(100)
			if err != nil {
				return err
			}
			t, zoned, err := parseISO(v, nil)
			if err != nil {
				bad("startedDateTime: %v", err)
				return nil
			}
			e.Time, e.Zoned, e.Resolution = t, zoned, resolutionOf(v)
		case "time":
			ms, ok, err := r.j.number()
			if err != nil {
				return err
			}
			if ok && ms >= 0 && ms < 1e11 { // -1 where the browser does not know
				e.Duration = time.Duration(math.Round(ms * 1e6))
			}
		case "request":
			return r.request(e, bad)
		case "response":
			return r.j.object(func(key string) error {
				switch key {
				case "status":
					n, _, err := r.j.number()
					e.Status = int(max(0, min(n, 999)))
					return err
				case "_error":
					v, err := r.j.text(200)
					e.Failed = e.Failed || v != ""
					return err
				}
				return r.j.skip(0)
			})
		case "_fromCache":
			v, err := r.j.text(40)
			e.Cached = v != ""
			return err
		case "pageref":
			v, err := r.j.text(200)
			e.Field = put(e.Field, "har-page", v)
			return err
		default:
			return r.j.skip(0)
		}
		return nil
	})
}

func (r *harReader) request(e *Entry, bad func(string, ...any)) error {
	return r.j.object(func(key string) error {
		switch key {
		case "method":
			v, err := r.j.text(100)
			e.Method = v
			return err
		case "httpVersion":
			v, err := r.j.text(100)
			e.Proto = v
			return err
		case "url":
			v, err := r.j.text(MaxBody)
			if err != nil {
				return err
			}
			u, err := url.Parse(v)
			if err != nil || u.Host == "" {
				bad("request.url: %.60q is no URL", v)
				return nil
			}
			e.Host, e.Path = u.Host, u.RequestURI()
		case "headers":
			return r.j.array(func() error {
				var name, value string
				if err := r.j.object(func(key string) (err error) {
					switch key {
					case "name":
						name, err = r.j.text(1000)
					case "value":
						value, err = r.j.text(MaxBody)
					default:
						err = r.j.skip(0)
					}
					return err
				}); err != nil {
					return err
				}
				if name != "" && len(e.Field) < 200 {
					e.Field = put(e.Field, strings.ToLower(name), value)
				}
				return nil
			})
		case "bodySize":
			n, ok, err := r.j.number()
			if ok && n >= 0 && n < 1<<50 {
				e.Sent = int64(n)
			}
			return err
		case "postData":
			encoding := ""
			text := ""
			if err := r.j.object(func(key string) (err error) {
				switch key {
				case "text":
					text, err = r.j.text(2 * MaxBody)
				case "encoding", "_encoding":
					encoding, err = r.j.text(40)
				default:
					err = r.j.skip(0)
				}
				return err
			}); err != nil {
				return err
			}
			e.Body = []byte(text)
			if encoding == "base64" {
				b, err := base64.StdEncoding.DecodeString(text[:len(text)/4*4])
				if err != nil {
					bad("request.postData: no base64")
					return nil
				}
				e.Body = b
			}
			e.Body = e.Body[:min(len(e.Body), MaxBody)]
		default:
			return r.j.skip(0)
		}
		return nil
	})
}

// scanner goes through a JSON document without holding it.
type scanner struct {
	in    *bufio.Reader
	at    int64
	first bool // nothing has come in the innermost object or array yet
}

const maxDepth = 64

func (s *scanner) byte() (byte, error) {
	c, err := s.in.ReadByte()
	if err == io.EOF {
		return 0, io.ErrUnexpectedEOF
	}
	s.at++
	return c, err
}

// peek gives the next byte that is no space, and leaves it.
func (s *scanner) peek() (byte, error) {
	for {
		b, err := s.in.Peek(1)
		if err == io.EOF {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		switch b[0] {
		case ' ', '\t', '\r', '\n', 0xef, 0xbb, 0xbf: // and a byte order mark
			s.in.Discard(1)
			s.at++
			continue
		}
		return b[0], nil
	}
}

func (s *scanner) open(c byte) error {
	got, err := s.peek()
	if err != nil {
		return err
	}
	if got != c {
		return fmt.Errorf("%q wanted, not %q", c, got)
	}
	s.byte()
	s.first = true
	return nil
}

// more reports whether another member follows, and goes up to it; else it is behind the end.
func (s *scanner) more(end byte) (bool, error) {
	first := s.first
	s.first = false
	c, err := s.peek()
	if err != nil {
		return false, err
	}
	switch {
	case c == end:
		s.byte()
		return false, nil
	case first:
		return true, nil
	case c != ',':
		return false, fmt.Errorf("',' or %q wanted, not %q", end, c)
	}
	s.byte()
	c, err = s.peek()
	if err == nil && c == end {
		return false, fmt.Errorf("%q behind ','", c)
	}
	return err == nil, err
}

func (s *scanner) key() (string, error) {
	if c, err := s.peek(); err != nil {
		return "", err
	} else if c != '"' {
		return "", fmt.Errorf("a name wanted, not %q", c)
	}
	k, err := s.text(200)
	if err != nil {
		return "", err
	}
	c, err := s.peek()
	if err != nil {
		return "", err
	}
	if c != ':' {
		return "", fmt.Errorf("':' wanted, not %q", c)
	}
	s.byte()
	return k, nil
}

// object calls f with each name; f reads the value. null is an empty one.
func (s *scanner) object(f func(key string) error) error {
	if c, err := s.peek(); err != nil {
		return err
	} else if c != '{' {
		return s.skip(0)
	}
	s.open('{')
	for {
		more, err := s.more('}')
		if err != nil || !more {
			return err
		}
		k, err := s.key()
		if err != nil {
			return err
		}
		if err := f(k); err != nil {
			return err
		}
		s.first = false
	}
}

func (s *scanner) array(f func() error) error {
	if c, err := s.peek(); err != nil {
		return err
	} else if c != '[' {
		return s.skip(0)
	}
	s.open('[')
	for {
		more, err := s.more(']')
		if err != nil || !more {
			return err
		}
		if err := f(); err != nil {
			return err
		}
		s.first = false
	}
}

// text reads a string and keeps so many bytes of it at the most. Any other value is passed over and gives "".
func (s *scanner) text(most int) (string, error) {
	c, err := s.peek()
	if err != nil {
		return "", err
	}
	if c != '"' {
		return "", s.skip(0)
	}
	s.byte()
	var b []byte
	put := func(r rune) {
		if len(b) < most {
			b = utf8.AppendRune(b, r)
		}
	}
	for {
		c, err := s.byte()
		if err != nil {
			return "", err
		}
		switch {
		case c == '"':
			return string(b), nil
		case c < 0x20:
			return "", fmt.Errorf("a raw byte %#x in a string", c)
		case c != '\\':
			if len(b) < most {
				b = append(b, c)
			}
			continue
		}
		if c, err = s.byte(); err != nil {
			return "", err
		}
		switch c {
		case '"', '\\', '/':
			put(rune(c))
		case 'b':
			put('\b')
		case 'f':
			put('\f')
		case 'n':
			put('\n')
		case 'r':
			put('\r')
		case 't':
			put('\t')
		case 'u':
			r, err := s.hex()
			if err != nil {
				return "", err
			}
			if utf16.IsSurrogate(r) {
				if next, err := s.in.Peek(2); err == nil && next[0] == '\\' && next[1] == 'u' {
					s.byte()
					s.byte()
					low, err := s.hex()
					if err != nil {
						return "", err
					}
					r = utf16.DecodeRune(r, low)
				} else {
					r = utf8.RuneError
				}
			}
			put(r)
		default:
			return "", fmt.Errorf("no escape: \\%c", c)
		}
	}
}

func (s *scanner) hex() (rune, error) {
	var r rune
	for range 4 {
		c, err := s.byte()
		if err != nil {
			return 0, err
		}
		switch {
		case c >= '0' && c <= '9':
			r = r<<4 | rune(c-'0')
		case c >= 'a' && c <= 'f':
			r = r<<4 | rune(c-'a'+10)
		case c >= 'A' && c <= 'F':
			r = r<<4 | rune(c-'A'+10)
		default:
			return 0, fmt.Errorf("no hex digit: %q", c)
		}
	}
	return r, nil
}

// number reads a number; ok is false for any other value, which is passed over.
func (s *scanner) number() (n float64, ok bool, err error) {
	c, err := s.peek()
	if err != nil {
		return 0, false, err
	}
	if c != '-' && (c < '0' || c > '9') {
		return 0, false, s.skip(0)
	}
	raw, err := s.word()
	if err != nil {
		return 0, false, err
	}
	n, err = strconv.ParseFloat(raw, 64)
	if err != nil {
		return 0, false, fmt.Errorf("no number: %.40q", raw)
	}
	return n, true, nil
}

// word reads a number or a literal.
func (s *scanner) word() (string, error) {
	var b []byte
	for {
		next, err := s.in.Peek(1)
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		c := next[0]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '+' || c == '-' || c == '.') {
			return string(b), nil
		}
		if len(b) >= 100 {
			return "", errors.New("a number of more than 100 digits")
		}
		b = append(b, c)
		s.byte()
	}
}

// skip passes over a value, whatever its size.
func (s *scanner) skip(depth int) error {
	if depth > maxDepth {
		return fmt.Errorf("nested deeper than %d", maxDepth)
	}
	c, err := s.peek()
	if err != nil {
		return err
	}
	switch c {
	case '"':
		s.byte()
		return s.skipString()
	case '{':
		s.open('{')
		for {
			more, err := s.more('}')
			if err != nil || !more {
				return err
			}
			if _, err := s.key(); err != nil {
				return err
			}
			if err := s.skip(depth + 1); err != nil {
				return err
			}
			s.first = false
		}
	case '[':
		s.open('[')
		for {
			more, err := s.more(']')
			if err != nil || !more {
				return err
			}
			if err := s.skip(depth + 1); err != nil {
				return err
			}
			s.first = false
		}
	}
	w, err := s.word()
	if err != nil {
		return err
	}
	if w != "true" && w != "false" && w != "null" {
		if _, err := strconv.ParseFloat(w, 64); err != nil || w == "" {
			return fmt.Errorf("no value: %.20q", or(w, string(c)))
		}
	}
	return nil
}

// skipString passes over the rest of a string, block by block.
func (s *scanner) skipString() error {
	for {
		n := max(1, s.in.Buffered())
		block, err := s.in.Peek(n)
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		for i := 0; i < len(block); i++ {
			switch block[i] {
			case '"':
				s.in.Discard(i + 1)
				s.at += int64(i + 1)
				return nil
			case '\\':
				if i+1 == len(block) { // its other half comes with the next block
					s.in.Discard(i + 1)
					s.at += int64(i + 1)
					if _, err := s.byte(); err != nil {
						return err
					}
					i, block = -1, nil
				} else {
					i++
				}
			}
		}
		s.in.Discard(len(block))
		s.at += int64(len(block))
	}
}
