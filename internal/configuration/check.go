package configuration

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"saltmast/internal/schema"
)

//go:embed manifest.cue
var configurationSchema string

// Check tells whether each item of the call is valid by itself: first its types and bounds, by the schema in CUE, then what
// spans several fields. What spans several items is for the Check of a set that the call was joined to. An error is an
// *Invalid.
func (c Call) Check() error {
	if err := c.survey(); err != nil {
		return err
	}
	for _, of := range [][]Item{c.Items, c.lower} {
		for _, i := range of {
			if i.Dropped {
				continue
			}
			if a, b, found := sameName(i.Spec); found {
				return invalid(i.Key.String(), "%q and %q are one name", a, b)
			}
			if err := checkItem(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// sameName finds two names of one object that are equal but for case. A reader that doesn't mind case goes by their order, which
// contents don't have: they would be one content with two effects.
func sameName(spec []byte) (a, b string, found bool) {
	type object struct {
		names map[string]string // folded to as written; nil: an array
		value bool              // a value comes next
	}
	var open []object
	for d := json.NewDecoder(bytes.NewReader(spec)); ; {
		token, err := d.Token()
		if err != nil { // the end; what can't be read was found before
			return "", "", false
		}
		switch token {
		case json.Delim('{'):
			open = append(open, object{names: map[string]string{}})
			continue
		case json.Delim('['):
			open = append(open, object{})
			continue
		case json.Delim('}'), json.Delim(']'):
			open = open[:len(open)-1]
		}
		if len(open) == 0 {
			continue
		}
		o := &open[len(open)-1]
		name, named := token.(string)
		if o.names == nil || o.value || !named { // a value, or one that ended
			o.value = false
			continue
		}
		folded := strings.ToLower(name)
		if was, twice := o.names[folded]; twice && was != name {
			return was, name, true
		}
		o.names[folded], o.value = name, true
	}
}

// survey holds the items against the schema in one go: most of its cost is the schema's own.
func (c Call) survey() error {
	items := slices.DeleteFunc(slices.Clone(c.Items), func(i Item) bool { return i.Dropped })
	slices.SortFunc(items, func(a, b Item) int { return a.Key.compare(b.Key) })
	doc := []byte{'{'}
	for n, i := range items {
		switch {
		case n == 0:
			doc = append(append(append(doc, '"'), i.Key.Kind.String()...), `":{`...)
		case items[n-1].Key.Kind != i.Key.Kind:
			doc = append(append(append(doc, `},"`...), i.Key.Kind.String()...), `":{`...)
		default:
			doc = append(doc, ',')
		}
		doc = append(append(append(doc, text(i.Key.Name)...), ':'), i.Spec...)
	}
	if len(items) == 0 {
		return nil
	}
	err := schema.JSON(configurationSchema, append(doc, "}}"...), nil)
	if err == nil {
		return nil
	}
	e := &Invalid{Where: "call", Why: err.Error()}
	var f *schema.Fault
	if errors.As(err, &f) && len(f.Path) >= 2 {
		e.Where = Key{Kind: Kind(max(0, slices.Index(kinds[:], f.Path[0]))), Name: f.Path[1]}.String()
		e.Why = (&schema.Fault{Path: f.Path[2:], Want: f.Want, Got: f.Got}).Error()
	}
	return e
}

func checkItem(i Item) (err error) {
	switch i.Key.Kind {
	case Routes:
		_, err = readRoute(i)
	case Services:
		_, err = readService(i)
	case Limits:
		_, err = readLimits(i)
	default:
		err = invalid(i.Key.String(), "unknown")
	}
	return err
}

// Check tells whether what stands is valid as a whole: each item can be read, each route leads to services that stand, and no
// two routes share host and prefix. Schemas are left out here: every item of a set came in a call that passed its own Check.
// For a set that keeps its chart it costs next to nothing, else it reads all items. An error is an *Invalid, of the first item
// at fault.
func (s Set) Check() error { return s.Chart().fault() }
