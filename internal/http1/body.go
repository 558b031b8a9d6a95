package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
)

var (
	// ErrBody marks a body that is malformed. One that does not come whole gives io.ErrUnexpectedEOF, or the net.Error of its
	// connection.
	ErrBody = errors.New("malformed body")
	// ErrTooLarge marks a body in chunks that goes beyond Limits.Body.
	ErrTooLarge = errors.New("too large a body")
)

// Body reads the body of a request off its connection, to its end and no further.
type Body struct {
	in    *bufio.Reader
	body  io.Reader // nil: at its end
	left  int64     // of a told length; Chunked
	total int64     // of one in chunks
	l     Limits
	err   error // that ended it
}

// NewBody returns the body of a request whose head has just been read off in, by the request's length: it was held against the
// limits with the head, and only what comes in chunks is here.
func NewBody(in *bufio.Reader, length int64, l Limits) *Body {
	b := &Body{in: in, body: in, left: length, l: l}
	if length == Chunked {
		b.body = httputil.NewChunkedReader(in)
	}
	return b
}

// Read implements io.Reader: io.EOF comes at the end of a whole body alone. Any other error stays.
func (b *Body) Read(p []byte) (int, error) {
	if b.Whole() {
		return 0, io.EOF
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.read(p)
	if err != io.EOF {
		b.err = err
	}
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
	if b.left > 0 {
		n, err := b.body.Read(p[:min(int64(len(p)), b.left)])
		if b.left -= int64(n); err == io.EOF && b.left > 0 {
			err = io.ErrUnexpectedEOF
		} else if b.left == 0 {
			b.body, err = nil, nil
		}
		return n, err
	}
	n, err := b.body.Read(p)
	if b.total += int64(n); b.total > b.l.Body {
		return 0, ErrTooLarge
	}
	switch err {
	case nil:
	case io.EOF:
		if err = skipTrailer(b.in, b.l.Head); err == nil {
			b.body = nil
			if n == 0 {
				err = io.EOF
			}
		}
	default:
		err = chunkError(err)
	}
	return n, err
}

// Whole reports whether the body has been read to its end. Of nil, the body that a request has not, it is true.
func (b *Body) Whole() bool { return b == nil || b.body == nil || b.left == 0 }

// chunkError tells an error of chunks from one of their connection.
func chunkError(err error) error {
	var ne net.Error
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) {
		return err
	}
	return malformed{err}
}

// malformed is an ErrBody that says what is wrong in its own words.
type malformed struct{ error }

func (m malformed) Is(target error) bool { return target == ErrBody }
func (m malformed) Unwrap() error        { return m.error }
