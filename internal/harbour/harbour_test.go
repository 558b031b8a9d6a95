package harbour

import (
	"testing"
	"time"

	"saltmast/internal/ballot"
	"saltmast/internal/berths"
	"saltmast/internal/codebook"
	"saltmast/internal/council"
	"saltmast/internal/manifest"
)

// ashore is a harbour without goroutines, sockets or members.
func ashore(t *testing.T) (*Harbour, *books) {
	h := &Harbour{o: Options{Life: 1, Log: func(event, text string) { t.Log(event, text) }}, council: council.New(nil),
		ended: make(chan struct{}), round: make(chan struct{}, 1)}
	return h, &books{h: h, berths: berths.New(), stands: manifest.Set{}, masters: map[string]codebook.Master{}, lost: map[string]time.Time{},
		pulling: map[string]chan struct{}{}}
}

// A puller waits unless there is something that it lacks: one that knows more than is known here is not answered at once,
// again and again.
func TestNews(t *testing.T) {
	h, b := ashore(t)
	wants := func(m codebook.PullCall) bool { m.Life = 1; return b.hasNews(&puller{m: m}) }
	if wants(codebook.PullCall{Epoch: 1, Sum: b.sum, Have: manifest.Ballot{N: 1}}) {
		t.Error("news for one who knows more")
	}
	h.council.Take(codebook.Roll{Epoch: 2})
	b.berths.Join(berths.Berth{Node: "n", Version: 1})
	b.whole(manifest.Ballot{N: 1}, manifest.Set{})
	b.enter(codebook.Master{Name: "m"})
	all := codebook.PullCall{At: 1, Epoch: 2, Sum: b.news(codebook.PullCall{}).Sum, Have: manifest.Ballot{N: 1}}
	for name, change := range map[string]func(*codebook.PullCall){
		"":              func(*codebook.PullCall) {},
		"a berth":       func(m *codebook.PullCall) { m.At = 0 },
		"the roll":      func(m *codebook.PullCall) { m.Epoch = 1 },
		"a master":      func(m *codebook.PullCall) { m.Sum = 0 },
		"configuration": func(m *codebook.PullCall) { m.Have = manifest.Ballot{} },
	} {
		m := all
		if change(&m); wants(m) != (name != "") {
			t.Errorf("lacking %q: news %v", name, wants(m))
		}
	}
}

// While rounds fail, those that settle what is pending do not pile up before the operator's, which wait no longer than their
// callers.
func TestRoundsInTurn(t *testing.T) {
	h, b := ashore(t)
	b.heard, b.pending, b.behind = make([]time.Time, 3), make([]time.Time, 3), make([]int, 3)
	h.round <- struct{}{} // a round that takes long
	long := time.Now().Add(-time.Minute)
	for i := range 30 {
		b.pending[i%3] = long
		b.watched(i%3, codebook.Watched{State: "serving", Vouch: ballot.Vouch{By: i % 3}, Accepted: manifest.Ballot{N: 1}})
	}
	if h.mend() {
		t.Error("another that settles was begun")
	}
	if h.turn(time.Now()) {
		t.Error("two have the turn")
	}
	close(h.ended)
	if h.turn(time.Now().Add(time.Hour)) {
		t.Error("a turn after the end")
	}
	<-h.round
}
