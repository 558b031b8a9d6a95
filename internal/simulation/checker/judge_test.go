package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// What calls a repeated run makes counts as repeated where it arrives, each arrival of it.
func TestCallsOfRepeatedRuns(t *testing.T) {
	for _, c := range []struct {
		repeats int // of 100 runs, each of which makes one call
		broken  bool
	}{{60, false}, {61, true}} {
		l := &Log{ReadOK: true, Bounds: Bounds{Window: 10 * time.Second, Ratio: 0, Allowance: 60, Dedup: time.Minute}}
		run := func(id, service string, at time.Duration) *Run {
			r := &Run{ID: id, Service: service, At: at, Path: "/" + service + "/", Seal: "s" + id}
			l.AddRun(r)
			return r
		}
		try := func(id, service string, at time.Duration, of *Run) {
			l.AddTry(&Try{ID: id, Path: "/" + service + "/", Kind: "idempotent", Sent: at, End: at, Status: 500, Of: of, Complete: true, Whole: at})
		}
		l.AddCall(&Call{Items: []Item{{Kind: "routes", Name: "p", Version: 1, Prefix: "/parent/", Services: []string{"parent"}},
			{Kind: "routes", Name: "c", Version: 1, Prefix: "/child/", Services: []string{"child"}}}})
		for i := range 100 {
			id, at := fmt.Sprint("p", i), time.Duration(i+1)*time.Millisecond
			try(id, "parent", at, nil)
			for k := range 2 {
				if k == 1 && i >= c.repeats {
					break
				}
				inner := fmt.Sprint("c", i, k)
				try(inner, "child", at, run(id, "parent", at))
				run(inner, "child", at)
			}
		}
		var told []string
		for _, b := range Judge(l) {
			if b.Rule == "BUDGET" {
				told = append(told, b.String())
			}
		}
		if c.broken != strings.Contains(strings.Join(told, " "), "child: 61 further arrivals in 10s (61 by calls") {
			t.Errorf("%d repeats: %v", c.repeats, told)
		}
	}
}
