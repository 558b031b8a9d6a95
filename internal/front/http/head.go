package http

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"saltmast/internal/keep"
)

const (
	maxHead  = 12 << 10 // bytes of a request's head
	maxEmpty = 4        // empty lines ahead of a request, which some clients send behind a body
	chunked  = -1       // the length of a body in chunks
)

// request is the head of a request.
type request struct {
	method string
	target string // path and query as they came, for the backend
	path   string // decoded
	host   string
	header http.Header
	length int64 // of the body; chunked
	expect bool  // the client waits for 100 before it sends the body
	last   bool  // nothing follows on its connection
}

// badRequest says what is wrong with a head.
type badRequest struct {
	status int
	why    string
	gone   bool // it did not come whole
}

func bad(status int, format string, args ...any) *badRequest {
	return &badRequest{status: status, why: fmt.Sprintf(format, args...)}
}

// readHead reads one head. It is strict where readers could differ on where a request ends: what two may read in two ways is
// turned away.
func readHead(in *bufio.Reader) (*request, *badRequest) {
	left := maxHead
	line, b := readLine(in, &left)
	for range maxEmpty {
		if b != nil || line != "" {
			break
		}
		line, b = readLine(in, &left)
	}
	if b != nil {
		return nil, b
	}
	method, rest, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok1 || !ok2 || !token(method) || target == "" || strings.ContainsAny(proto, " \t") {
		return nil, bad(http.StatusBadRequest, "no request line")
	}
	if proto != "HTTP/1.1" {
		if !strings.HasPrefix(proto, "HTTP/") {
			return nil, bad(http.StatusBadRequest, "no request line")
		}
		return nil, bad(http.StatusHTTPVersionNotSupported, "HTTP/1.1 wanted")
	}
	r := &request{method: method, header: make(http.Header, 8)}
	for {
		line, b := readLine(in, &left)
		if b != nil {
			return nil, b
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) { // a space before the colon, or a line that goes on
			return nil, bad(http.StatusBadRequest, "malformed header")
		}
		value = strings.Trim(value, " \t")
		if !plain(value) {
			return nil, bad(http.StatusBadRequest, "a header with control characters")
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		r.header[name] = append(r.header[name], value)
	}
	if b := r.frame(); b != nil {
		return nil, b
	}
	if b := r.aim(target); b != nil {
		return nil, b
	}
	return r, nil
}

// frame finds where the body ends.
func (r *request) frame() *badRequest {
	lengths, encodings := r.header["Content-Length"], r.header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(encodings) > 1:
		return bad(http.StatusBadRequest, "framed twice")
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return bad(http.StatusNotImplemented, "an encoding other than chunked")
		}
		r.length = chunked
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || strings.HasPrefix(lengths[0], "+") {
			return bad(http.StatusBadRequest, "a length that is none")
		}
		if r.length = int64(n); r.length > keep.Most {
			return bad(http.StatusRequestEntityTooLarge, "too large a body")
		}
	}
	for _, v := range r.header["Expect"] {
		if !strings.EqualFold(v, "100-continue") {
			return bad(http.StatusExpectationFailed, "an expectation other than 100-continue")
		}
		r.expect = r.length != 0
	}
	for _, v := range r.header["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			r.last = r.last || strings.EqualFold(strings.TrimSpace(option), "close")
		}
	}
	return nil
}

// aim reads the target: a path, or the absolute form of one.
func (r *request) aim(target string) *badRequest {
	hosts := r.header["Host"]
	if len(hosts) != 1 {
		return bad(http.StatusBadRequest, "one Host wanted")
	}
	r.host = hosts[0]
	if !strings.HasPrefix(target, "/") {
		rest, ok := strings.CutPrefix(strings.ToLower(target[:min(len(target), 7)])+target[min(len(target), 7):], "http://")
		if !ok {
			return bad(http.StatusBadRequest, "a path wanted")
		}
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		r.host, target = rest[:end], rest[end:]
		if !strings.HasPrefix(target, "/") {
			target = "/" + target
		}
	}
	if r.host == "" || strings.ContainsAny(r.host, " /?#@\t") {
		return bad(http.StatusBadRequest, "no host")
	}
	path, _, _ := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil || !plain(target) || strings.ContainsAny(target, " #") {
		return bad(http.StatusBadRequest, "malformed path")
	}
	r.target, r.path = target, decoded
	return nil
}

// readLine reads one line without its end, within what is left of the head.
func readLine(in *bufio.Reader, left *int) (string, *badRequest) {
	var long []byte
	for {
		part, err := in.ReadSlice('\n')
		if *left -= len(part); *left < 0 {
			return "", bad(http.StatusRequestHeaderFieldsTooLarge, "too long a head")
		}
		switch err {
		case nil:
			if long != nil {
				part = append(long, part...)
			}
			part = part[:len(part)-1]
			if n := len(part); n > 0 && part[n-1] == '\r' {
				part = part[:n-1]
			}
			return string(part), nil
		case bufio.ErrBufferFull:
			long = append(long, part...)
		default:
			return "", &badRequest{gone: true, why: err.Error()}
		}
	}
}

// token reports whether s may be a method or the name of a header.
func token(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// plain reports whether s holds no control characters.
func plain(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// skipTrailer reads what follows the last chunk, to its empty line.
func skipTrailer(in *bufio.Reader) error {
	left := maxHead
	for {
		line, b := readLine(in, &left)
		switch {
		case b != nil && b.gone:
			return io.ErrUnexpectedEOF
		case b != nil:
			return fmt.Errorf("%w: %s", errBody, b.why)
		case line == "":
			return nil
		}
		if name, _, ok := strings.Cut(line, ":"); !ok || !token(name) {
			return fmt.Errorf("%w: a malformed trailer", errBody)
		}
	}
}
