package store

import (
	"fmt"
	"testing"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/storage"
)

// much is books that come to disk in several parts.
func much() (items []configuration.Item, claims []messages.ClaimCall) {
	for i := range 2500 {
		claims = append(claims, messages.ClaimCall{Key: fmt.Sprint("key ", i), ID: id(uint64(i + 1))})
	}
	for i := range 300 {
		k := configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("r-", i)}
		items = append(items, configuration.Item{Key: k, Version: 2, Spec: []byte("{}"), Ballot: configuration.Ballot{N: 9}})
	}
	return items, claims
}

// dies lets n syncs of a desk pass; then the next fails, or the purser dies and begins again on what is on disk. done reports
// whether there were as many.
func (d *desk) dies(t *testing.T, n int, fails bool) (again *desk, done bool) {
	for range n {
		d.catchUp()
		if len(d.paper.waits) == 0 {
			return nil, true
		}
		d.paper.sync(nil)
	}
	d.catchUp()
	if len(d.paper.waits) == 0 {
		return nil, true
	}
	if fails {
		d.paper.sync(storage.ErrDisk)
		for len(d.later) > 0 {
			d.catchUp()
		}
		return d, false
	}
	again = newDesk(t, Options{})
	again.as, again.paper = storage.Whole, d.paper
	again.paper.waits = nil
	again.open()
	again.mustering = true // no test here waits for a repair
	return again, false
}

// A repair that dies, or whose sync fails, at whatever part: the member says nothing until all that it took is on disk, and the
// next repair makes up for all.
func TestRepairThatDiesAtEachSync(t *testing.T) {
	items, claims := much()
	m := mustered{m: messages.RecoverReply{Origin: consensus.Vouch{By: 1, Incs: []uint64{2, 1, 1}}, Accepted: configuration.Ballot{N: 9},
		Chosen: configuration.Ballot{N: 9}}, claims: claims, base: configuration.SetOf(items...)}
	for _, fails := range []bool{false, true} {
		n, done := 0, false
		for ; !done; n++ {
			d := newDesk(t, Options{})
			d.open()
			d.roll = messages.VoterSet{Epoch: 1, Voters: voters}
			d.place()
			d.paper.rows[tableMeta] = map[string][]byte{"roll": d.putRoll().Value, "incs": d.putIncs().Value}
			d.set(Repairing)
			d.restore(2, []mustered{m}, nil)
			var again *desk
			if again, done = d.dies(t, n, fails); done {
				if d.state != Serving {
					t.Errorf("%s after %d syncs", d.state, n)
				}
				break
			}
			if again.state != Repairing {
				t.Errorf("%s after %d syncs, %d claims and %d items", again.state, n, again.ledger.Len(), again.acc.Value.Len())
			}
			again.mustering = false
			again.restore(3, []mustered{m}, again.left(t))
			again.settle()
			if again.state != Serving || again.incs[0] != 3 || len(again.paper.rows[tableClaims]) != len(claims) || len(again.paper.rows[tableItems]) != len(items) {
				t.Errorf("%s after %d syncs and another repair, incarnations %v", again.state, n, again.incs)
			}
		}
		if n < 3 {
			t.Errorf("%d syncs only", n)
		}
	}
}

// A taking over that dies, or whose sync fails, at whatever part: a new voter stands apart as before, and one of both rolls has its
// own books whole for those that need them.
func TestTakingOverThatDiesAtEachSync(t *testing.T) {
	items, claims := much()
	next := messages.VoterSet{Epoch: 2, Voters: voters, Was: voters}
	h := handed{base: configuration.SetOf(items...), claims: claims, h: messages.HandoverReply{Handover: reconfig.Estate{Vouch: consensus.Vouch{By: 1, Incs: []uint64{1, 1, 1}},
		Promised: configuration.Ballot{N: 9}, Accepted: configuration.Ballot{N: 9}, Chosen: configuration.Ballot{N: 9}}}}
	older := items[0]
	older.Version, older.Ballot.N = 1, 3
	for _, kept := range []bool{false, true} {
		for _, fails := range []bool{false, true} {
			n, done := 0, false
			for ; !done; n++ {
				d := newDesk(t, Options{Bootstrap: kept, Found: voters})
				d.as = storage.Empty
				d.open()
				d.settle()
				state, own := Apart, 0
				if kept {
					state, own = Serving, 1
					d.write([]storage.Put{putClaim("own", id(99)), putItem(older), putBallot("accepted", older.Ballot), putBallot("chosen", older.Ballot)}, func(error) {})
					d.seal.Closed, d.sealed = true, true
					d.write([]storage.Put{d.putSeal()}, func(error) {})
					d.settle()
					d.ledger.Claim(0, "own", id(99))
				} else {
					d.roll = messages.VoterSet{Epoch: 1, Voters: []messages.Voter{{Addr: "x:1"}, {Addr: "b:1"}, {Addr: "c:1"}}}
					d.place()
					d.paper.rows[tableMeta] = map[string][]byte{"roll": d.putRoll().Value, "incs": d.putIncs().Value}
					d.set(Apart)
				}
				d.taking = true
				d.inherit(next, []handed{h, h}, kept, nil)
				var again *desk
				if again, done = d.dies(t, n, fails); done {
					if d.state != Serving || d.roll.Epoch != 2 || !d.inherited() {
						t.Errorf("kept %v: %s in epoch %d after %d syncs", kept, d.state, d.roll.Epoch, n)
					}
					break
				}
				if again.state != state || again.roll.Epoch != 1 || again.taking {
					t.Errorf("kept %v: %s in epoch %d after %d syncs", kept, again.state, again.roll.Epoch, n)
				}
				if rows := again.paper.rows; kept && (!again.sealed || len(rows[tableItems]) != 1 || rows[tableClaims]["own"] == nil || again.counts(1) == nil) {
					t.Errorf("%d items on disk, sealed %v, after %d syncs", len(rows[tableItems]), again.sealed, n)
				}
				again.taking = true
				left := again.left(t)
				if kept {
					left = nil
				}
				again.inherit(next, []handed{h, h}, kept, left)
				again.settle()
				if rows := again.paper.rows; again.state != Serving || again.roll.Epoch != 2 || len(rows[tableItems]) != len(items) || len(rows[tableClaims]) != len(claims)+own {
					t.Errorf("kept %v: %s in epoch %d after %d syncs and another try, %d items, %d claims", kept, again.state, again.roll.Epoch, n, len(rows[tableItems]), len(rows[tableClaims]))
				}
			}
			if n < 3 {
				t.Errorf("kept %v: %d syncs only", kept, n)
			}
		}
	}
}
