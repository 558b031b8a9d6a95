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

// While the configuration and the table change and a proxy switches between sources, some of which lag behind or restart, the proxy
// always has one whole chosen configuration in force, never an older one than before; and once a source reports no more entries, the
// proxy lacks none that the source has.
func TestPartialNews(t *testing.T) {
	spec := bytes.Repeat([]byte("x"), messages.MaxPartBytes/3) // a few items fill a message
	release := strings.Repeat("x", messages.MaxPartBytes/7)    // and so do a few entries
	history := func(t *rapid.T) {
		ballot := func(n int) configuration.Ballot { return configuration.Ballot{N: uint64(n), Proposer: uint32(n % 3)} }
		chosen := []configuration.Set{{}} // by ballot number
		change := func(items int) {
			var changes []configuration.Item
			n := len(chosen)
			for range items {
				item := configuration.Item{Key: configuration.Key{Name: fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "key"))}, Version: configuration.Version(n), Ballot: ballot(n),
					Deleted: rapid.IntRange(0, 2).Draw(t, "dropped") == 0}
				if !item.Deleted {
					item.Spec = spec
				}
				changes = append(changes, item)
			}
			chosen = append(chosen, chosen[n-1].With(changes...))
		}
		change(12)
		latest := []int{1, 1}                            // ballot number of two registries, which are sources 1 and 2
		incarnations := []uint64{0, 1, 2, 3}             // by source
		other, proxy := newProxyState(), newProxyState() // source 3, which keeps no tombstones; the proxy under test
		tables := []*backends.Table{nil, backends.New(), backends.New(), other.table}
		versions := uint64(0)
		changeEntry := func() {
			versions++
			tables[1].Merge(backends.Backend{Node: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "node")), Addr: "a", Version: versions, Release: release})
		}
		for range 8 {
			changeEntry()
		}
		call := func(source uint64, to *proxyState) { // pulls one message
			n := messages.PullReply{Incarnation: incarnations[source]}
			var c messages.PullCall
			c.Have = to.chosen
			to.news.continueCall(&c)
			if source == 3 {
				n.Fill(c, other.table, other.chosen, other.items, other.prunedBallot)
			} else {
				k := latest[source-1]
				n.Fill(c, tables[source], ballot(k), chosen[k], configuration.Ballot{})
			}
			size := 0
			for _, item := range n.Items {
				size += len(item.Spec)
			}
			for _, b := range n.Backends {
				size += len(b.Release)
				to.table.Merge(b)
			}
			if size > messages.MaxPartBytes {
				t.Fatalf("a message of %d bytes", size)
			}
			to.news.add(&n)
			to.sources.store(fmt.Sprint(source), &to.news)
			for _, b := range tables[source].All() {
				if have, _ := to.table.Get(b.Node); !n.MoreBackends && have.Version < b.Version {
					t.Fatalf("no more entries, but %s has version %d, not %d", b.Node, have.Version, b.Version)
				}
			}
			if to.chosen.Less(n.Chosen) {
				to.chosen = n.Chosen
				to.items, to.prunedBallot = applyItems(to.items, to.prunedBallot, n)
			}
			var want []configuration.Item
			for item := range chosen[to.chosen.N].All() {
				if !item.Deleted {
					want = append(want, item)
				}
			}
			if have := slices.Collect(to.items.All()); !reflect.DeepEqual(have, want) {
				t.Fatalf("ballot %d: have %v, chosen %v", to.chosen.N, itemNames(have), itemNames(want))
			}
		}
		source := uint64(1)
		if rapid.Bool().Draw(t, "started") {
			for range 5 {
				call(1, &proxy)
			}
		} else if rapid.Bool().Draw(t, "other started") {
			for source = 3; other.chosen.IsZero(); {
				call(1, &other)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				latest[0] = len(chosen) // registry 1, from which the other proxy pulls, has the newest configuration
				change(rapid.IntRange(0, 4).Draw(t, "items"))
			case 1:
				s := rapid.IntRange(0, 1).Draw(t, "registry")
				latest[s] = rapid.IntRange(latest[s], len(chosen)-1).Draw(t, "ballot")
			case 2:
				for range rapid.IntRange(1, 5).Draw(t, "calls") {
					call(1, &other)
				}
			case 3:
				if source = rapid.Uint64Range(1, 3).Draw(t, "source"); rapid.Bool().Draw(t, "reconnects") {
					proxy.news = proxy.sources[fmt.Sprint(source)] // a new connection; otherwise the source is another incarnation at the same address
				}
			case 7:
				for range rapid.IntRange(1, 5).Draw(t, "entries") {
					changeEntry()
				}
			case 8: // the other registry receives some of the entries
				entries, _, _ := tables[1].Page(0, rapid.IntRange(1, messages.MaxPartBytes).Draw(t, "bytes"))
				for _, b := range entries {
					tables[2].Merge(b)
				}
			case 9: // a registry restarts and first receives the table of the other one
				s := rapid.IntRange(1, 2).Draw(t, "restarted")
				incarnations[s] += 10
				all := tables[3-s].All()
				tables[s] = backends.New()
				for _, b := range all {
					tables[s].Merge(b)
				}
			default:
				for range rapid.IntRange(1, 3).Draw(t, "calls") {
					call(source, &proxy)
				}
			}
		}
		for range 20 { // without changes the transfer completes
			call(source, &proxy)
		}
		if last := []configuration.Ballot{ballot(latest[0]), ballot(latest[1]), other.chosen}[source-1]; proxy.chosen.Less(last) || proxy.news.cursor != nil || proxy.news.moreEntries {
			t.Fatalf("ballot %d, want %d, or the transfer is incomplete", proxy.chosen.N, last.N)
		}
	}
	for range 4 { // some faults show in one of several hundred histories
		rapid.Check(t, history)
	}
}

// itemNames returns the key and ballot number of each item.
func itemNames(items []configuration.Item) (out []string) {
	for _, item := range items {
		out = append(out, fmt.Sprint(item.Key.Name, "@", item.Ballot.N))
	}
	return out
}

// proxyState is the state of a proxy that pulls.
type proxyState struct {
	chosen, prunedBallot configuration.Ballot
	items                configuration.Set
	news                 partialNews
	table                *backends.Table
	sources              sources
}

func newProxyState() proxyState {
	return proxyState{items: configuration.Set{}.WithRoutingTable(), table: backends.New(), sources: sources{}}
}
