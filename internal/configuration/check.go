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

//go:embed configuration.cue
var configurationSchema string

// Check validates each item of the call on its own: first types and bounds, with the CUE schema, then rules that span several
// fields. Rules that span several items are checked by Set.Check, after the call was joined into the set. Errors are of type
// *ValidationError.
func (c Call) Check() error {
	if err := c.checkSchema(); err != nil {
		return err
	}
	for _, items := range [][]Item{c.Items, c.superseded} {
		for _, i := range items {
			if i.Deleted {
				continue
			}
			if a, b, found := duplicateName(i.Spec); found {
				return invalid(i.Key.String(), "%q and %q are one name", a, b)
			}
			if err := validateItem(i); err != nil {
				return err
			}
		}
	}
	return nil
}

// duplicateName finds two names in one object that differ only in case. Decoders that ignore case use whichever comes last,
// but the order of names is not part of the content: equal contents would have different effects.
func duplicateName(spec []byte) (a, b string, found bool) {
	type object struct {
		names map[string]string // lower-cased name to name as written; nil for an array
		value bool              // the next token is a value
	}
	var stack []object
	for d := json.NewDecoder(bytes.NewReader(spec)); ; {
		token, err := d.Token()
		if err != nil { // end of input; syntax errors were reported earlier
			return "", "", false
		}
		switch token {
		case json.Delim('{'):
			stack = append(stack, object{names: map[string]string{}})
			continue
		case json.Delim('['):
			stack = append(stack, object{})
			continue
		case json.Delim('}'), json.Delim(']'):
			stack = stack[:len(stack)-1]
		}
		if len(stack) == 0 {
			continue
		}
		o := &stack[len(stack)-1]
		name, named := token.(string)
		if o.names == nil || o.value || !named { // a value, or the end of a nested one
			o.value = false
			continue
		}
		folded := strings.ToLower(name)
		if first, exists := o.names[folded]; exists && first != name {
			return first, name, true
		}
		o.names[folded], o.value = name, true
	}
}

// checkSchema validates all items against the schema at once, because compiling the schema is most of the cost.
func (c Call) checkSchema() error {
	items := slices.DeleteFunc(slices.Clone(c.Items), func(i Item) bool { return i.Deleted })
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
		doc = append(append(append(doc, quoteJSON(i.Key.Name)...), ':'), i.Spec...)
	}
	if len(items) == 0 {
		return nil
	}
	err := schema.JSON(configurationSchema, append(doc, "}}"...), nil)
	if err == nil {
		return nil
	}
	e := &ValidationError{Subject: "call", Reason: err.Error()}
	var f *schema.Violation
	if errors.As(err, &f) && len(f.Path) >= 2 {
		e.Subject = Key{Kind: Kind(max(0, slices.Index(kindNames[:], f.Path[0]))), Name: f.Path[1]}.String()
		e.Reason = (&schema.Violation{Path: f.Path[2:], Expected: f.Expected, Actual: f.Actual}).Error()
	}
	return e
}

func validateItem(i Item) (err error) {
	switch i.Key.Kind {
	case Routes:
		_, err = decodeRoute(i)
	case Services:
		_, err = decodeService(i)
	case Limits:
		_, err = decodeLimits(i)
	default:
		err = invalid(i.Key.String(), "unknown")
	}
	return err
}

// Check validates the live items as a whole: each can be decoded, each route refers to existing services, and no two routes
// have the same host and prefix. The schema is not applied: every item of a set came in a call that passed Call.Check. The
// check is cheap for a set that keeps its routing table; otherwise all items are decoded. The error is a *ValidationError for
// the first invalid item.
func (s Set) Check() error { return s.RoutingTable().validate() }
