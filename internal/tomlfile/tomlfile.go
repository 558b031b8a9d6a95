// Package tomlfile reads TOML files strictly, and says of what is wrong in one line which file, line and key it is.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a file's text with the lines of its keys.
type File struct {
	name  string
	text  []byte
	lines map[string]int
}

// Read checks that a text is TOML.
func Read(name string, text []byte) (*File, error) {
	f := &File{name: name, text: text}
	var any map[string]any
	if err := toml.Unmarshal(text, &any); err != nil {
		return nil, f.located(err)
	}
	f.lines = linesOf(text)
	return f, nil
}

// Line is the line on which a key stands, such as fault[2].at_s; arrays of tables are counted from 0. 0: nowhere.
func (f *File) Line(key string) int { return f.lines[key] }

// Error says what is wrong with a key.
func (f *File) Error(key, why string) error { return f.at(f.lines[key], key, why) }

func (f *File) at(line int, key, why string) error {
	if line > 0 {
		return fmt.Errorf("%s:%d: %s: %s", f.name, line, key, why)
	}
	return fmt.Errorf("%s: %s: %s", f.name, key, why)
}

// Decode fills v. Without strict, keys that v lacks are passed over.
func (f *File) Decode(v any, strict bool) error {
	d := toml.NewDecoder(bytes.NewReader(f.text))
	if strict {
		d.DisallowUnknownFields()
	}
	if err := d.Decode(v); err != nil {
		return f.located(err)
	}
	return nil
}

// located puts the place of a decoder's error in one line.
func (f *File) located(err error) error {
	at := f.at
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return at(row, dotted(e.Key()), "unknown key")
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		key := dotted(de.Key())
		if key == "" {
			key = "syntax"
		}
		return at(row, key, de.Error())
	}
	return at(0, "toml", err.Error())
}

func dotted(k toml.Key) string {
	var b bytes.Buffer
	for i, part := range k {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}

// linesOf returns the line on which each key of a well-formed document stands, with arrays of tables counted
// from 0, as in fault[2].at_s.
func linesOf(text []byte) map[string]int {
	lines := map[string]int{}
	count := map[string]int{}
	prefix := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		path, row := "", 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if row == 0 {
				row = p.Shape(n.Raw).Start.Line
			}
			if path != "" {
				path += "."
			}
			path += string(n.Data)
		}
		switch e.Kind {
		case unstable.Table:
			prefix = path + "."
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", path, count[path])
			count[path]++
			lines[prefix[:len(prefix)-1]] = row
		case unstable.KeyValue:
			path = prefix + path
		}
		if e.Kind != unstable.ArrayTable {
			lines[path] = row
		}
	}
	return lines
}
