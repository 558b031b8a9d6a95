package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"saltmast/internal/peers"
	"saltmast/internal/shared"
)

// answers is an agent that says what the test has it say.
func answers(t *testing.T, v peers.View, s peers.Shared) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/-/peers":
			json.NewEncoder(w).Encode(v)
		case "/-/shared":
			json.NewEncoder(w).Encode(s)
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func view(self string, members ...peers.Member) peers.View {
	v := peers.View{Self: peers.Member{Name: self, Incarnation: self + "1"}, Members: members}
	for _, m := range members {
		if m.Alive {
			v.Alive++
		}
	}
	return v
}

func TestPeersSideBySide(t *testing.T) {
	a, b := peers.Member{Name: "a", Incarnation: "a1", Alive: true}, peers.Member{Name: "b", Incarnation: "b1", Alive: true}
	lost := b
	lost.Alive = false
	again := b
	again.Incarnation = "b2"
	left := peers.Shared{Judged: []shared.Verdict{{Backend: "s1", Bad: true}, {Backend: "s2"}}}
	run := func(addrs ...string) (string, error) {
		c := peersCommand()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetArgs(addrs)
		c.SilenceErrors, c.SilenceUsage = true, true
		err := c.Execute()
		return out.String(), err
	}
	one := answers(t, view("a", a, b), peers.Shared{Retries: &shared.Standing{Home: 2000, Held: 3500}})
	if out, err := run(one, answers(t, view("b", a, b), peers.Shared{})); err != nil || !strings.Contains(out, "they agree") || !strings.Contains(out, "3.50 of 2.00") {
		t.Errorf("%v\n%s", err, out)
	}
	for name, c := range map[string]struct {
		other string
		want  string
	}{
		"lost to one":        {answers(t, view("b", a, lost), peers.Shared{}), "differ: b is alive as b1 to a; lost to b"},
		"unknown to one":     {answers(t, view("b", a), peers.Shared{}), "differ: b is alive as b1 to a; unknown to b"},
		"known as it was":    {answers(t, view("b", a, again), peers.Shared{}), "differ: b is alive as b1 to a; alive as b2 to b"},
		"left out by one":    {answers(t, view("b", a, b), left), "differ: s1 is left out by b, not by all"},
		"one that is silent": {"127.0.0.1:1", "127.0.0.1:1             Get"},
	} {
		out, err := run(one, c.other)
		if err == nil || !strings.Contains(out, c.want) {
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
	if _, err := run("nowhere"); err == nil {
		t.Error("an address that is none")
	}
	if d := differences([]said{{Error: "x"}}); !slices.Equal(d, nil) {
		t.Error(d)
	}
}
