// Package schema validates data with a CUE schema and describes the first violation in one line.
//
// No CUE values are kept between calls, because programs validate settings and configurations only rarely and should not hold
// schemas in memory. The attribute @want("words") on a field of a schema describes what is expected there.
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

// Violation is the error for the first value that violates a schema.
type Violation struct {
	Path     []string // keys from the outermost to the innermost; nil for the data as a whole
	Expected string   // description of what is expected
	Actual   string   // the value found, or why it cannot be parsed, at most 80 bytes
}

func (f *Violation) Error() string {
	s := "wanted " + f.Expected
	if f.Actual != "" {
		s += ", got " + f.Actual
	}
	if len(f.Path) > 0 {
		s = strings.Join(f.Path, ".") + ": " + s
	}
	return s
}

// YAML validates a YAML document with the schema and decodes it into out, unless that is nil. Errors are of type *Violation,
// unless the schema is invalid or the data cannot be decoded into out.
func YAML(schema string, data []byte, out any) error {
	f, err := yaml.Extract("", data)
	if err != nil {
		return parseError("a YAML document", err)
	}
	return validate(schema, func(c *cue.Context) cue.Value { return c.BuildFile(f) }, out)
}

// JSON is YAML for a JSON document.
func JSON(schema string, data []byte, out any) error {
	x, err := json.Extract("", data)
	if err != nil {
		return parseError("a JSON document", err)
	}
	return validate(schema, func(c *cue.Context) cue.Value { return c.BuildExpr(x) }, out)
}

func parseError(want string, err error) error {
	text, _, _ := strings.Cut(err.Error(), "\n")
	if after, ok := strings.CutPrefix(text, ":"); ok { // the file name before the colon is empty
		text = "line " + after
	}
	return &Violation{Expected: want, Actual: truncate(text, 80)}
}

func validate(schema string, build func(*cue.Context) cue.Value, out any) error {
	c := cuecontext.New()
	s := c.CompileString(schema)
	if err := s.Err(); err != nil {
		return fmt.Errorf("schema: %w", err)
	}
	data := build(c)
	both := s.Unify(data)
	if err := both.Validate(cue.Concrete(true)); err != nil {
		return violationOf(s, data, err)
	}
	if out == nil {
		return nil
	}
	return both.Decode(out)
}

// violationOf converts CUE errors, of which there may be several for one value, to a Violation for the first of them.
func violationOf(schema, data cue.Value, err error) *Violation {
	first := errors.Errors(err)[0]
	f := &Violation{}
	for _, p := range first.Path() {
		if u, err := strconv.Unquote(p); err == nil {
			p = u
		}
		f.Path = append(f.Path, p)
	}
	// The innermost field with a @want attribute describes what is expected.
	at := schema
	for i, p := range f.Path {
		for _, sel := range []cue.Selector{cue.Str(p), cue.Str(p).Optional(), cue.Str(p).Required(), indexSelector(p), cue.AnyString, cue.AnyIndex} {
			if next := at.LookupPath(cue.MakePath(sel)); next.Exists() {
				at = next
				break
			}
		}
		a := at.Attribute("want")
		if words, err := a.String(0); err == nil {
			f.Expected = words
		}
		if i == 0 {
			data = data.LookupPath(cue.MakePath(cue.Str(p)))
		} else if data.IncompleteKind() == cue.ListKind {
			data = data.LookupPath(cue.MakePath(indexSelector(p)))
		} else {
			data = data.LookupPath(cue.MakePath(cue.Str(p)))
		}
	}
	raw, notJSON := data.MarshalJSON()
	switch {
	case !data.Exists():
		f.Actual = "nothing"
	case notJSON == nil:
		f.Actual = truncate(string(raw), 40)
	default: // conflicting values: a key occurs more than once
		format, args := first.Msg()
		f.Expected, f.Actual = "one value", truncate(fmt.Sprintf(format, args...), 80)
	}
	if f.Expected == "" {
		f.Expected = "named fields"
	}
	return f
}

func indexSelector(p string) cue.Selector {
	if n, err := strconv.Atoi(p); err == nil && n >= 0 && n < 1<<20 {
		return cue.Index(n)
	}
	return cue.AnyIndex
}

// truncate returns s on one line, truncated to at most n bytes.
func truncate(s string, n int) string {
	s = strings.Join(strings.Fields(s), " ")
	if len(s) > n {
		s = strings.ToValidUTF8(s[:n-3], "") + "..."
	}
	return s
}
