package config

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"saltmast"
	"saltmast/internal/discovery"
	"saltmast/internal/tomlfile"
)

// Operator is the operator's own file: what the platform's configuration knows nothing of. Without the file nothing of
// it is on.
type Operator struct {
	Thrift  *Thrift  `toml:"thrift"`
	Settles *Settles `toml:"settles"`
	Peers   *Peers   `toml:"peers"`
}

// Settles is the journal of requests that must not run twice.
type Settles struct {
	Dir           string   `toml:"dir"`     // the folder, on a disk that lasts
	Classes       []string `toml:"classes"` // that are recorded; none named: all that may run once only
	Policy        string   `toml:"policy"`  // while it can't be written: refuse or serve-unrecorded
	AccountHeader string   `toml:"account_header"`
	AccountField  string   `toml:"account_field"` // of a JSON body, such as sale.account
	SegmentMB     int      `toml:"segment_mb"`    // 0: 4
	TotalMB       int      `toml:"total_mb"`      // the oldest segments go beyond that; 0: 256
	Days          int      `toml:"days"`          // and those that ended longer ago; 0: none for its age
}

// ServesUnrecorded reports whether requests are served while the journal can't be written.
func (s *Settles) ServesUnrecorded() bool { return s.Policy == "serve-unrecorded" }

// Path is the field that holds the account, from outside inwards; nil: none.
func (s *Settles) Path() []string {
	if s.AccountField == "" {
		return nil
	}
	return strings.Split(s.AccountField, ".")
}

// Records tells by number which classes are recorded.
func (s *Settles) Records(classes []string, settings []saltmast.Class) []bool {
	out := make([]bool, len(classes))
	for i, name := range classes {
		out[i] = slices.Contains(s.Classes, name) || len(s.Classes) == 0 && settings[i].Effect == saltmast.Unsafe
	}
	return out
}

func (s *Settles) check(f *tomlfile.File, classes []string, settings []saltmast.Class) error {
	switch {
	case s.Dir == "" || !filepath.IsAbs(s.Dir):
		return f.Error("settles.dir", fmt.Sprintf("%q: the absolute path of a folder is wanted", s.Dir))
	case s.Policy != "" && s.Policy != "refuse" && s.Policy != "serve-unrecorded":
		return f.Error("settles.policy", fmt.Sprintf("%q is neither refuse nor serve-unrecorded", s.Policy))
	case s.AccountHeader != "" && s.AccountField != "":
		return f.Error("settles.account_field", "account_header is set too: one of them is wanted")
	case s.AccountField != "" && slices.Contains(s.Path(), ""):
		return f.Error("settles.account_field", fmt.Sprintf("%q is no path of names, such as sale.account", s.AccountField))
	}
	for _, n := range []struct {
		key         string
		value, most int
	}{{"segment_mb", s.SegmentMB, 64}, {"total_mb", s.TotalMB, 1 << 20}, {"days", s.Days, 36500}} {
		if n.value < 0 || n.value > n.most {
			return f.Error("settles."+n.key, fmt.Sprintf("%d is not from 0 to %d", n.value, n.most))
		}
	}
	if s.SegmentMB > 0 && s.TotalMB > 0 && s.TotalMB < 3*s.SegmentMB {
		return f.Error("settles.total_mb", fmt.Sprintf("%d is less than three segments of %d", s.TotalMB, s.SegmentMB))
	}
	if classes == nil {
		return nil
	}
	for _, name := range s.Classes {
		class := slices.Index(classes, name)
		if class < 0 {
			return f.Error("settles.classes", fmt.Sprintf("%q is none of %s", name, strings.Join(classes, ", ")))
		}
		if settings[class].Effect == saltmast.Safe {
			return f.Error("settles.classes", fmt.Sprintf("%s may be repeated at will: there is nothing to record", name))
		}
	}
	return nil
}

// Thrift is the listener for callers that speak framed Thrift, and the servers that do.
type Thrift struct {
	Listen     string   `toml:"listen"`
	Kind       string   `toml:"kind"`        // of the servers that speak Thrift, as the list has it
	IDs        string   `toml:"ids"`         // and a pattern of their ids, as in path.Match
	Protocol   string   `toml:"protocol"`    // towards servers: binary or compact
	Rejected   string   `toml:"rejected"`    // an exception whose text begins so has not run
	Ping       string   `toml:"ping"`        // a method without arguments or effect to probe with; empty: no probes
	FrameBytes int      `toml:"frame_bytes"` // of a call or an answer at most; 0: 65536
	Methods    []Method `toml:"method"`
}

// Method maps the calls of one method. Paths are field ids from the arguments inwards, such as 1.2; empty: it has none.
type Method struct {
	Name    string `toml:"name"` // also Service:method of multiplexed callers
	Class   string `toml:"class"`
	ID      string `toml:"id"`
	Key     string `toml:"key"`
	Budget  string `toml:"budget_ms"`
	Tenant  string `toml:"tenant"`
	Route   string `toml:"route"`
	Account string `toml:"account"` // what a call is recorded by, see Settles
	Oneway  bool   `toml:"oneway"`  // its callers read no answer, also where they do not mark the call so
}

// maxFrame bounds frame_bytes: a frame is held in memory for as long as its call is open.
const maxFrame = 1 << 20

// LoadOperator reads the operator's file. classes are the names that the platform's configuration knows, with their
// settings; nil: classes are not checked. An error is one line that names the file, the line and the key.
func LoadOperator(name string, classes []string, settings []saltmast.Class) (*Operator, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err // names the file
	}
	return ParseOperator(name, text, classes, settings)
}

// ParseOperator reads the text of an operator's file; see LoadOperator.
func ParseOperator(name string, text []byte, classes []string, settings []saltmast.Class) (*Operator, error) {
	f, err := tomlfile.Read(name, text)
	if err != nil {
		return nil, err
	}
	o := &Operator{}
	if err := f.Decode(o, true); err != nil {
		return nil, err
	}
	if o.Settles != nil {
		if err := o.Settles.check(f, classes, settings); err != nil {
			return nil, err
		}
	}
	if o.Thrift != nil {
		if err := o.Thrift.check(f, classes, settings); err != nil {
			return nil, err
		}
	}
	if o.Peers != nil {
		if err := o.Peers.check(f); err != nil {
			return nil, err
		}
	}
	return o, nil
}

func (t *Thrift) check(f *tomlfile.File, classes []string, settings []saltmast.Class) error {
	if err := discovery.CheckAddr(t.Listen); err != nil {
		return f.Error("thrift.listen", err.Error())
	}
	if t.Kind == "" && t.IDs == "" {
		return f.Error("thrift.kind", "missing: kind or ids must tell which servers speak Thrift")
	}
	if _, err := path.Match(t.IDs, ""); err != nil {
		return f.Error("thrift.ids", fmt.Sprintf("%q is no pattern", t.IDs))
	}
	switch t.Protocol {
	case "":
		t.Protocol = "binary"
	case "binary", "compact":
	default:
		return f.Error("thrift.protocol", fmt.Sprintf("%q is neither binary nor compact", t.Protocol))
	}
	if t.FrameBytes < 0 || t.FrameBytes > maxFrame {
		return f.Error("thrift.frame_bytes", fmt.Sprintf("%d is not from 0 to %d", t.FrameBytes, maxFrame))
	}
	if len(t.Methods) == 0 {
		return f.Error("thrift.method", "at least one is wanted")
	}
	names := map[string]bool{}
	for i, m := range t.Methods {
		at := func(k string) string { return fmt.Sprintf("thrift.method[%d].%s", i, k) }
		if m.Name == "" || names[m.Name] {
			return f.Error(at("name"), fmt.Sprintf("%q: wanted, once each", m.Name))
		}
		names[m.Name] = true
		for _, p := range []struct{ key, path string }{{"id", m.ID}, {"key", m.Key}, {"budget_ms", m.Budget}, {"tenant", m.Tenant}, {"route", m.Route}, {"account", m.Account}} {
			if _, err := FieldPath(p.path); err != nil {
				return f.Error(at(p.key), err.Error())
			}
		}
		if classes == nil {
			continue
		}
		class := slices.Index(classes, m.Class)
		if class < 0 {
			return f.Error(at("class"), fmt.Sprintf("%q is none of %s", m.Class, strings.Join(classes, ", ")))
		}
		if settings[class].Effect == saltmast.Keyed && m.Key == "" {
			return f.Error(at("key"), fmt.Sprintf("missing: %s is keyed", m.Class))
		}
	}
	return nil
}

// Serves reports whether a server speaks Thrift.
func (t *Thrift) Serves(id, kind string) bool {
	if t.Kind != "" && t.Kind != kind {
		return false
	}
	if t.IDs == "" {
		return true
	}
	ok, _ := path.Match(t.IDs, id)
	return ok
}

// FieldPath reads a path of field ids, such as 1.2; an empty text is no path.
func FieldPath(text string) (ids []int16, err error) {
	if text == "" {
		return nil, nil
	}
	for _, part := range strings.Split(text, ".") {
		n, err := strconv.ParseInt(part, 10, 16)
		if err != nil {
			return nil, fmt.Errorf("%q is no path of field ids, such as 1.2", text)
		}
		ids = append(ids, int16(n))
	}
	if len(ids) > 16 {
		return nil, fmt.Errorf("%q is longer than 16 ids", text)
	}
	return ids, nil
}
