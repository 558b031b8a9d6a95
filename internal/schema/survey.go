// Package schema holds data against a CUE schema and tells in one line what is wrong with it.
//
// Nothing of CUE outlives a call: a program that reads settings once and a configuration now and then keeps no schema in
// memory. A field of a schema may carry @want("words") for what is expected there.
package schema

import (
	"fmt"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/encoding/json"
	"cuelang.org/go/encoding/yaml"
)

// Fault is the first value that breaks a schema.
type Fault struct {
	Path []string // keys from outside inwards; nil: the data as a whole
	Want string   // what is expected, in words
	Got  string   // what is there, or why it can't be read, at most 80 bytes
}

func (f *Fault) Error() string {
	s := "wanted " + f.Want
	if f.Got != "" {
		s += ", got " + f.Got
	}
	if len(f.Path) > 0 {
		s = strings.Join(f.Path, ".") + ": " + s
	}
	return s
}

// YAML checks a YAML document against the schema and decodes it into out, unless that is nil. The error is a *Fault unless
// out doesn't fit the schema.
func YAML(schema string, data []byte, out any) error {
	f, err := yaml.Extract("", data)
	if err != nil {
		return unread("a YAML document", err)
	}
	return check(schema, func(c *cue.Context) cue.Value { return c.BuildFile(f) }, out)
}

// JSON does the same with a JSON document.
func JSON(schema string, data []byte, out any) error {
	x, err := json.Extract("", data)
	if err != nil {
		return unread("a JSON document", err)
	}
	return check(schema, func(c *cue.Context) cue.Value { return c.BuildExpr(x) }, out)
}

func unread(want string, err error) error {
	text, _, _ := strings.Cut(err.Error(), "\n")
	if after, ok := strings.CutPrefix(text, ":"); ok { // the name of the file would come first
		text = "line " + after
	}
	return &Fault{Want: want, Got: short(text, 80)}
}

func check(schema string, build func(*cue.Context) cue.Value, out any) error {
	c := cuecontext.New()
	s := c.CompileString(schema)
	if err := s.Err(); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	data := build(c)
	both := s.Unify(data)
	if err := both.Validate(cue.Concrete(true)); err != nil {
		return faultOf(s, data, err)
	}
	if out == nil {
		return nil
	}
	return both.Decode(out)
}

// faultOf turns CUE's errors, of which there may be several for one value, into one about the first.
func faultOf(schema, data cue.Value, err error) *Fault {
	first := errors.Errors(err)[0]
	f := &Fault{}
	for _, p := range first.Path() {
		if u, err := strconv.Unquote(p); err == nil {
			p = u
		}
		f.Path = append(f.Path, p)
	}
	// What is wanted stands at the innermost field that says so.
	at := schema
	for i, p := range f.Path {
		for _, sel := range []cue.Selector{cue.Str(p), cue.Str(p).Optional(), cue.Str(p).Required(), index(p), cue.AnyString, cue.AnyIndex} {
			if next := at.LookupPath(cue.MakePath(sel)); next.Exists() {
				at = next
				break
			}
		}
		a := at.Attribute("want")
		if words, err := a.String(0); err == nil {
			f.Want = words
		}
		if i == 0 {
			data = data.LookupPath(cue.MakePath(cue.Str(p)))
		} else if data.IncompleteKind() == cue.ListKind {
			data = data.LookupPath(cue.MakePath(index(p)))
		} else {
			data = data.LookupPath(cue.MakePath(cue.Str(p)))
		}
	}
	raw, notJSON := data.MarshalJSON()
	switch {
	case !data.Exists():
		f.Got = "nothing"
	case notJSON == nil:
		f.Got = short(string(raw), 40)
	default: // it is at odds with itself: a key that comes twice
		format, args := first.Msg()
		f.Want, f.Got = "one value", short(fmt.Sprintf(format, args...), 80)
	}
	if f.Want == "" {
		f.Want = "named fields"
	}
	return f
}

func index(p string) cue.Selector {
	if n, err := strconv.Atoi(p); err == nil && n >= 0 && n < 1<<20 {
		return cue.Index(n)
	}
	return cue.AnyIndex
}

// short makes a line of at most n bytes of a text.
func short(s string, n int) string {
	s = strings.Join(strings.Fields(s), " ")
	if len(s) > n {
		s = strings.ToValidUTF8(s[:n-3], "") + "..."
	}
	return s
}
