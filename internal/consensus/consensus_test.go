package consensus

import (
	"slices"
	"testing"

	"saltmast/internal/configuration"
)

// What may be counted together, of three members.
func TestSound(t *testing.T) {
	v := func(by int, incs ...uint64) Origin { return Origin{Voter: by, Incarnations: incs} }
	for _, c := range []struct {
		name string
		of   []Origin
		want []int // places whose answers stay
	}{
		{"all of one age", []Origin{v(0, 1, 1, 1), v(1, 1, 1, 1), v(2, 1, 1, 1)}, []int{0, 1, 2}},
		{"one knows another as reborn", []Origin{v(0, 1, 2, 1), v(1, 1, 1, 1), v(2, 1, 1, 1)}, []int{0, 2}},
		{"the reborn one itself", []Origin{v(0, 1, 1, 1), v(1, 1, 2, 1)}, []int{0, 1}},
		{"told twice", []Origin{v(1, 1, 1, 1), v(1, 1, 1, 1), v(0, 1, 1, 1)}, []int{1, 0}},
		{"told before and after its loss", []Origin{v(1, 1, 1, 1), v(1, 1, 2, 1), v(0, 1, 1, 1)}, []int{0}},
		{"each knows the other as reborn", []Origin{v(0, 1, 2, 1), v(1, 2, 1, 1)}, nil},
		{"no place", []Origin{v(-1, 1, 1, 1), v(3, 1, 1, 1), v(0)}, nil},
		{"a shorter list", []Origin{v(0, 1), v(1, 1, 1)}, []int{0, 1}},
	} {
		var got []int
		for _, v := range Countable(c.of) {
			got = append(got, v.Voter)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The base is the highest accepted of a majority; one member's word counts once, however often it comes.
func TestBase(t *testing.T) {
	key := configuration.Key{Kind: configuration.Routes, Name: "r"}
	p := func(by int, n uint64) Promise {
		p := Promise{Origin: Origin{Voter: by, Incarnations: []uint64{1, 1, 1}}, Granted: true, Accepted: configuration.Ballot{N: n}}
		if n > 0 {
			p.Items = []configuration.Item{{Key: key, Version: configuration.Version(n)}}
		}
		return p
	}
	refused := Promise{Origin: p(1, 0).Origin, Promised: configuration.Ballot{N: 9}}
	for _, c := range []struct {
		name       string
		of         []Promise
		base       uint64
		chosen, ok bool
	}{
		{"one alone", []Promise{p(0, 1)}, 0, false, false},
		{"one that comes again", []Promise{p(0, 1), p(0, 1)}, 0, false, false},
		{"one that refused", []Promise{p(0, 1), refused}, 0, false, false},
		{"a majority that has it", []Promise{p(0, 1), p(1, 1)}, 1, true, true},
		{"a majority of which one has it", []Promise{p(0, 0), p(1, 1)}, 1, false, true},
		{"the same, told twice", []Promise{p(1, 1), p(0, 0), p(1, 1)}, 1, false, true},
		{"the highest", []Promise{p(2, 3), p(0, 2), p(1, 2)}, 3, false, true},
	} {
		r := Round{Voters: 3}
		for _, p := range c.of {
			r.Add(p)
		}
		base, of, chosen, ok := r.Base()
		got, _ := base.Get(key)
		if of.N != c.base || chosen != c.chosen || ok != c.ok || got.Version != configuration.Version(c.base) {
			t.Errorf("%s: %v of %v, chosen %v, ok %v", c.name, base, of, chosen, ok)
		}
	}
}
