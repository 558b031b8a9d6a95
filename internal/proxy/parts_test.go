package proxy

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

// While the configuration and the table change and a proxy goes from one source to another and back, some of them behind or begun
// anew, what it puts in force is always one value that was chosen, whole, and never an older one; and once a source says that
// there are no more entries, there is none that it has and this one lacks.
func TestPartsAreOneWhole(t *testing.T) {
	spec := bytes.Repeat([]byte("x"), messages.PartBytes/3) // a few items fill a message
	release := strings.Repeat("x", messages.PartBytes/7)    // and a few entries
	history := func(t *rapid.T) {
		b := func(n int) configuration.Ballot { return configuration.Ballot{N: uint64(n), Proposer: uint32(n % 3)} }
		chosen := []configuration.Set{{}} // by ballot
		change := func(items int) {
			var is []configuration.Item
			n := len(chosen)
			for range items {
				i := configuration.Item{Key: configuration.Key{Name: fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "key"))}, Version: configuration.Version(n), Ballot: b(n),
					Deleted: rapid.IntRange(0, 2).Draw(t, "dropped") == 0}
				if !i.Deleted {
					i.Spec = spec
				}
				is = append(is, i)
			}
			chosen = append(chosen, chosen[n-1].With(is...))
		}
		change(12)
		knows := []int{1, 1}           // what two harbourmasters heard of last, at places 1 and 2
		lives := []uint64{0, 1, 2, 3}  // by place
		proxy, own := begun(), begun() // a source at place 3 that keeps no tombstones; the one that is looked at
		tables := []*backends.Table{nil, backends.New(), backends.New(), proxy.table}
		versions := uint64(0)
		moor := func() {
			versions++
			tables[1].Join(backends.Berth{Node: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "node")), Addr: "a", Version: versions, Release: release})
		}
		for range 8 {
			moor()
		}
		call := func(at uint64, to *proxied) { // of one message
			n := messages.News{Life: lives[at]}
			var m messages.PullCall
			m.Have = to.have
			to.got.goOn(&m)
			if at == 3 {
				n.Tell(m, proxy.table, proxy.have, proxy.stands, proxy.bare)
			} else {
				k := knows[at-1]
				n.Tell(m, tables[at], b(k), chosen[k], configuration.Ballot{})
			}
			size := 0
			for _, i := range n.Items {
				size += len(i.Spec)
			}
			for _, x := range n.Berths {
				size += len(x.Release)
				to.table.Join(x)
			}
			if size > messages.PartBytes {
				t.Fatalf("a message of %d bytes", size)
			}
			to.got.add(&n)
			to.sources.keep(fmt.Sprint(at), &to.got)
			for _, x := range tables[at].All() {
				if have, _ := to.table.Get(x.Node); !n.More && have.Version < x.Version {
					t.Fatalf("no more entries, and %s is %d, not %d", x.Node, have.Version, x.Version)
				}
			}
			if to.have.Less(n.Chosen) {
				to.have = n.Chosen
				to.stands, to.bare = inForce(to.stands, to.bare, n)
			}
			var want []configuration.Item
			for i := range chosen[to.have.N].All() {
				if !i.Deleted {
					want = append(want, i)
				}
			}
			if have := slices.Collect(to.stands.All()); !reflect.DeepEqual(have, want) {
				t.Fatalf("ballot %d: %v, and %v were chosen", to.have.N, brief(have), brief(want))
			}
		}
		at := uint64(1)
		if rapid.Bool().Draw(t, "begun") {
			for range 5 {
				call(1, &own)
			}
		} else if rapid.Bool().Draw(t, "the proxy begun") {
			for at = 3; proxy.have.IsZero(); {
				call(1, &proxy)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				knows[0] = len(chosen) // the one that the proxy hears knows most
				change(rapid.IntRange(0, 4).Draw(t, "items"))
			case 1:
				s := rapid.IntRange(0, 1).Draw(t, "hears")
				knows[s] = rapid.IntRange(knows[s], len(chosen)-1).Draw(t, "of")
			case 2:
				for range rapid.IntRange(1, 5).Draw(t, "calls") {
					call(1, &proxy)
				}
			case 3:
				if at = rapid.Uint64Range(1, 3).Draw(t, "goes to"); rapid.Bool().Draw(t, "anew") {
					own.got = own.sources[fmt.Sprint(at)] // another connection; without it, the source is another life at the same address
				}
			case 7:
				for range rapid.IntRange(1, 5).Draw(t, "entries") {
					moor()
				}
			case 8: // another harbourmaster hears of some of them
				entries, _, _ := tables[1].Part(0, rapid.IntRange(1, messages.PartBytes).Draw(t, "bytes"))
				for _, x := range entries {
					tables[2].Join(x)
				}
			case 9: // a harbourmaster begins anew, and hears of the other's table first
				s := rapid.IntRange(1, 2).Draw(t, "anew")
				lives[s] += 10
				all := tables[3-s].All()
				tables[s] = backends.New()
				for _, x := range all {
					tables[s].Join(x)
				}
			default:
				for range rapid.IntRange(1, 3).Draw(t, "calls") {
					call(at, &own)
				}
			}
		}
		for range 20 { // in calm times it comes to its end
			call(at, &own)
		}
		if last := []configuration.Ballot{b(knows[0]), b(knows[1]), proxy.have}[at-1]; own.have.Less(last) || own.got.cursor != nil || own.got.more {
			t.Fatalf("ballot %d of %d, or still in parts", own.have.N, last.N)
		}
	}
	for range 4 { // some wrong programs show in one history of several hundred
		rapid.Check(t, history)
	}
}

// brief names items by key and ballot.
func brief(items []configuration.Item) (out []string) {
	for _, i := range items {
		out = append(out, fmt.Sprint(i.Key.Name, "@", i.Ballot.N))
	}
	return out
}

// proxied is what a proxy holds.
type proxied struct {
	have, bare configuration.Ballot
	stands     configuration.Set
	got        parts
	table      *backends.Table
	sources    sources
}

func begun() proxied {
	return proxied{stands: configuration.Set{}.WithRoutingTable(), table: backends.New(), sources: sources{}}
}
