package rehearsal

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

// mostListed breaches are listed one by one; the rest are counted.
const mostListed = 12

// Table writes a result as a person reads it.
func (r *Result) Table(w io.Writer) {
	s := &r.Scenario
	fmt.Fprintf(w, "seed %d: %d servers, %d agents, %.0f requests a second for %.3g s; times run %.3gx as fast as in service\n\n",
		s.Seed, s.Servers, s.Agents, s.Rate, s.ForS, s.Speedup)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "went wrong\tfrom\tfor\twhom")
	for _, l := range Lanes(s) {
		fmt.Fprintf(t, "%s\t%.2f s\t%.2f s\t%s\n", l.Name, l.From, l.To-l.From, l.Whom)
	}
	t.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(t, "class\trequests\tworth in time\tserved late\trefused\tfailed\tunsent\tleft")
	row := func(name string, c grade.Score) {
		fmt.Fprintf(t, "%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\n", name, c.Requests, 100*c.Share, c.Late, c.Refused, c.Failed, c.Unsent, c.Left)
	}
	for _, c := range s.Classes {
		row(c.Name, r.Classes[c.Name])
	}
	row("all", r.Score)
	t.Flush()
	c := r.Counts
	fmt.Fprintf(w, "\nworst %.3g s: %.1f%% of the worth in time, from %.2f s\n", r.Worst.For.Seconds(), 100*r.Worst.Share, r.Worst.From.Seconds())
	fmt.Fprintf(w, "%d tries, %d attempts at servers, %d turned away there, %d repeats dropped, %d effects; %d servers pushed over\n",
		c.Tries, c.Attempts, c.Rejected, c.Repeats, c.Effects, c.Fell)
	if c.ClientTwice > 0 {
		fmt.Fprintf(w, "%d requests ran twice by a further try of their own client, after its agent was gone: no rule of the agent\n", c.ClientTwice)
	}
	fmt.Fprintf(w, "kit: sent %s late at the 99th percentile, %s at the most; stood still %d times; %s of processor time a try\n",
		short(r.Lateness.P99), short(r.Lateness.Max), r.Lateness.Stalls, short(r.Usage.KitPerTry))
	fmt.Fprintf(w, "agents: %s of processor time a try, %d MB at the most; the list was asked %d times and sent %d lines\n",
		short(r.Usage.AgentPerTry), r.Usage.AgentRSS>>20, r.ListLoad.Calls, r.ListLoad.Lines)
	fmt.Fprintf(w, "again: %s\n\n", r.Again())
	r.breaches(w)
	fmt.Fprintln(w, r.Line())
}

// breaches lists what broke, with the record's lines that prove the first of each rule.
func (r *Result) breaches(w io.Writer) {
	shown := map[string]bool{}
	for i, b := range r.Breaches {
		if i == mostListed {
			fmt.Fprintf(w, "and %d more; --json lists all\n\n", len(r.Breaches)-i)
			break
		}
		fmt.Fprintf(w, "BROKEN %s at %.3f s: %s", b.Rule, b.At.Seconds(), b.What)
		for _, f := range [][2]string{{"request", b.Request}, {"agent", b.Agent}, {"server", b.Server}} {
			if f[1] != "" {
				fmt.Fprintf(w, ", %s %s", f[0], f[1])
			}
		}
		if b.Over > 0 {
			fmt.Fprintf(w, ", %s over", short(b.Over))
		}
		fmt.Fprintln(w)
		if shown[b.Rule] {
			continue
		}
		shown[b.Rule] = true
		for j, e := range b.Proof {
			if j == 8 {
				fmt.Fprintf(w, "    and %d more\n", len(b.Proof)-j)
				break
			}
			fmt.Fprintf(w, "    %s\n", describe(e))
		}
	}
	if len(r.Breaches) > 0 {
		fmt.Fprintln(w)
	}
}

// describe is one event in a line.
func describe(e grade.Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.4f s  #%d %s", e.At.Seconds(), e.Seq, e.Kind)
	add := func(name, v string) {
		if v != "" && v != "0" && v != "0s" {
			fmt.Fprintf(&b, " %s=%s", name, v)
		}
	}
	add("agent", e.Agent)
	add("server", e.Server)
	add("attempt", fmt.Sprint(e.N))
	add("status", fmt.Sprint(e.Status))
	add("budget", e.Budget.String())
	if e.First > 0 && e.Kind == grade.Attempt {
		add("first-byte", fmt.Sprintf("%.4fs", e.First.Seconds()))
		add("work", short(e.Work))
	}
	if len(e.Entries) > 0 && len(e.Entries) <= 3 {
		for _, n := range e.Entries {
			add(n.Server, n.State)
		}
	} else if len(e.Entries) > 0 {
		add("entries", fmt.Sprint(len(e.Entries)))
	}
	add("note", e.Note)
	return b.String()
}

// Line is the verdict in one line.
func (r *Result) Line() string {
	part := ""
	if r.Partial {
		part = " (PARTIAL: stopped before its end)"
	}
	switch r.Verdict {
	case grade.Kept:
		return fmt.Sprintf("kept: all four rules, %.1f%% of the worth in time%s", 100*r.Share, part)
	case grade.Void:
		return fmt.Sprintf("void: %s%s", strings.Join(r.Why, "; "), part)
	}
	rules := map[string]int{}
	var order []string
	for _, b := range r.Breaches {
		if rules[b.Rule]++; rules[b.Rule] == 1 {
			order = append(order, b.Rule)
		}
	}
	for i, rule := range order {
		order[i] = fmt.Sprintf("%s %d times", rule, rules[rule])
		if rules[rule] == 1 {
			order[i] = rule + " once"
		}
	}
	return fmt.Sprintf("broke: %s, first %s at %.3f s%s", strings.Join(order, ", "), r.Breaches[0].Rule, r.Breaches[0].At.Seconds(), part)
}

// short is a duration with three digits or so.
func short(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

// Lane is one thing that goes wrong, as a band over the time of the load, in seconds.
type Lane struct {
	Name, Whom string
	From, To   float64
}

// Lanes are all faults and surges of a scenario by their begin.
func Lanes(s *scenario.Scenario) (lanes []Lane) {
	for _, u := range s.Surges {
		lanes = append(lanes, Lane{fmt.Sprintf("surge x%.2g", u.Times), "clients", u.AtS, min(s.ForS, u.AtS+u.ForS)})
	}
	for _, f := range s.Faults {
		name, whom := f.Kind, "the list"
		if f.Part > 0 {
			name += fmt.Sprintf(" %.0f%%", 100*f.Part)
		}
		if f.Kind == scenario.Slow {
			name += fmt.Sprintf(" x%.2g", f.Times)
		}
		if f.AgeS > 0 {
			name += fmt.Sprintf(" %.2gs", f.AgeS)
		}
		switch scenario.On(f.Kind) {
		case "server":
			whom = numbers("server", f.Servers)
		case "agent":
			whom = numbers("agent", f.Agents)
		}
		lanes = append(lanes, Lane{name, whom, f.AtS, min(s.ForS, f.AtS+f.ForS)})
	}
	slices.SortStableFunc(lanes, func(a, b Lane) int {
		if a.From < b.From {
			return -1
		}
		return 1
	})
	return lanes
}

func numbers(what string, n []int) string {
	var b strings.Builder
	b.WriteString(what)
	if len(n) > 1 {
		b.WriteByte('s')
	}
	for i, x := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		if i == 6 {
			fmt.Fprintf(&b, " and %d more", len(n)-i)
			break
		}
		fmt.Fprintf(&b, " %d", x)
	}
	return b.String()
}
