package consensus

import (
	"slices"
	"testing"

	"saltmast/internal/configuration"
)

// Which answers of three voters may be counted together.
func TestCountable(t *testing.T) {
	origin := func(voter int, incarnations ...uint64) Origin {
		return Origin{Voter: voter, Incarnations: incarnations}
	}
	for _, c := range []struct {
		name    string
		answers []Origin
		want    []int // voters whose answers are kept
	}{
		{"same incarnations", []Origin{origin(0, 1, 1, 1), origin(1, 1, 1, 1), origin(2, 1, 1, 1)}, []int{0, 1, 2}},
		{"one knows a later incarnation of another", []Origin{origin(0, 1, 2, 1), origin(1, 1, 1, 1), origin(2, 1, 1, 1)}, []int{0, 2}},
		{"the voter of the later incarnation itself", []Origin{origin(0, 1, 1, 1), origin(1, 1, 2, 1)}, []int{0, 1}},
		{"two answers of one voter", []Origin{origin(1, 1, 1, 1), origin(1, 1, 1, 1), origin(0, 1, 1, 1)}, []int{1, 0}},
		{"answers from before and after a loss", []Origin{origin(1, 1, 1, 1), origin(1, 1, 2, 1), origin(0, 1, 1, 1)}, []int{0}},
		{"each knows a later incarnation of the other", []Origin{origin(0, 1, 2, 1), origin(1, 2, 1, 1)}, nil},
		{"voter index out of range", []Origin{origin(-1, 1, 1, 1), origin(3, 1, 1, 1), origin(0)}, nil},
		{"a shorter list", []Origin{origin(0, 1), origin(1, 1, 1)}, []int{0, 1}},
	} {
		var got []int
		for _, o := range Countable(c.answers) {
			got = append(got, o.Voter)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The base is the highest accepted value of a majority. Each voter counts once, however often it answers.
func TestBase(t *testing.T) {
	key := configuration.Key{Kind: configuration.Routes, Name: "r"}
	promise := func(voter int, n uint64) Promise {
		p := Promise{Origin: Origin{Voter: voter, Incarnations: []uint64{1, 1, 1}}, Granted: true, Accepted: configuration.Ballot{N: n}}
		if n > 0 {
			p.Items = []configuration.Item{{Key: key, Version: configuration.Version(n)}}
		}
		return p
	}
	refused := Promise{Origin: promise(1, 0).Origin, Promised: configuration.Ballot{N: 9}}
	for _, c := range []struct {
		name       string
		promises   []Promise
		base       uint64
		chosen, ok bool
	}{
		{"one alone", []Promise{promise(0, 1)}, 0, false, false},
		{"one that comes again", []Promise{promise(0, 1), promise(0, 1)}, 0, false, false},
		{"one that refused", []Promise{promise(0, 1), refused}, 0, false, false},
		{"a majority that has it", []Promise{promise(0, 1), promise(1, 1)}, 1, true, true},
		{"a majority of which one has it", []Promise{promise(0, 0), promise(1, 1)}, 1, false, true},
		{"the same, with a repeated answer", []Promise{promise(1, 1), promise(0, 0), promise(1, 1)}, 1, false, true},
		{"the highest", []Promise{promise(2, 3), promise(0, 2), promise(1, 2)}, 3, false, true},
	} {
		r := Round{Voters: 3}
		for _, p := range c.promises {
			r.Add(p)
		}
		base, of, chosen, ok := r.Base()
		got, _ := base.Get(key)
		if of.N != c.base || chosen != c.chosen || ok != c.ok || got.Version != configuration.Version(c.base) {
			t.Errorf("%s: %v of %v, chosen %v, ok %v", c.name, base, of, chosen, ok)
		}
	}
}
