// Package http1 is the framing of HTTP/1.1 for servers and clients: where a head and a body end, and nothing else. It opens no
// connection, sets no deadline and decides nothing. It is strict where two readers could differ on where a message ends. Start
// reading at ReadRequest and ReadAnswer.
package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
)

const (
	Chunked    = -1 // the length of a body in chunks
	UntilClose = -2 // the length of an answer that ends with its connection
)

// maxEmpty is how many empty lines may come ahead of a request: some clients send them behind a body.
const maxEmpty = 4

// Limits bound what is read of a request.
type Limits struct {
	Head int   // bytes of the request line and the header lines with their ends, and as many of a trailer
	Body int64 // bytes of a body, without what frames it; 0: none but an empty one is taken
}

// Request is the head of a request.
type Request struct {
	Method string
	Target string      // path and query as they came; of the absolute form, what follows the host
	Path   string      // of Target, decoded
	Host   string      // never empty; that of the absolute form where there is one
	Header http.Header // by canonical names; Host is among them as it came
	Length int64       // bytes of the body, or Chunked
	Expect bool        // the client waits for 100 before it sends the body
	Last   bool        // nothing follows on its connection
}

// Bad says what is wrong with a head.
type Bad struct {
	Status int    // to answer with; 0 where Gone
	Why    string // in a few words, without what came
	Gone   bool   // it did not come whole: the connection ended or failed before
}

func bad(status int, format string, args ...any) *Bad {
	return &Bad{Status: status, Why: fmt.Sprintf(format, args...)}
}

// ReadRequest reads one head and no further. It is strict where readers could differ on where a request ends: what two may read
// in two ways is turned away, so nothing that follows a Bad on its connection may be read as a request.
func ReadRequest(in *bufio.Reader, l Limits) (*Request, *Bad) {
	left := l.Head
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
	r := &Request{Method: method, Header: make(http.Header, 8)}
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
		r.Header[name] = append(r.Header[name], value)
	}
	if b := r.frame(l.Body); b != nil {
		return nil, b
	}
	if b := r.aim(target); b != nil {
		return nil, b
	}
	return r, nil
}

// frame finds where the body ends.
func (r *Request) frame(most int64) *Bad {
	lengths, encodings := r.Header["Content-Length"], r.Header["Transfer-Encoding"]
	switch {
	case len(lengths)+len(encodings) > 1:
		return bad(http.StatusBadRequest, "framed twice")
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return bad(http.StatusNotImplemented, "an encoding other than chunked")
		}
		r.Length = Chunked
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || strings.HasPrefix(lengths[0], "+") {
			return bad(http.StatusBadRequest, "a length that is none")
		}
		if r.Length = int64(n); r.Length > most {
			return bad(http.StatusRequestEntityTooLarge, "too large a body")
		}
	}
	for _, v := range r.Header["Expect"] {
		if !strings.EqualFold(v, "100-continue") {
			return bad(http.StatusExpectationFailed, "an expectation other than 100-continue")
		}
		r.Expect = r.Length != 0
	}
	for _, v := range r.Header["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			r.Last = r.Last || strings.EqualFold(strings.TrimSpace(option), "close")
		}
	}
	return nil
}

// aim reads the target: a path, or the absolute form of one.
func (r *Request) aim(target string) *Bad {
	hosts := r.Header["Host"]
	if len(hosts) != 1 {
		return bad(http.StatusBadRequest, "one Host wanted")
	}
	r.Host = hosts[0]
	if !strings.HasPrefix(target, "/") {
		rest, ok := strings.CutPrefix(strings.ToLower(target[:min(len(target), 7)])+target[min(len(target), 7):], "http://")
		if !ok {
			return bad(http.StatusBadRequest, "a path wanted")
		}
		end := strings.IndexAny(rest, "/?")
		if end < 0 {
			end = len(rest)
		}
		r.Host, target = rest[:end], rest[end:]
		if !strings.HasPrefix(target, "/") {
			target = "/" + target
		}
	}
	if r.Host == "" || strings.ContainsAny(r.Host, " /?#@\t") {
		return bad(http.StatusBadRequest, "no host")
	}
	path, _, _ := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil || !plain(target) || strings.ContainsAny(target, " #") {
		return bad(http.StatusBadRequest, "malformed path")
	}
	r.Target, r.Path = target, decoded
	return nil
}

// readLine reads one line without its end, within what is left of the head.
func readLine(in *bufio.Reader, left *int) (string, *Bad) {
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
			return "", &Bad{Gone: true, Why: err.Error()}
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

// skipTrailer reads what follows the last chunk, to its empty line, within so many bytes.
func skipTrailer(in *bufio.Reader, left int) error {
	for {
		line, b := readLine(in, &left)
		switch {
		case b != nil && b.Gone:
			return io.ErrUnexpectedEOF
		case b != nil:
			return fmt.Errorf("%w: %s", ErrBody, b.Why)
		case line == "":
			return nil
		}
		if name, _, ok := strings.Cut(line, ":"); !ok || !token(name) {
			return fmt.Errorf("%w: a malformed trailer", ErrBody)
		}
	}
}
