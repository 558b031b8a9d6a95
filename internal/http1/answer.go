package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
)

// AppendHead appends the head of an answer. head holds further header lines, each with its line end; the framing is told by
// length alone: bytes, Chunked, or UntilClose for neither, as for an answer that has no body by its status. last adds that
// nothing follows on the connection, which UntilClose does not do by itself.
func AppendHead[T string | []byte](buf []byte, status int, head T, length int64, last bool) []byte {
	buf = append(buf, "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, http.StatusText(status)...)
	switch {
	case length == UntilClose:
		buf = append(buf, "\r\n"...)
	case length < 0:
		buf = append(buf, "\r\nTransfer-Encoding: chunked\r\n"...)
	default:
		buf = append(buf, "\r\nContent-Length: "...)
		buf = strconv.AppendInt(buf, length, 10)
		buf = append(buf, "\r\n"...)
	}
	buf = append(buf, head...)
	if last {
		buf = append(buf, "Connection: close\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// ReadAnswer reads one head of an answer, an early one of status 1xx too, and no further. The header has canonical names.
// last: nothing may follow it on the connection. It bounds nothing: what is under in says how much a head may take. An error is
// the connection's, io.EOF or io.ErrUnexpectedEOF among them, or says what is no head of HTTP/1.
func ReadAnswer(in *bufio.Reader) (status int, header textproto.MIMEHeader, last bool, err error) {
	const start = "HTTP/1."
	for i := range len(start) { // noise may end anywhere: what begins wrong is not waited for
		b, err := in.Peek(i + 1)
		if err != nil {
			return 0, nil, false, err
		}
		if b[i] != start[i] {
			return 0, nil, false, errors.New("no HTTP/1")
		}
	}
	r := textproto.NewReader(in)
	line, err := r.ReadLine()
	if err != nil {
		return 0, nil, false, err
	}
	proto, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || len(proto) != len(start)+1 {
		return 0, nil, false, fmt.Errorf("status line %.40q", line)
	}
	header, err = r.ReadMIMEHeader()
	if err != nil {
		return 0, nil, false, err
	}
	for name := range header { // "Content-Length : 5" is a length to some readers and none to others
		if !token(name) {
			return 0, nil, false, fmt.Errorf("a header named %.40q", name)
		}
	}
	last = proto != "HTTP/1.1"
	for _, v := range header["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			last = last || strings.EqualFold(strings.TrimSpace(option), "close")
		}
	}
	return status, header, last, nil
}

// AnswerLength reads the framing off a head: bytes, Chunked or UntilClose. Two lengths, or a length beside an encoding, say
// nothing certain about where the body ends, and one of more than most bytes is not waited for: these are errors, and so is an
// answer of status 1xx, which has no body and is not the last of its request. What answers HEAD has no body either, whatever
// its head says: that is for the caller to know.
func AnswerLength(status int, h textproto.MIMEHeader, most int64) (int64, error) {
	lengths, encodings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case status < 200:
		return 0, fmt.Errorf("status %d", status)
	case status == http.StatusNoContent || status == http.StatusNotModified:
		return 0, nil
	case len(lengths)+len(encodings) == 0:
		return UntilClose, nil
	case len(lengths)+len(encodings) != 1:
		return 0, errors.New("framed twice")
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return 0, fmt.Errorf("encoding %.40q", encodings[0])
		}
		return Chunked, nil
	}
	n, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil || int64(n) > most {
		return 0, fmt.Errorf("length %.40q", lengths[0])
	}
	return int64(n), nil
}

// AnswerBody is an answer's body as AnswerLength says that it is framed; it reads to its end and no further. io.EOF comes at the
// end of a whole body alone, io.ErrUnexpectedEOF where the connection ends before. The trailer of one in chunks is read and
// dropped. Nothing bounds what comes in chunks or until the connection closes.
func AnswerBody(in *bufio.Reader, length int64) io.Reader {
	switch length {
	case Chunked:
		return &chunks{in: in, body: httputil.NewChunkedReader(in)}
	case UntilClose:
		return in
	}
	return &exactly{in: in, left: length}
}

// exactly reads so many bytes: an end before is an error.
type exactly struct {
	in   io.Reader
	left int64
}

func (e *exactly) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.in.Read(p[:min(int64(len(p)), e.left)])
	if e.left -= int64(n); err == io.EOF && e.left > 0 {
		err = io.ErrUnexpectedEOF
	} else if err == io.EOF {
		err = nil
	}
	return n, err
}

// chunks reads a body in chunks and the trailer behind it.
type chunks struct {
	in   *bufio.Reader
	body io.Reader
	over bool
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.over {
		return 0, io.EOF
	}
	n, err := c.body.Read(p)
	if err == io.EOF {
		if _, err := textproto.NewReader(c.in).ReadMIMEHeader(); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return n, err
		}
		c.over = true
		if n > 0 {
			err = nil
		}
		return n, err
	}
	return n, err
}

// SingleHop reports whether a header, whose name may be in any case, concerns one connection only: no proxy passes it on.
// Neither does it pass on those that Connection names.
func SingleHop(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
