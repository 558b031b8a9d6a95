package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"

	"saltmast"
)

// Reread reads the configuration once more for a running agent. What running has and the file lacks, or has in another
// type, is no wish of an operator's but a file that was cut or is half written: it is turned down whole, by one line that
// names the file and the key.
func Reread(path string, running *Config) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err // names the file
	}
	c, err := Parse(raw)
	if err == nil {
		err = running.lacks(c)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// may lists, by place, the keys of the settings that may be absent from one file and not from another.
var may = map[string]bool{"AimStretch": true, "KeepOrder": true, "Group": true, "WindowMs": true, "PassesDeadline": true, "WarmKeys": true, "Fleet": true}

// lacks reports the first key that c has and n does not.
func (c *Config) lacks(n *Config) error {
	if err := lacks(c.raw, n.raw, ""); err != nil {
		return err
	}
	if n.Settings.Subscribe != c.Settings.Subscribe {
		return errors.New("settings.MembershipMode: can't change while the agent runs")
	}
	return nil
}

func lacks(old, now any, at string) error {
	switch old := old.(type) {
	case map[string]any:
		n, ok := now.(map[string]any)
		if !ok {
			return fmt.Errorf("%s: an object is wanted", at)
		}
		for _, key := range sortedKeys(old) {
			place := key
			if at != "" {
				place = at + "." + key
			}
			v, ok := n[key]
			switch {
			case !ok && may[key]:
			case !ok:
				return fmt.Errorf("%s: missing", place)
			case place == "known": // a list, not a setting
			default:
				if err := lacks(old[key], v, place); err != nil {
					return err
				}
			}
		}
	case []any:
		n, ok := now.([]any)
		if !ok {
			return fmt.Errorf("%s: a list is wanted", at)
		}
		if len(old) > 0 {
			if _, ok := old[0].(map[string]any); ok { // what all have before, each has to have now
				for i, v := range n {
					if err := lacks(common(old), v, fmt.Sprintf("%s[%d]", at, i)); err != nil {
						return err
					}
				}
			}
		}
	default:
		if fmt.Sprintf("%T", old) != fmt.Sprintf("%T", now) && old != nil {
			return fmt.Errorf("%s: %s is wanted", at, kind(old))
		}
	}
	return nil
}

// common is what all objects of a list have.
func common(all []any) map[string]any {
	out := map[string]any{}
	first, _ := all[0].(map[string]any)
	for key, v := range first {
		if !slices.ContainsFunc(all, func(o any) bool { m, _ := o.(map[string]any); _, ok := m[key]; return !ok }) {
			out[key] = v
		}
	}
	return out
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func kind(v any) string {
	switch v.(type) {
	case string:
		return "a text"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	}
	return "another type"
}

// checkRaw checks what the settings don't tell once they are read: numbers that are there and are none above 0, names twice.
func (c *Config) checkRaw() error {
	settings, _ := c.raw["settings"].(map[string]any)
	limits, _ := settings["PolicyLimits"].(map[string]any)
	if v, ok := limits["TryLimit"]; ok && !(above0(v)) {
		return fmt.Errorf("settings.PolicyLimits.TryLimit: %v is no number above 0", v)
	}
	profiles, _ := settings["Profiles"].([]any)
	for i, p := range profiles {
		fields, _ := p.(map[string]any)
		for _, key := range []string{"AimMs", "DeadlineMs"} {
			if !above0(fields[key]) {
				return fmt.Errorf("settings.Profiles[%d].%s: %v is no number above 0", i, key, fields[key])
			}
		}
	}
	seen := map[string]bool{}
	for i, name := range c.Names.Classes {
		if name == "" || seen[name] {
			return fmt.Errorf("settings.Profiles[%d].Name: %s is empty or there twice", i, strconv.Quote(name))
		}
		seen[name] = true
	}
	return nil
}

func above0(v any) bool {
	n, ok := v.(float64)
	return ok && n > 0
}

// From tells for each class of c which one of before it continues, by name; -1: none.
func (c *Config) From(before *Config) []int {
	from := make([]int, len(c.Names.Classes))
	for i, name := range c.Names.Classes {
		from[i] = slices.Index(before.Names.Classes, name)
	}
	return from
}

// Rules are the settings as a generation of them.
func (c *Config) Rules(generation uint64) *saltmast.Settings {
	s := c.Settings
	s.Generation = generation
	return &s
}

func rawOf(text []byte) (map[string]any, error) {
	var m map[string]any
	err := json.Unmarshal(text, &m)
	return m, err
}
