// Package mapping turns entries of a recording into the kit's terms: class, tenant, key, account, id. It does no I/O and sends
// nothing as something else: what no rule maps stays unmapped and is counted. Start reading at Parse and Map.
package mapping

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"

	"saltmast/internal/recording"
	"saltmast/internal/tomlfile"
)

// Rules map entries: the first that matches counts. Without any, the first part of a path is the class.
type Rules struct {
	Rule []Rule `toml:"rule"`
}

// Rule maps the entries that it matches. Method, Host, Path and the header are patterns as in path.Match, but that a ** at the
// end of a path stands for all that follows; empty ones match anything.
type Rule struct {
	Method string `toml:"method"`
	Host   string `toml:"host"`
	Path   string `toml:"path"` // without the query
	Header string `toml:"header"`
	Value  string `toml:"value"` // of Header; empty: it is there

	Class string `toml:"class"`
	Drop  bool   `toml:"drop"` // they are left out on purpose, and are no finding

	Tenant  string `toml:"tenant"` // where to find it: header:NAME, query:NAME, path:N, json:a.b, or fixed:TEXT
	Key     string `toml:"key"`
	Account string `toml:"account"`
	ID      string `toml:"id"`
	Route   string `toml:"route"`

	// Effect is what repeating one does: safe, keyed or unsafe. It can make a class stricter than its requests show, never milder.
	Effect string `toml:"effect"`
}

// Mapped is an entry in the kit's terms.
type Mapped struct {
	Class                           string
	Tenant, Key, Account, ID, Route string // as recorded; none of it is ever sent as it is
	Effect                          string // as the rule states it; "" where it does not
}

// Result says what became of an entry.
type Result int

// Results.
const (
	Unmatched Result = iota
	Taken
	Dropped
)

// maxRules bounds a file.
const maxRules = 1000

// Parse reads a file of rules. classes are those that there are; nil: any. An error is one line that names file, line and key.
func Parse(name string, text []byte, classes []string) (*Rules, error) {
	f, err := tomlfile.Read(name, text)
	if err != nil {
		return nil, err
	}
	r := &Rules{}
	if err := f.Decode(r, true); err != nil {
		return nil, err
	}
	if len(r.Rule) == 0 || len(r.Rule) > maxRules {
		return nil, f.Error("rule", fmt.Sprintf("%d of them, 1 to %d wanted", len(r.Rule), maxRules))
	}
	for i := range r.Rule {
		x := &r.Rule[i]
		at := func(key string) string { return fmt.Sprintf("rule[%d].%s", i, key) }
		for _, p := range []struct{ key, pattern string }{{"method", x.Method}, {"host", x.Host}, {"path", strings.TrimSuffix(x.Path, "**")}, {"value", x.Value}} {
			if _, err := path.Match(p.pattern, ""); err != nil {
				return nil, f.Error(at(p.key), fmt.Sprintf("%q is no pattern", p.pattern))
			}
		}
		switch {
		case x.Path != "" && !strings.HasPrefix(x.Path, "/") && !strings.HasPrefix(x.Path, "*"):
			return nil, f.Error(at("path"), fmt.Sprintf("%q does not begin with /", x.Path))
		case x.Value != "" && x.Header == "":
			return nil, f.Error(at("value"), "header is missing")
		case x.Drop && x.Class != "":
			return nil, f.Error(at("class"), "what is dropped has none")
		case !x.Drop && x.Class == "":
			return nil, f.Error(at("class"), "missing")
		case x.Effect != "" && !slices.Contains([]string{"safe", "keyed", "unsafe"}, x.Effect):
			return nil, f.Error(at("effect"), fmt.Sprintf("%q is none of safe, keyed, unsafe", x.Effect))
		case classes != nil && !x.Drop && !slices.Contains(classes, x.Class):
			return nil, f.Error(at("class"), fmt.Sprintf("%q is none of %s", x.Class, strings.Join(classes, ", ")))
		}
		x.Header = strings.ToLower(x.Header)
		for _, p := range []struct{ key, from string }{{"tenant", x.Tenant}, {"key", x.Key}, {"account", x.Account}, {"id", x.ID}, {"route", x.Route}} {
			if err := checkPlace(p.from); err != nil {
				return nil, f.Error(at(p.key), err.Error())
			}
		}
	}
	return r, nil
}

func checkPlace(from string) error {
	if from == "" {
		return nil
	}
	kind, rest, ok := strings.Cut(from, ":")
	if !ok || rest == "" || !slices.Contains([]string{"header", "query", "path", "json", "fixed"}, kind) {
		return fmt.Errorf("%q is none of header:NAME, query:NAME, path:N, json:a.b, fixed:TEXT", from)
	}
	if kind == "path" {
		if n, err := strconv.Atoi(rest); err != nil || n < 1 || n > 100 {
			return fmt.Errorf("%q: the parts of a path are counted from 1", from)
		}
	}
	return nil
}

// Map maps an entry. r may be nil: then the first part of the path is the class, if it is one of classes (nil: any).
func (r *Rules) Map(e *recording.Entry, classes []string) (Mapped, Result) {
	plain, query, _ := strings.Cut(e.Path, "?")
	if r == nil {
		class, _, _ := strings.Cut(strings.TrimPrefix(plain, "/"), "/")
		if class == "" || classes != nil && !slices.Contains(classes, class) {
			return Mapped{}, Unmatched
		}
		return Mapped{Class: class, Key: e.Field["idempotency-key"], ID: e.Field["x-call-id"], Route: e.Field["x-route-hash"], Tenant: e.Field["x-caller"]}, Taken
	}
	for i := range r.Rule {
		x := &r.Rule[i]
		if !x.matches(e, plain) {
			continue
		}
		if x.Drop {
			return Mapped{}, Dropped
		}
		get := func(from string) string { return find(e, plain, query, from) }
		return Mapped{Class: x.Class, Tenant: get(x.Tenant), Key: get(x.Key), Account: get(x.Account), ID: get(x.ID), Route: get(x.Route), Effect: x.Effect}, Taken
	}
	return Mapped{}, Unmatched
}

func (x *Rule) matches(e *recording.Entry, plain string) bool {
	like := func(pattern, s string) bool {
		ok, _ := path.Match(pattern, s)
		return pattern == "" || ok
	}
	if !like(x.Method, e.Method) || !like(strings.ToLower(x.Host), strings.ToLower(e.Host)) {
		return false
	}
	if head, ok := strings.CutSuffix(x.Path, "**"); ok {
		// The pattern's parts are held against as many of the path's.
		parts := strings.Count(head, "/")
		i, rest := 0, plain
		for range parts {
			n := strings.IndexByte(rest, '/')
			if n < 0 {
				return false
			}
			i += n + 1
			rest = plain[i:]
		}
		if !like(head, plain[:i]) {
			return false
		}
	} else if !like(x.Path, plain) {
		return false
	}
	if x.Header != "" {
		v, ok := e.Field[x.Header]
		return ok && like(x.Value, v)
	}
	return true
}

// find gives the value at a place; "" where there is none.
func find(e *recording.Entry, plain, query, from string) string {
	kind, name, _ := strings.Cut(from, ":")
	switch kind {
	case "header":
		return e.Field[strings.ToLower(name)]
	case "query":
		values, _ := url.ParseQuery(query)
		return values.Get(name)
	case "path":
		n, _ := strconv.Atoi(name)
		parts := strings.Split(strings.Trim(plain, "/"), "/")
		if n < 1 || n > len(parts) {
			return ""
		}
		v, err := url.PathUnescape(parts[n-1])
		if err != nil {
			return parts[n-1]
		}
		return v
	case "json":
		var v any
		d := json.NewDecoder(bytes.NewReader(e.Body))
		d.UseNumber()
		if d.Decode(&v) != nil {
			return ""
		}
		for _, key := range strings.Split(name, ".") {
			object, _ := v.(map[string]any)
			v = object[key]
		}
		switch v := v.(type) {
		case string:
			return v
		case json.Number:
			return v.String()
		}
	case "fixed":
		return name
	}
	return ""
}
