package drive

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saltmast/internal/recording/audit"
	"saltmast/internal/replay"
)

// written is a file of Envoy's format with n requests: one in four a hold, the rest
// settles, of which one in ten is a client's retry of the one before, by the same id.
func written(t *testing.T, n int) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 4))
	at := time.Date(2026, 12, 1, 6, 30, 0, 0, time.UTC)
	var b strings.Builder
	id := 0
	for i := range n {
		at = at.Add(time.Duration(rng.ExpFloat64() * 10e6))
		class := "sale-settle"
		if i%4 == 0 {
			class = "limit-hold"
		}
		if i%10 != 9 || i%4 == 0 || (i-1)%4 == 0 {
			id++
		}
		fmt.Fprintf(&b, "[%s] \"POST /%s HTTP/2\" 200 - 118 12 31 30 \"-\" \"gateway/3\" \"r%d\" \"auth.internal\" \"10.1.1.1:8443\"\n",
			at.Format("2006-01-02T15:04:05.000000Z"), class, id)
	}
	name := filepath.Join(t.TempDir(), "envoy.log")
	if err := os.WriteFile(name, []byte(b.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// session is a replay of files whose findings are accepted and whose lateness counts for nothing.
func session(t *testing.T, files ...string) *Session {
	t.Helper()
	return &Session{Files: files, Accept: codes(), LateBound: time.Hour}
}

// codes are all findings: what a recording can't be trusted for is not what these tests are about.
func codes() (all []string) {
	for _, c := range audit.Codes {
		all = append(all, string(c))
	}
	return all
}

// No stand-in ever sees one settle run twice: over ten seeds, with clients' retries, with first tries turned away, loops and five
// times the load. What arrives has the recording's mix.
func TestNoSettleRunsTwice(t *testing.T) {
	name := written(t, 60)
	for seed := uint64(1); seed <= 10; seed++ {
		s := session(t, name)
		s.Rules = rulesByID(t)
		s.Plan = replay.Options{Run: seed, Seed: seed, Speed: 5, Scale: 5}
		s.Loops, s.Refuse, s.Connections = 2, 0.3, 5000 // more than there are requests: a slow machine is not what this is about
		r, err := s.Play(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if r.Sink.Twice != 0 || r.Sink.Repeats != 0 || r.Sink.Nameless != 0 || len(r.Result.Unsent) > 0 {
			t.Errorf("seed %d: %+v, %+v", seed, r.Sink, r.Result)
		}
		first := (r.Taken - r.Retries) * 5 * 2
		if r.Retries == 0 || r.Result.Planned-r.Result.Retries != first || r.Sink.Requests != r.Result.Sent || r.Sink.Refused == 0 || r.Sink.Ran+r.Sink.Refused != r.Sink.Requests {
			t.Errorf("seed %d: %d first tries, want %d; %+v, %+v", seed, r.Result.Planned-r.Result.Retries, first, r.Sink, r.Result)
		}
		if r.Effects["sale-settle"] != replay.Unsafe || r.Effects["limit-hold"] != replay.Unsafe { // no key was recorded
			t.Errorf("effects %v", r.Effects)
		}
	}
}

// The stand-in's ledger does tell: a driver that sends an operation twice is found out.
func TestTheLedgerTells(t *testing.T) {
	k := sink(t)
	r := run(t, Options{Targets: []string{k.Addr()}}, request(1, 0))
	again := request(1, 0)
	again.ID = "00000000000000ff"
	r2 := run(t, Options{Targets: []string{k.Addr()}}, again)
	if s := k.Stats(); r.Served+r2.Served != 2 || s.Twice != 1 || len(s.First) != 1 {
		t.Errorf("%+v", s)
	}
}

func TestFindingsStopAReplay(t *testing.T) {
	name := filepath.Join(t.TempDir(), "plain.log")
	line := "10.0.0.7 - - [01/Dec/2026:06:30:07 +0000] \"POST /sale-settle HTTP/1.1\" 200 12\n"
	if err := os.WriteFile(name, []byte(line+line), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &Session{Files: []string{name}}
	_, err := s.Play(context.Background())
	var open *OpenError
	if !errors.As(err, &open) || !strings.Contains(err.Error(), "coarse-clock") || !strings.Contains(err.Error(), "end-stamp") {
		t.Errorf("error %v", err)
	}
	s.Accept = codes()
	if _, err := s.Play(context.Background()); err == nil || !strings.Contains(err.Error(), "no request that could be sent") {
		t.Errorf("no start is known of any entry: error %v", err)
	}
}

// Settles go to this machine or nowhere. The addresses are those that are kept for documentation: nothing is there.
func TestUnsafeTargets(t *testing.T) {
	name := written(t, 20)
	for _, to := range []string{"192.0.2.1:80", "[2001:db8::1]:80", "auth.example.com:80", "10.0.0.1:80"} {
		s := session(t, name)
		s.To = []string{"127.0.0.1:1", to}
		if _, err := s.Play(context.Background()); !errors.Is(err, ErrUnsafeTarget) || !strings.Contains(err.Error(), to) {
			t.Errorf("%s: error %v", to, err)
		}
	}
	for _, to := range []string{"127.0.0.1:80", "[::1]:80", "127.9.8.7:1", "localhost:80"} {
		if !loopback(to) {
			t.Errorf("%s is a loopback address", to)
		}
	}
}

func TestRateAndReports(t *testing.T) {
	s := session(t, written(t, 200))
	s.Rate, s.Plan.Speed, s.Connections = 400, 2, 5000
	r, err := s.Play(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if want := 400 / (r.Source.Rate() * 2); r.Scale != want || r.Sink.Requests < int(0.97*200*want) || r.Sink.Requests > int(1.03*200*want) {
		t.Errorf("scale %v, want %v; %d requests", r.Scale, want, r.Sink.Requests)
	}
	if r.Fidelity.Classes > 1 || r.Fidelity.Seconds == 0 {
		t.Errorf("%+v", r.Fidelity)
	}
	var table, page bytes.Buffer
	r.Table(&table)
	for _, want := range []string{"sale-settle", "unsafe", "held against the recording, at the stand-in", r.Line()} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, table.String())
		}
	}
	if err := r.Page(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "sale-settle", "class=\"source\"", "class=\"replay\""} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(page.String(), "http://") || strings.Contains(page.String(), "NaN") {
		t.Error("the page asks for something else, or holds what is no number")
	}
}

// A machine that can't keep up says so.
func TestBehind(t *testing.T) {
	for want, r := range map[string]*Report{
		"":                               {Result: &Result{Planned: 1000, Sent: 1000, PlanRate: 100, Rate: 99}},
		"5 of 1000 requests were":        {Result: &Result{Planned: 1000, Sent: 995, PlanRate: 100, Rate: 100, Unsent: map[string]int{"x": 5}}},
		"one in a hundred left 60ms":     {Result: &Result{Planned: 1000, Sent: 1000, PlanRate: 100, Rate: 100, LateP99: 60 * time.Millisecond}},
		"90 requests a second of 100":    {Result: &Result{Planned: 1000, Sent: 1000, PlanRate: 100, Rate: 90}},
		"!one that was ended on the way": {Result: &Result{Planned: 1000, Sent: 10, PlanRate: 100, Rate: 10, Partial: true}},
	} {
		r.judge(50 * time.Millisecond)
		if strings.HasPrefix(want, "!") {
			want = ""
		}
		if !strings.HasPrefix(r.Behind, want) || want == "" && r.Behind != "" {
			t.Errorf("behind: %q, want %q", r.Behind, want)
		}
	}
}
