package rehearsal

import (
	"context"
	"strings"
	"testing"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/requestlog"
	"saltmast/internal/scenario"
)

// Agents are killed at random moments with settles under way, over HTTP and Thrift: every settle that a server saw is
// accounted for, and nothing false is claimed.
func TestKillsLoseNoSettle(t *testing.T) {
	for i, protocol := range []string{"", "mixed"} {
		s := calm()
		s.Seed = uint64(i + 1)
		s.ForS, s.Agents, s.Protocol, s.PodSize = 3, 2, protocol, 2
		s.Classes[1].WorkMs = 60 // some settles are surely out
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		res, err := Run(context.Background(), Options{Plan: scenario.MakePlan(s), Command: self("agent"), Settles: true, Kills: 6})
		if err != nil {
			t.Fatal(err)
		}
		got := res.Settles
		if len(got.Wrong) > 0 || got.Kills != 6 || got.Seen == 0 || got.Served == 0 {
			t.Errorf("%q: %s\n%s", protocol, got, strings.Join(got.Wrong, "\n"))
		}
		t.Log(got)
	}
}

// What the comparison is for: each false claim is found.
func TestFalseClaimsAreFound(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	attempt := func(id string) grade.Event { return grade.Event{Kind: grade.Attempt, Request: id, Class: "settle"} }
	effect := func(id string) grade.Event { return grade.Event{Kind: grade.Effect, Request: id, Class: "settle"} }
	intent := func(id string) any { return &requestlog.Intent{Request: id, At: at(1)} }
	outcome := func(seq uint64, r requestlog.Result) any {
		return &requestlog.Outcome{Intent: seq, Result: r, At: at(2)}
	}
	for _, tt := range []struct {
		name    string
		events  []grade.Event
		records []any // by sequence number, from 1
		wrong   string
	}{
		{"served", []grade.Event{attempt("x"), effect("x")}, []any{intent("x"), outcome(1, requestlog.Served)}, ""},
		{"open", []grade.Event{attempt("x"), effect("x")}, []any{intent("x")}, ""},
		{"open, and never came", nil, []any{intent("x")}, ""},
		{"never handed over", nil, []any{intent("x"), outcome(1, requestlog.ConnectFailed)}, ""},
		{"seen twice, told twice", []grade.Event{attempt("x"), attempt("x"), effect("x")}, []any{intent("x"), outcome(1, requestlog.TurnedAway), intent("x")}, ""},
		{"of another class", []grade.Event{{Kind: grade.Attempt, Request: "x", Class: "look"}}, nil, ""},
		{"not there", []grade.Event{attempt("x")}, nil, "servers saw it 1 times, the journals tell of 0"},
		{"claimed never to have been handed over", []grade.Event{attempt("x")}, []any{intent("x"), outcome(1, requestlog.ConnectFailed)}, "the journals tell of 0"},
		{"claimed to have been served, did not run", []grade.Event{attempt("x")}, []any{intent("x"), outcome(1, requestlog.Served)}, "served 1 times, ran 0 times"},
		{"claimed twice", []grade.Event{attempt("x"), effect("x")}, []any{intent("x"), outcome(1, requestlog.Served), intent("x"), outcome(3, requestlog.Served)}, "served 2 times, ran 1 times"},
	} {
		book := requestlog.NewBook(nil)
		for i, r := range tt.records {
			book.Put(uint64(i+1), r)
		}
		s := &Settles{}
		s.compare(tt.events, map[string]bool{"settle": true}, []*requestlog.Book{requestlog.NewBook(nil), book})
		if text := strings.Join(s.Wrong, "; "); (tt.wrong == "") != (text == "") || !strings.Contains(text, tt.wrong) {
			t.Errorf("%s: %q, want %q", tt.name, text, tt.wrong)
		}
	}
}
