package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Tell sums a day up in a line.
func (l *Log) Tell() string {
	count := map[string]int{}
	for _, t := range l.Tries {
		switch {
		case t.Status == 0 && t.GaveUp:
			count["given up"]++
		case t.Status == 0:
			count["closed"]++
		case !t.Complete:
			count["cut off"]++
		default:
			count[fmt.Sprint(t.Status)]++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d tries, %d arrivals, %d calls;", len(l.Tries), len(l.Runs), len(l.Calls))
	for _, k := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(&b, " %s: %d", k, count[k])
	}
	return b.String()
}
