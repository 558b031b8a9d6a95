package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"saltmast/internal/grade"
)

type listRig struct {
	*List
	t      *testing.T
	record *Record
	addr   string
}

func newListRig(t *testing.T, c ListConfig) *listRig {
	t.Helper()
	c.Record = NewRecord(time.Now())
	if c.Period == 0 {
		c.Period = time.Millisecond
	}
	l := &listRig{List: NewList(c), t: t, record: c.Record}
	var err error
	if l.addr, err = l.Listen("n0", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func (l *listRig) set(id, state string) {
	l.Set(grade.Entry{Server: id, Addr: "127.0.0.1:1", State: state}, Details{Zone: "z", Kind: "k", Cell: 2})
}

func (l *listRig) get(query string) (*http.Response, error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: long}
	return c.Get("http://" + l.addr + "/v1/servers" + query)
}

// until waits for what is noted only after it was written.
func (l *listRig) until(what string, ok func() bool) {
	l.t.Helper()
	for end := time.Now().Add(long); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			l.t.Fatal("waited in vain for " + what)
		}
	}
}

// watch follows the list; its lines come through the channel, which closes when the watch ends.
func (l *listRig) watch(query string) <-chan listing {
	l.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.addr+"/v1/servers?follow=1"+query, nil)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		l.t.Fatal(err)
	}
	lines := make(chan listing, 100)
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		defer close(lines)
		defer resp.Body.Close()
		for s := bufio.NewScanner(resp.Body); s.Scan(); {
			var got listing
			if len(s.Bytes()) == 0 {
				got.Version = -1 // a beat
			} else if err := json.Unmarshal(s.Bytes(), &got); err != nil {
				l.t.Error(err)
			}
			lines <- got
		}
	}()
	l.t.Cleanup(func() { cancel(); running.Wait() })
	return lines
}

func next(t *testing.T, lines <-chan listing) listing {
	t.Helper()
	select {
	case l, ok := <-lines:
		if !ok {
			t.Fatal("the watch has ended")
		}
		return l
	case <-time.After(long):
		t.Fatal("nothing comes")
	}
	return listing{}
}

// say puts a listing in short.
func say(l listing) string {
	text := fmt.Sprint(l.Version, l.Full)
	for _, s := range l.Servers {
		text += " " + s.ID + ":" + s.State
	}
	return text
}

func expect(t *testing.T, lines <-chan listing, want string) {
	t.Helper()
	if got := say(next(t, lines)); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

func TestWholeListAndWatch(t *testing.T) {
	l := newListRig(t, ListConfig{})
	l.set("s0", grade.Serving)
	l.set("s1", grade.Serving)
	resp, err := l.get("")
	if err != nil {
		t.Fatal(err)
	}
	var whole listing
	json.NewDecoder(resp.Body).Decode(&whole)
	resp.Body.Close()
	if say(whole) != "3 true s0:SERVING s1:SERVING" {
		t.Errorf("%s", say(whole))
	}
	if s := whole.Servers[0]; s.Zone != "z" || s.Kind != "k" || s.Cell != 2 || s.Weight != 1 {
		t.Errorf("%+v", s)
	}
	all, after := l.watch(""), l.watch("&since=2")
	expect(t, all, "3 true s0:SERVING s1:SERVING")
	expect(t, after, "3 false s1:SERVING")
	l.set("s0", grade.Draining)
	expect(t, all, "4 false s0:DRAINING")
	expect(t, after, "4 false s0:DRAINING")
	l.set("s0", grade.Deleted)
	expect(t, all, "5 false s0:DELETED")
	expect(t, l.watch("&since=5"), "5 false")
	expect(t, l.watch("&since=77"), "5 true s1:SERVING") // a version that it does not know
	l.until("the agent to know of s1 alone", func() bool {
		_, known := l.Known("n0")
		return len(known) == 1 && known[0].Server == "s1"
	})
}

// Changes between two periods come in one line, of several to one server the last.
func TestChangesComeInPeriods(t *testing.T) {
	l := newListRig(t, ListConfig{Period: 100 * time.Millisecond})
	w := l.watch("")
	expect(t, w, "1 true")
	l.set("s0", grade.Serving)
	l.set("s1", grade.Serving)
	l.set("s0", grade.Draining)
	got := next(t, w)
	for len(got.Servers) < 2 { // the period may have ended between them
		more := next(t, w)
		got.Servers = append(got.Servers, more.Servers...)
		got.Version = more.Version
	}
	if got.Version != 4 || !slices.ContainsFunc(got.Servers, func(s serverLine) bool { return s.ID == "s0" && s.State == grade.Draining }) {
		t.Errorf("%s", say(got))
	}
}

func TestBeatsWhileNothingChanges(t *testing.T) {
	l := newListRig(t, ListConfig{Beat: 10 * time.Millisecond})
	w := l.watch("")
	expect(t, w, "1 true")
	if got := next(t, w); got.Version != -1 {
		t.Errorf("%s, want an empty line", say(got))
	}
}

// Out of reach, watches end and calls fail, some with 503 and some with a reset.
func TestListOutOfReach(t *testing.T) {
	l := newListRig(t, ListConfig{})
	l.set("s0", grade.Serving)
	w := l.watch("")
	expect(t, w, "2 true s0:SERVING")
	l.Out()
	l.Out()
	for range w { // until it ends
	}
	refused, broken := 0, 0
	for range 10 {
		resp, err := l.get("")
		switch {
		case err != nil:
			broken++
		case resp.StatusCode == http.StatusServiceUnavailable:
			refused++
			resp.Body.Close()
		default:
			t.Errorf("answered %s", resp.Status)
			resp.Body.Close()
		}
	}
	if refused == 0 || broken == 0 {
		t.Errorf("%d refused, %d broken, want some of both", refused, broken)
	}
	l.set("s0", grade.Draining) // it learns all the same
	l.In(0)
	expect(t, l.watch("&since=2"), "3 false s0:DRAINING")
}

// Back with what it knew a while ago, under a version that its agents are past: they get the whole list, with what
// has gone since, and the newer one once it has caught up.
func TestStaleAfterComingBack(t *testing.T) {
	l := newListRig(t, ListConfig{})
	l.set("s0", grade.Serving)
	l.set("s1", grade.Serving)
	then := l.record.Now()
	l.set("s0", grade.Deleted)
	w := l.watch("")
	expect(t, w, "4 true s1:SERVING")
	l.Out()
	l.set("s2", grade.Serving)
	l.In(then)
	w = l.watch("&since=4")
	expect(t, w, "3 true s0:SERVING s1:SERVING")
	l.Catch()
	expect(t, w, "5 false s0:DELETED s2:SERVING")
	l.Catch() // once is enough
	var shown [][]grade.Entry
	for _, e := range l.record.Close() {
		if e.Kind == grade.Knows {
			shown = append(shown, e.Entries)
		}
	}
	a := "127.0.0.1:1"
	want := [][]grade.Entry{{{Server: "s0", Addr: a, State: grade.Serving}}, {{Server: "s1", Addr: a, State: grade.Serving}},
		{{Server: "s0", Addr: a, State: grade.Deleted}}, {{Server: "s2", Addr: a, State: grade.Serving}},
		{{Server: "s0", Addr: a, State: grade.Serving}, {Server: "s2", Addr: a, State: grade.Deleted}},
		{{Server: "s0", Addr: a, State: grade.Deleted}, {Server: "s2", Addr: a, State: grade.Serving}}}
	if !reflect.DeepEqual(shown, want) {
		t.Errorf("what the list knew:\n%v\nwant\n%v", shown, want)
	}
}

// Calls are served in turn, and one that would wait too long is turned away at no cost.
func TestCallsWaitTheirTurn(t *testing.T) {
	l := newListRig(t, ListConfig{LinesPerS: 1000, CallLines: 100, Timeout: 250 * time.Millisecond})
	statuses := make(chan int, 20)
	for range 20 { // 2 s of work
		go func() {
			resp, err := l.get("")
			if err != nil {
				t.Error(err)
				statuses <- 0
				return
			}
			resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range 20 {
		count[<-statuses]++
	}
	if count[200] < 3 || count[503] < 1 || count[200]+count[503] != 20 {
		t.Errorf("%v, want a few served and the rest turned away", count)
	}
	l.Close() // a call is noted once it is answered: this waits for the last
	calls := 0
	for _, e := range l.record.Close() {
		if e.Kind == grade.Call {
			calls++
		}
	}
	if calls != 20 {
		t.Errorf("%d calls noted", calls)
	}
}

// Each agent has an address of its own, by which the list knows who was told what.
func TestKnowsWhoWasTold(t *testing.T) {
	l := newListRig(t, ListConfig{})
	if _, err := l.Listen("n1", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	l.set("s0", grade.Serving)
	w := l.watch("")
	expect(t, w, "2 true s0:SERVING")
	l.set("s0", grade.Draining)
	expect(t, w, "3 false s0:DRAINING")
	l.until("n0 to know of the drain", func() bool {
		_, known := l.Known("n0")
		return len(known) == 1 && known[0].State == grade.Draining
	})
	raw, known := l.Known("n1") // never told: it starts with the list as it is
	if len(known) != 1 || !json.Valid(raw) {
		t.Errorf("n1 knows %+v", known)
	}
	for _, e := range l.record.Close() {
		if e.Kind == grade.Told && e.Agent != "n0" {
			t.Errorf("%+v", e)
		}
	}
	if _, err := l.Listen("n2", l.addr); err == nil {
		t.Error("a port that is taken was taken")
	}
}

func TestBadCallsOfTheList(t *testing.T) {
	l := newListRig(t, ListConfig{})
	for query, want := range map[string]int{"?follow=1&since=x": 400, "/more": 404} {
		resp, err := l.get(query)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: %d, want %d", query, resp.StatusCode, want)
		}
	}
}

// A pushed list that is out of reach is silent: its watches stay, a call waits, and both go on where they were.
func TestPushedListIsSilent(t *testing.T) {
	l := newListRig(t, ListConfig{Pushed: true})
	l.set("a", grade.Serving)
	lines := l.watch("")
	<-lines
	l.Out()
	l.set("a", grade.Draining)
	called := make(chan error, 1)
	go func() {
		resp, err := l.get("")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
		}
		called <- err
	}()
	l.until("the call", func() bool { calls, _, _ := l.Load(); return calls == 2 })
	select {
	case got := <-lines:
		t.Errorf("told %+v while out of reach", got)
	case err := <-called:
		t.Errorf("answered while out of reach: %v", err)
	default:
	}
	l.In(0)
	if err := <-called; err != nil {
		t.Error(err)
	}
	for got := range lines {
		if len(got.Servers) == 0 { // a beat
			continue
		}
		if got.Full || got.Servers[0].State != grade.Draining {
			t.Errorf("told %+v", got)
		}
		break
	}
}
