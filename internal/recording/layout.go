package recording

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// A Layout is how a line of an access log is made: literals, and between them values with names.
type Layout struct {
	parts []part
	zone  *time.Location // of times that name none; nil: UTC
}

type part struct {
	literal string // before the value
	name    string // canonical; "" for the end of the line
	quoted  bool   // a literal quote ends it, and quotes in it are escaped
	rest    bool   // the line may go on behind it in ways that the layout does not know
}

// Layouts by name, as their projects document them.
var layouts = map[string]string{
	"common":   `%h %l %u %t "%r" %>s %b`,
	"combined": `%h %l %u %t "%r" %>s %b "%{Referer}i" "%{User-agent}i"`,
	"envoy":    `[%START_TIME%] "%REQ(:METHOD)% %REQ(X-ENVOY-ORIGINAL-PATH?:PATH)% %PROTOCOL%" %RESPONSE_CODE% %RESPONSE_FLAGS% %BYTES_RECEIVED% %BYTES_SENT% %DURATION% %RESP(X-ENVOY-UPSTREAM-SERVICE-TIME)% "%REQ(X-FORWARDED-FOR)%" "%REQ(USER-AGENT)%" "%REQ(X-REQUEST-ID)%" "%REQ(:AUTHORITY)%" "%UPSTREAM_HOST%"`,
	"alb":      `$type $alb_end $elb $client $target $request_processing_time $target_processing_time $response_processing_time $status $target_status_code $request_length $bytes_sent "$request" "$http_user_agent" $ssl_cipher $ssl_protocol $target_group_arn "$trace_id" "$domain_name" "$chosen_cert_arn" $matched_rule_priority $alb_start "$actions_executed" "$redirect_url" "$error_reason"...`,
	"haproxy":  `$client [$haproxy_date] $frontend $backend $haproxy_timers $status $bytes_sent $captured_request_cookie $captured_response_cookie $termination_state $connections $queues "$request"`,
}

// Names are the layouts that are known by name.
func Names() []string {
	return []string{"common", "combined", "envoy", "alb", "haproxy", "json", "har"}
}

// canonical names of values that mean something to an entry; all others are kept as fields.
var canonical = map[string]string{
	// nginx
	"time_local": "clf_end", "time_iso8601": "iso_end", "msec": "epoch_end", "request_time": "seconds", "request_method": "method", "request_uri": "path",
	"uri": "path", "server_protocol": "proto", "status": "status", "host": "host", "http_host": "host", "server_name": "host", "request": "request",
	"request_length": "sent", "request_body": "body",
	// ALB, HAProxy, as named above
	"alb_end": "iso_end", "alb_start": "iso_start", "domain_name": "host", "haproxy_date": "haproxy_date", "haproxy_timers": "haproxy_timers",
	// Apache
	"%t": "clf_start", "%r": "request", "%s": "status", "%>s": "status", "%D": "micros", "%T": "seconds", "%m": "method", "%U": "path0", "%q": "query", "%H": "proto",
	"%v": "host", "%V": "host", "%{Host}i": "host", "%{ms}T": "millis", "%{us}T": "micros", "%{s}T": "seconds", "%h": "remote_addr", "%I": "sent",
	// Envoy
	"%START_TIME%": "iso_start", "%REQ(:METHOD)%": "method", "%REQ(X-ENVOY-ORIGINAL-PATH?:PATH)%": "path", "%REQ(:PATH)%": "path", "%PROTOCOL%": "proto",
	"%RESPONSE_CODE%": "status", "%DURATION%": "millis", "%REQ(:AUTHORITY)%": "host", "%BYTES_RECEIVED%": "sent", "%REQ(X-REQUEST-ID)%": "x-request-id",
}

// ParseLayout reads a log_format as nginx, Apache or Envoy have it, or the name of one. An error says what of it can't be
// understood. zone is that of times which name none.
func ParseLayout(text string, zone *time.Location) (*Layout, error) {
	if known, ok := layouts[text]; ok {
		text = known
	}
	l := &Layout{zone: zone}
	literal := strings.Builder{}
	add := func(name string) {
		p := part{literal: literal.String(), name: name}
		literal.Reset()
		if c, ok := canonical[name]; ok {
			p.name = c
		} else if header, ok := headerOf(name); ok {
			p.name = header
		}
		l.parts = append(l.parts, p)
	}
	for i := 0; i < len(text); {
		switch {
		case strings.HasPrefix(text[i:], `\"`): // as in a configuration file
			literal.WriteByte('"')
			i += 2
		case text[i] == '$' && i+1 < len(text) && (word(text[i+1]) || text[i+1] == '{'):
			j := i + 1
			if text[j] == '{' {
				end := strings.IndexByte(text[j:], '}')
				if end < 0 {
					return nil, fmt.Errorf("%q has no end", text[i:])
				}
				add(text[j+1 : j+end])
				i = j + end + 1
				continue
			}
			for j < len(text) && word(text[j]) {
				j++
			}
			add(text[i+1 : j])
			i = j
		case text[i] == '%' && i+1 < len(text) && text[i+1] == '%':
			literal.WriteByte('%')
			i += 2
		case text[i] == '%':
			n := directive(text[i:])
			if n == 0 {
				return nil, fmt.Errorf("%.20q is no directive", text[i:])
			}
			add(text[i : i+n])
			i += n
		case strings.HasPrefix(text[i:], "...") && i+3 == len(text):
			if len(l.parts) == 0 {
				return nil, fmt.Errorf("nothing before ...")
			}
			l.parts = append(l.parts, part{literal: literal.String(), rest: true})
			literal.Reset()
			i += 3
		default:
			literal.WriteByte(text[i])
			i++
		}
	}
	if len(l.parts) == 0 {
		return nil, fmt.Errorf("%q names no value", text)
	}
	if last := &l.parts[len(l.parts)-1]; !last.rest {
		l.parts = append(l.parts, part{literal: literal.String()})
	}
	for i := range l.parts {
		p := &l.parts[i]
		p.quoted = strings.HasSuffix(p.literal, `"`) && p.name != ""
		if i+1 < len(l.parts) && l.parts[i+1].literal == "" && l.parts[i+1].name != "" {
			return nil, fmt.Errorf("nothing stands between %s and %s: where one ends can't be told", p.name, l.parts[i+1].name)
		}
	}
	return l, nil
}

func word(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// directive is the length of an Apache or Envoy directive; 0: it is none.
func directive(s string) int {
	i := 1
	for i < len(s) && (s[i] >= 'A' && s[i] <= 'Z' || s[i] == '_') { // Envoy: %NAME% or %NAME(X)%
		i++
	}
	if i > 2 && i < len(s) {
		if s[i] == '(' {
			if end := strings.Index(s[i:], ")"); end > 0 {
				i += end + 1
				if i < len(s) && s[i] == ':' { // a length
					for i++; i < len(s) && s[i] >= '0' && s[i] <= '9'; i++ {
					}
				}
			}
		}
		if i < len(s) && s[i] == '%' {
			return i + 1
		}
	}
	i = 1 // Apache: %>s, %{X}i, %200,304!b
	for i < len(s) && (s[i] == '>' || s[i] == '<' || s[i] == '!' || s[i] == ',' || s[i] >= '0' && s[i] <= '9') {
		i++
	}
	if i < len(s) && s[i] == '{' {
		end := strings.IndexByte(s[i:], '}')
		if end < 0 {
			return 0
		}
		i += end + 1
	}
	if i < len(s) && (s[i] >= 'a' && s[i] <= 'z' || s[i] >= 'A' && s[i] <= 'Z') {
		return i + 1
	}
	return 0
}

// headerOf is the request header that a value is, in lower case.
func headerOf(name string) (string, bool) {
	switch {
	case strings.HasPrefix(name, "http_"):
		return strings.ReplaceAll(name[5:], "_", "-"), true
	case strings.HasPrefix(name, "%{") && strings.HasSuffix(name, "}i"):
		return strings.ToLower(name[2 : len(name)-2]), true
	case strings.HasPrefix(name, "%REQ(") && strings.HasSuffix(name, ")%"):
		name, _, _ = strings.Cut(strings.ToLower(name[5:len(name)-2]), "?")
		return name, true
	}
	return "", false
}

// Parse reads one line. An error says what of it can't be read.
func (l *Layout) Parse(line string, e *Entry) error {
	e.Duration, e.Sent = Unknown, -1
	set := setter{e: e, zone: l.zone}
	for i := range l.parts {
		p := &l.parts[i]
		if !strings.HasPrefix(line, p.literal) {
			return fmt.Errorf("%s wanted before %s, not %.40q", strconv.Quote(p.literal), or(p.name, "the end"), line)
		}
		line = line[len(p.literal):]
		if p.name == "" {
			if !p.rest && line != "" {
				return fmt.Errorf("%.40q behind the end", line)
			}
			break
		}
		next := l.parts[i+1].literal
		if l.parts[i+1].rest && next == "" {
			next = " "
		}
		n := 0
		switch {
		case p.name == "clf_start" && strings.HasPrefix(line, "["): // Apache's brackets are part of the value
			if n = strings.IndexByte(line, ']') + 1; n == 0 {
				return fmt.Errorf("%s has no end", p.name)
			}
		case next == "":
			n = len(line)
		case p.quoted:
			if n = quotedEnd(line, next); n < 0 {
				return fmt.Errorf("the quoted %s has no end", p.name)
			}
		default:
			if n = strings.Index(line, next); n < 0 {
				return fmt.Errorf("%s behind %s is missing", strconv.Quote(next), p.name)
			}
		}
		value := line[:n]
		line = line[n:]
		if p.quoted {
			value = unescape(value)
		}
		if err := set.value(p.name, value); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return set.done()
}

func or(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

// quotedEnd is where a quoted value ends: at a quote that is not escaped and stands before what follows. Some servers write
// quotes in a value as they are, so the first end that the rest of the literal agrees with counts.
func quotedEnd(line, next string) int {
	for i := 0; i < len(line); i++ {
		switch {
		case line[i] == '\\':
			i++
		case strings.HasPrefix(line[i:], next):
			return i
		}
	}
	return -1
}

// unescape undoes what servers do to quotes and bytes: \" \\ \xHH and the usual letters.
func unescape(s string) string {
	if strings.IndexByte(s, '\\') < 0 {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			b.WriteByte(s[i])
			continue
		}
		i++
		switch s[i] {
		case 'n':
			b.WriteByte('\n')
		case 't':
			b.WriteByte('\t')
		case 'r':
			b.WriteByte('\r')
		case 'x':
			if i+2 < len(s) {
				if v, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
					b.WriteByte(byte(v))
					i += 2
					continue
				}
			}
			b.WriteString(`\x`)
		default:
			b.WriteByte(s[i])
		}
	}
	return b.String()
}

// setter puts values into an entry.
type setter struct {
	e           *Entry
	zone        *time.Location
	path, query string
	end         time.Time // of a source that tells both ends
}

func (s *setter) stamp(t time.Time, at Stamp, resolution time.Duration, zoned bool) {
	e := s.e
	if at == AtEnd {
		if e.Time.IsZero() || e.Stamp == AtEnd && resolution < e.Resolution {
			e.Time, e.Stamp, e.Resolution, e.Zoned = t, at, resolution, zoned
		}
		s.end = t
		return
	}
	if e.Time.IsZero() || e.Stamp != AtStart || resolution < e.Resolution {
		e.Time, e.Stamp, e.Resolution, e.Zoned = t, at, resolution, zoned
	}
}

func (s *setter) value(name, v string) error {
	e := s.e
	if v == "-" || v == "" {
		return nil
	}
	switch name {
	case "clf_start", "clf_end":
		t, err := time.Parse("02/Jan/2006:15:04:05 -0700", strings.Trim(v, "[]"))
		if err != nil {
			return fmt.Errorf("%.40q is no time such as 02/Jan/2006:15:04:05 -0700", v)
		}
		at := AtEnd
		if name == "clf_start" {
			at = AtStart
		}
		s.stamp(t, at, time.Second, true)
	case "iso_start", "iso_end":
		t, zoned, err := parseISO(v, s.zone)
		if err != nil {
			return err
		}
		at := AtEnd
		if name == "iso_start" {
			at = AtStart
		}
		s.stamp(t, at, resolutionOf(v), zoned)
	case "epoch_start", "epoch_end":
		t, resolution, err := parseEpoch(v)
		if err != nil {
			return err
		}
		at := AtEnd
		if name == "epoch_start" {
			at = AtStart
		}
		s.stamp(t, at, resolution, true)
	case "haproxy_date":
		zone := s.zone
		if zone == nil {
			zone = time.UTC
		}
		t, err := time.ParseInLocation("02/Jan/2006:15:04:05.000", v, zone)
		if err != nil {
			return fmt.Errorf("%.40q is no time such as 02/Jan/2006:15:04:05.000", v)
		}
		s.stamp(t, AtStart, time.Millisecond, s.zone != nil)
	case "haproxy_timers":
		i := strings.LastIndexByte(v, '/')
		return s.value("millis", strings.TrimPrefix(v[i+1:], "+"))
	case "seconds", "millis", "micros":
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || n != n {
			return fmt.Errorf("%.40q is no number", v)
		}
		if n < 0 { // as -1 for a request that got no answer
			return nil
		}
		unit := map[string]time.Duration{"seconds": time.Second, "millis": time.Millisecond, "micros": time.Microsecond}[name]
		if n*float64(unit) > float64(24*365*time.Hour) {
			return fmt.Errorf("%.40q is longer than a year", v)
		}
		e.Duration = time.Duration(math.Round(n * float64(unit)))
	case "status":
		n, err := strconv.Atoi(v)
		if err != nil || n < -1 || n > 999 {
			return fmt.Errorf("%.40q is no status", v)
		}
		e.Status = max(0, n)
	case "sent":
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("%.40q is no number of bytes", v)
		}
		e.Sent = n
	case "request":
		method, rest, ok := strings.Cut(v, " ")
		i := strings.LastIndexByte(rest, ' ')
		if !ok || method == "" || i < 1 || !strings.HasPrefix(rest[i+1:], "HTTP/") {
			e.Field = put(e.Field, "request", v) // no request that could be sent again: kept as it is
			return nil
		}
		e.Method, e.Proto = method, rest[i+1:]
		s.path = rest[:i]
	case "method":
		e.Method = v
	case "path":
		s.path = v
	case "path0":
		s.path = v
	case "query":
		s.query = v
	case "proto":
		e.Proto = v
	case "host":
		e.Host = v
	case "%b", "%B", "%O", "bytes_sent", "body_bytes_sent", "%BYTES_SENT%":
		if n, err := strconv.ParseInt(v, 10, 64); err != nil || n < 0 {
			return fmt.Errorf("%.40q is no number of bytes", v)
		}
		e.Field = put(e.Field, name, v)
	case "body":
		e.Body = []byte(v[:min(len(v), MaxBody)])
	default:
		e.Field = put(e.Field, name, v)
	}
	return nil
}

func put(m map[string]string, k, v string) map[string]string {
	if m == nil {
		m = map[string]string{}
	}
	m[k] = v
	return m
}

// done puts together what stands in more than one value.
func (s *setter) done() error {
	e := s.e
	e.Path = s.path + s.query
	// A proxy's request has the whole URL.
	for _, scheme := range []string{"http://", "https://"} {
		if rest, ok := strings.CutPrefix(e.Path, scheme); ok {
			i := strings.IndexByte(rest, '/')
			host := rest
			if e.Path = "/"; i >= 0 {
				host, e.Path = rest[:i], rest[i:]
			}
			if e.Host == "" {
				e.Host = host
			}
		}
	}
	if e.Stamp == AtStart && !s.end.IsZero() && e.Duration == Unknown {
		if e.Duration = s.end.Sub(e.Time); e.Duration == Unknown { // by a nanosecond: it is told, and backwards all the same
			e.Duration--
		}
	}
	return nil
}

// parseISO reads a time as RFC 3339 has it, with or without its zone.
func parseISO(v string, zone *time.Location) (t time.Time, zoned bool, err error) {
	if t, err = time.Parse(time.RFC3339Nano, v); err == nil {
		return t, true, nil
	}
	in := zone
	if in == nil {
		in = time.UTC
	}
	if t, err = time.ParseInLocation("2006-01-02T15:04:05.999999999", v, in); err == nil {
		return t, zone != nil, nil
	}
	return t, false, fmt.Errorf("%.40q is no time such as 2006-01-02T15:04:05.000Z", v)
}

// resolutionOf is that of a time as it is written.
func resolutionOf(v string) time.Duration {
	i := strings.IndexAny(v, ".,") // ISO 8601 has both, and so does the library
	if i < 0 {
		return time.Second
	}
	r := time.Second
	for i++; i < len(v) && v[i] >= '0' && v[i] <= '9' && r > 1; i++ {
		r /= 10
	}
	return r
}

// parseEpoch reads seconds since 1970, with a fraction or not.
func parseEpoch(v string) (time.Time, time.Duration, error) {
	whole, fraction, _ := strings.Cut(v, ".")
	sec, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || sec < 0 || sec > 1<<40 || len(fraction) > 9 {
		return time.Time{}, 0, fmt.Errorf("%.40q is no time in seconds since 1970", v)
	}
	ns := int64(0)
	if fraction != "" {
		n, err := strconv.ParseUint(fraction+strings.Repeat("0", 9-len(fraction)), 10, 64)
		if err != nil {
			return time.Time{}, 0, fmt.Errorf("%.40q is no time in seconds since 1970", v)
		}
		ns = int64(n)
	}
	return time.Unix(sec, ns).UTC(), resolutionOf(v), nil
}
