package manifest

import (
	_ "embed"
	"errors"
	"slices"

	"saltmast/internal/survey"
)

//go:embed manifest.cue
var schema string

// Check tells whether each item of the call is valid by itself: first its types and bounds, by the schema in CUE, then what
// spans several fields. What spans several items is for the Check of a set that the call was joined to. An error is an
// *Invalid.
func (c Call) Check() error {
	if err := c.survey(); err != nil {
		return err
	}
	for _, i := range c.Items {
		if i.Dropped {
			continue
		}
		if err := checkItem(i); err != nil {
			return err
		}
	}
	return nil
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
	err := survey.JSON(schema, append(doc, "}}"...), nil)
	if err == nil {
		return nil
	}
	e := &Invalid{Where: "call", Why: err.Error()}
	var f *survey.Fault
	if errors.As(err, &f) && len(f.Path) >= 2 {
		e.Where = Key{Kind: Kind(max(0, slices.Index(kinds[:], f.Path[0]))), Name: f.Path[1]}.String()
		e.Why = (&survey.Fault{Path: f.Path[2:], Want: f.Want, Got: f.Got}).Error()
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
// two routes share host and prefix. Schemas are left out here: every item of a set came in a call that passed its own Check,
// and this one runs over all of them for each call. An error is an *Invalid.
func (s Set) Check() error {
	type place struct{ host, prefix string }
	at := map[place]string{}
	for _, i := range s.standing() {
		if i.Key.Kind != Routes {
			if err := checkItem(i); err != nil {
				return err
			}
			continue
		}
		r, err := readRoute(i)
		if err != nil {
			return err
		}
		for _, share := range r.Split {
			if v, ok := s[Key{Kind: Services, Name: share.Service}]; !ok || v.Dropped {
				return invalid(i.Key.String(), "unknown service %s", quoted(share.Service))
			}
		}
		p := place{r.Host, r.Prefix}
		if o, ok := at[p]; ok {
			return invalid(i.Key.String(), "host %s and prefix %s are those of route %s", quoted(r.Host), quoted(r.Prefix), quoted(o))
		}
		at[p] = r.Name
	}
	return nil
}
