package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"saltmast/internal/testsupport"
)

func TestReread(t *testing.T) {
	whole := string(testsupport.Config("127.0.0.1:1", testsupport.Entry("s0", "127.0.0.1:2", "SERVING")))
	running, err := Parse([]byte(whole))
	if err != nil {
		t.Fatal(err)
	}
	change := func(old, now string) string {
		if !strings.Contains(whole, old) {
			t.Fatalf("%q is not in the configuration", old)
		}
		return strings.Replace(whole, old, now, 1)
	}
	const hold = `{"Name":"hold","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"by_key","Group":"cell","WindowMs":6000}`
	tests := []struct{ name, text, want string }{
		{"as it was", whole, ""},
		{"a class fewer", change(","+"\n  "+`{"Name":"settle","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"once"}`, ""), ""},
		{"a class more", change(hold, hold+","+strings.Replace(hold, `"hold"`, `"more"`, 1)), ""},
		{"another effect", change(hold, `{"Name":"hold","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"once"}`), ""},
		{"fewer attempts", change(`"TryLimit":3`, `"TryLimit":1`), ""},
		{"a further key", change(`"TryLimit":3`, `"TryLimit":3,"Later":1`), ""},
		{"empty", "", "unexpected end"},
		{"an empty object", "{}", "listen"},
		{"cut short", whole[:len(whole)-1], "unexpected end"},
		{"cut in half", whole[:len(whole)/2], "unexpected end"},
		{"something behind", whole + "x", "after top-level value"},
		{"no settings", change(`"settings"`, `"settinks"`), "settings: missing"},
		{"no limits", change(`"limits"`, `"limit"`), "limits: missing"},
		{"no list", change(`"known"`, `"unknown"`), "known: missing"},
		{"no name", change(`"name"`, `"nome"`), "name: missing"},
		{"no discovery", change(`"discovery"`, `"nodiscovery"`), "discovery"},
		{"no number of attempts", change(`"TryLimit":3,`, ""), "settings.PolicyLimits.TryLimit: missing"},
		{"no attempts", change(`"TryLimit":3`, `"TryLimit":0`), "settings.PolicyLimits.TryLimit: 0"},
		{"attempts below", change(`"TryLimit":3`, `"TryLimit":-2`), "TryLimit"},
		{"attempts as a text", change(`"TryLimit":3`, `"TryLimit":"3"`), "TryLimit"},
		{"attempts null", change(`"TryLimit":3`, `"TryLimit":null`), "TryLimit"},
		{"half an attempt", change(`"TryLimit":3`, `"TryLimit":1.5`), "TryLimit"},
		{"no deadline", change(`"DeadlineMs":8000,`, ""), "settings.Profiles[0].DeadlineMs"},
		{"a deadline of 0", change(`"DeadlineMs":8000`, `"DeadlineMs":0`), "settings.Profiles[0].DeadlineMs: 0"},
		{"a deadline below", change(`"DeadlineMs":8000`, `"DeadlineMs":-1`), "settings.Profiles[0].DeadlineMs: -1"},
		{"a deadline as a text", change(`"DeadlineMs":8000`, `"DeadlineMs":"soon"`), "DeadlineMs"},
		{"a deadline null", change(`"DeadlineMs":8000`, `"DeadlineMs":null`), "DeadlineMs"},
		{"no worth", change(`"Worth":1,`, ""), "settings.Profiles[0].Worth: missing"},
		{"no effect", change(`,"Semantics":"repeatable"`, ""), "Semantics"},
		{"an unknown effect", change(`"repeatable"`, `"perhaps"`), "perhaps"},
		{"no name of a class", change(`"Name":"look",`, ""), "Profiles[0].Name"},
		{"a class twice", change(`"Name":"look"`, `"Name":"hold"`), "settings.Profiles[1].Name"},
		{"no classes", change(`"Profiles":[`, `"Profiles":[],"Old":[`), "none makes no sense"},
		{"a part is no object", change(`"Contract":{`, `"Contract":7,"Old":{`), "Contract"},
		{"true for a number", change(`"IdleCloseMs":60000`, `"IdleCloseMs":true`), "IdleCloseMs"},
		{"another way to get the list", change(`"subscribe"`, `"automatic"`), "MembershipMode"},
	}
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Reread(path, running)
		switch {
		case tt.want == "" && err != nil:
			t.Errorf("%s: %v", tt.name, err)
		case tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want) || !strings.HasPrefix(err.Error(), path) ||
			strings.Contains(err.Error(), "\n")):
			t.Errorf("%s: %v, want one line with the file and %q", tt.name, err, tt.want)
		case tt.want != "" && c != nil:
			t.Errorf("%s: half of it is given out", tt.name)
		}
	}
}

// Classes are matched by name, never by place.
func TestFrom(t *testing.T) {
	a := &Config{}
	a.Names.Classes = []string{"look", "hold", "settle"}
	b := &Config{}
	b.Names.Classes = []string{"settle", "new", "look"}
	if from := b.From(a); !slices.Equal(from, []int{2, -1, 0}) {
		t.Errorf("%v", from)
	}
}
