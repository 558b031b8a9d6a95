package registry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
)

// A change of the roll: on the operator's word, or by the harbourmaster with that duty where a voter is silent for half of catchup-s.
// Package relief says why it is safe; nothing here has to be, since any number of proposers may stand in each other's way.

const (
	readyTime   = 700 * time.Millisecond
	relieveTime = 1500 * time.Millisecond
	rollTime    = 4 * time.Second        // of one change, with the tries that stand in each other's way
	seekPart    = 4                      // of the time after which a voter is lost, between looks for another
	contactMs   = 3000                   // who has heard no majority for so long judges no call
	growEvery   = 2 * time.Second        // between looks for voters that are wanting
	haltTime    = 300 * time.Millisecond // a voter may be sealed for so long before the change counts as interrupted
)

// halted takes note whether a member is sealed: a change that was left in the middle is finished by whoever has the duty, or by the
// first that has waited for that a while, drawn anew each time. The lease of one that died amid its change goes on for up to
// duty.Span, in which no key is granted and no order taken; ballots decide where two finish it.
func (b *books) halted(place int, shut bool, now time.Time) {
	switch {
	case !shut:
		b.shut[place] = time.Time{}
		return
	case b.shut[place].IsZero():
		b.shut[place] = now
		b.alone = haltTime + rand.N(2*haltTime)
		return
	}
	if since := now.Sub(b.shut[place]); since > haltTime && (b.may(lease.Roll) || since > b.alone) {
		b.shut[place] = now
		b.alone = haltTime + rand.N(2*haltTime)
		b.turn("an interrupted change", nil)
	}
}

// turn runs a change of the roll beside the owner's goroutine, unless one runs already.
func (b *books) turn(why string, voters func(messages.Roll) ([]messages.Voter, error)) {
	h := b.h
	if h.over() {
		return
	}
	select {
	case h.turning <- struct{}{}:
	default:
		return
	}
	begun := h.begin(func() {
		defer func() { <-h.turning }()
		var wish []messages.Voter
		roll, err := h.council.Roll(), error(nil)
		if voters != nil {
			wish, err = voters(roll)
		}
		if err == nil && (voters == nil || wish != nil) {
			_, _, err = h.relieve(roll, wish)
			h.o.Log("roll", why+": "+outcome(err))
		}
	})
	if !begun {
		<-h.turning
	}
}

// gap notes when this one hears no majority, or has slept: nobody is lost for a silence of that time.
func (b *books) gap(now time.Time) {
	most := min(cmp.Or(b.h.o.Lost, VoterLost)/2, contactMs*time.Millisecond)
	if len(b.heard) == 0 || time.Duration(majorityMs(b.heard))*time.Millisecond > most {
		b.since = now
	}
}

// tend looks for voters that are wanting for as many losses as are to be borne, for those that share too much, and for those that
// have been silent for as long as a loss takes, while this one hears a majority without a gap. soon: a voter is silent, and it
// is to be asked again soon.
func (b *books) tend(now time.Time) (soon bool) {
	lost := cmp.Or(b.h.o.Lost, VoterLost)
	if b.gap(now); b.since.Equal(now) {
		return false
	}
	wanted, roll := reconfig.Wanted(b.h.o.Losses), b.h.council.Roll()
	if roll.Epoch != b.epoch { // what is noted by place is of another
		return false
	}
	known := b.pursers()
	zoned(&roll, known)
	if now.Sub(b.grown) >= growEvery && (len(b.heard) < wanted || b.h.o.Bears.Excess(roll.Voters) > 0) &&
		reconfig.Next(roll, nil, wanted, b.h.o.Bears, known) != nil {
		if b.may(lease.Roll) {
			b.grown = now
			b.turn("voters for all losses", func(roll messages.Roll) ([]messages.Voter, error) {
				zoned(&roll, known)
				return reconfig.Next(roll, nil, wanted, b.h.o.Bears, b.h.well(roll, known)), nil
			})
			return true
		}
		soon = true // the next loss may come catch-up after the last one is back: nobody waits a whole look to have the duty, and another to use it
	}
	var gone []int
	unwell, every := map[int]bool{}, lost
	for i := range b.heard {
		silent := min(now.Sub(b.answered[i]), now.Sub(b.since))
		unwell[i] = min(now.Sub(b.heard[i]), now.Sub(b.since)) >= VoterLost
		if silent >= lost/2 && silent < 4*lost { // then nobody is there to take its place
			soon, every = true, lost/seekPart
			b.may(lease.Roll) // whoever is to replace it has the duty by then
		}
		if silent >= lost || unwell[i] {
			gone = append(gone, i)
		}
	}
	if len(gone) == 0 || now.Sub(b.sought) < every || !b.may(lease.Roll) {
		return soon
	}
	b.sought = now
	epoch := b.epoch
	b.turn("a voter that is lost", func(roll messages.Roll) ([]messages.Voter, error) {
		if roll.Epoch != epoch {
			return nil, nil
		}
		zoned(&roll, known)
		well := make(chan []messages.Voter, 1)
		go func() { well <- b.h.well(roll, known) }()
		gone := b.h.silent(roll, gone, unwell, known, lost)
		if candidates := <-well; len(gone) > 0 && time.Since(now) < 2*readyTime { // else this process slept: they may be back
			return reconfig.Next(roll, gone, wanted, b.h.o.Bears, candidates), nil
		}
		return nil, nil
	})
	return soon
}

// zoned fills in the zones of voters that were founded by their addresses alone.
func zoned(roll *messages.Roll, known []messages.Voter) {
	roll.Voters = slices.Clone(roll.Voters)
	for i, v := range roll.Voters {
		if at := slices.IndexFunc(known, func(k messages.Voter) bool { return k.Addr == v.Addr }); at >= 0 && v.Zone == "" {
			roll.Voters[i].Zone = known[at].Zone
		}
	}
}

// pursers are the places of all pursers beside known harbourmasters.
func (b *books) pursers() (out []messages.Voter) {
	for _, m := range b.masters {
		out = append(out, messages.Voter{Name: m.Name, Addr: messages.Beside(m.Addr, b.h.o.First, messages.PurserPort), Zone: m.Zone})
	}
	slices.SortFunc(out, func(x, y messages.Voter) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// silent are those of the places that answer nobody, or don't speak as members, if they are unwell: not to this one, when they are
// asked once more, nor to any other harbourmaster. At least one that hears a majority has to agree.
func (h *Harbour) silent(roll messages.Roll, places []int, unwell map[int]bool, known []messages.Voter, lost time.Duration) []int {
	answers := make(chan int, len(places)) // a place that answers; -1: none does
	for _, i := range places {
		go func() {
			var r messages.Readied
			if at := roll.Voters[i].Addr; h.call(at, messages.Ready, messages.ReadyCall{Dry: true}, &r, readyTime) == nil && (r.State == "serving" || !unwell[i]) {
				answers <- i
				return
			}
			answers <- -1
		}()
	}
	type told struct {
		r   messages.Reported
		err error
	}
	others := make(chan told, len(known))
	asked := 0
	for _, v := range known {
		if m := messages.Beside(v.Addr, h.o.First, messages.HarbourPort); m != h.o.Self.Addr {
			asked++
			go func() {
				var t told
				t.err = h.call(m, messages.Report, messages.ReportCall{Brief: true}, &t.r, readyTime)
				others <- t
			}()
		}
	}
	heard := map[int]bool{}
	for range places {
		heard[<-answers] = true
	}
	witnesses := 0
	for range asked {
		t := <-others
		if t.err != nil || t.r.Harbour == nil {
			continue
		}
		ms := t.r.Harbour.AnsweredMs
		if t.r.Epoch != roll.Epoch || len(ms) != len(roll.Voters) || len(t.r.Harbour.HeardMs) != len(ms) {
			return nil
		}
		lately := 0
		for i, at := range ms {
			if time.Duration(at)*time.Millisecond < lost/2 {
				lately++
			}
			if unwell[i] {
				at = t.r.Harbour.HeardMs[i]
			}
			if time.Duration(at)*time.Millisecond < lost {
				heard[i] = true
			}
		}
		if lately >= consensus.Majority(len(ms)) && time.Duration(t.r.UpMs)*time.Millisecond >= lost {
			witnesses++
		}
	}
	if witnesses == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(places), func(i int) bool { return heard[i] })
}

// well are those that stand apart and may become voters with no word of the operator's: whose loss is bounded.
func (h *Harbour) well(roll messages.Roll, known []messages.Voter) (well []messages.Voter) {
	ch := make(chan int, len(known))
	for i, v := range known {
		go func() {
			var r messages.Readied
			if roll.Place(v.Addr) >= 0 || h.call(v.Addr, messages.Ready, messages.ReadyCall{Dry: true}, &r, readyTime) != nil ||
				r.State != "apart" || !r.Quorum {
				i = -1
			}
			ch <- i
		}()
	}
	var places []int
	for range known {
		if i := <-ch; i >= 0 {
			places = append(places, i)
		}
	}
	slices.Sort(places)
	for _, i := range places {
		well = append(well, known[i])
	}
	return well
}

// call makes one call to an address.
func (h *Harbour) call(addr string, kind uint8, v, answer any, wait time.Duration) error {
	c := rpc.NewClient(h.o.Net, addr)
	defer c.Close()
	return c.Call(kind, v, answer, wait)
}

// prepare asks the wished voters how they stand, and makes a roll of them. Those that join must be well, and a majority.
func (h *Harbour) prepare(roll messages.Roll, voters []messages.Voter, dry bool) (next messages.Roll, err error) {
	next = messages.Roll{Epoch: roll.Epoch + 1, Voters: slices.Clone(voters), Was: slices.Clone(roll.Voters)}
	for i := range next.Was {
		next.Was[i].Disk = 0
	}
	type told struct {
		i   int
		r   messages.Readied
		err error
	}
	ch := make(chan told, len(voters))
	for i, v := range voters {
		go func() {
			t := told{i: i}
			t.err = h.call(v.Addr, messages.Ready, messages.ReadyCall{Dry: dry}, &t.r, readyTime)
			ch <- t
		}()
	}
	well := 0
	for range voters {
		t := <-ch
		v := &next.Voters[t.i]
		v.Disk = 0
		joins := roll.Place(v.Addr) < 0
		switch {
		case t.err != nil && joins:
			return next, errcode.New(errcode.Unreachable, "%s", v.Addr)
		case t.err != nil:
		case t.r.Epoch > roll.Epoch:
			return next, errcode.New(errcode.HigherBallot, "epoch %d is over", roll.Epoch)
		case joins && t.r.State != "apart":
			return next, errcode.New(errcode.Unreachable, "%s: %s", v.Addr, t.r.State)
		case joins || t.r.State == "serving": // else it makes up for its disk in the new epoch
			well++
			v.Disk = t.r.Disk
		}
	}
	if well < consensus.Majority(len(voters)) {
		return next, errcode.New(errcode.NoQuorum, "%d of the %d voters are well", well, len(voters))
	}
	return next, nil
}

// relieve runs a change of the roll to its end, and tells how many of its voters hold the books by then. voters: nil to finish one
// that was left in the middle.
func (h *Harbour) relieve(roll messages.Roll, voters []messages.Voter) (next messages.Roll, holds int, err error) {
	var mine messages.Roll
	if len(roll.Voters) == 0 {
		return roll, 0, errcode.New(errcode.NoQuorum, "nobody known that counts")
	}
	if voters != nil {
		if mine, err = h.prepare(roll, voters, false); err != nil {
			return roll, 0, err
		}
	}
	for end := time.Now().Add(rollTime); ; {
		next, err := h.decree(roll, mine)
		switch {
		case err == nil:
			h.Counts.Relieved.Add(1)
			holds = h.hand(next)
			if voters != nil && !next.Same(mine) {
				return next, holds, errcode.New(errcode.HigherBallot, "another change was under way")
			}
			return next, holds, nil
		case h.council.Roll().Epoch != roll.Epoch:
			return h.council.Roll(), 0, errcode.New(errcode.HigherBallot, "another change came first")
		case errcode.Of(err) != errcode.HigherBallot && errcode.Of(err) != errcode.NoQuorum, time.Now().After(end):
			return roll, 0, err
		}
		if !h.pause(10*time.Millisecond + rand.N(150*time.Millisecond)) {
			return roll, 0, err
		}
	}
}

// decree has the old voters choose a successor: mine, or what one of them accepted before.
func (h *Harbour) decree(roll, mine messages.Roll) (next messages.Roll, err error) {
	n := len(roll.Voters)
	var b configuration.Ballot
	h.own.Ask(func(t *books) {
		t.decree = configuration.Ballot{N: t.decree.N + 1, Proposer: uint32(h.o.Life)}
		b = t.decree
	})
	r := reconfig.Round{Voters: n}
	gather := func(call messages.SucceedCall, take func(reconfig.Answer) bool) error {
		if h.council.Roll().Epoch != roll.Epoch {
			return errcode.New(errcode.NotFound, "epoch %d", roll.Epoch)
		}
		ask := rpc.Encode(call)
		return h.council.Gather(messages.Succeed, func(int) []byte { return ask }, phaseTime, func(t quorum.Told) bool {
			var a reconfig.Answer
			return t.Err == nil && rpc.Decode(t.Body, &a) == nil && take(a)
		})
	}
	err = gather(messages.SucceedCall{Epoch: roll.Epoch, B: b}, func(a reconfig.Answer) bool {
		r.Promise(a)
		_, bound, ok := r.Base()
		return ok && bound // else all are heard: one may have accepted something
	})
	next, bound, ok := r.Base()
	defer func() {
		h.own.Ask(func(t *books) {
			if t.decree.Less(r.Higher) {
				t.decree = r.Higher
			}
		})
	}()
	switch {
	case !ok && b.Less(r.Higher):
		return next, errcode.New(errcode.HigherBallot, "")
	case !ok:
		return next, err
	case !bound && mine.Epoch == 0:
		return next, errcode.New(errcode.NotFound, "nothing to finish")
	case !bound:
		next = mine
	}
	chosen := false
	err = gather(messages.SucceedCall{Epoch: roll.Epoch, B: b, Next: &next}, func(a reconfig.Answer) bool {
		chosen = r.Accept(a)
		return chosen
	})
	switch {
	case chosen:
		return next, nil
	case b.Less(r.Higher):
		return next, errcode.New(errcode.HigherBallot, "")
	}
	return next, outOr(err)
}

// hand tells a chosen roll to all that it concerns, and takes it once a majority of its voters speaks in the new epoch, or
// there is none within the time. It gives how many did: with fewer than a majority, nobody that leaves may go yet.
func (h *Harbour) hand(next messages.Roll) (holds int) {
	begun := time.Now()
	ch := make(chan bool, len(next.Voters))
	tell := func(v messages.Voter) {
		var r messages.Relieved
		err := h.call(v.Addr, messages.Relieve, messages.RelieveCall{Roll: next}, &r, relieveTime)
		ch <- err == nil && r.Epoch >= next.Epoch && r.State == "serving"
	}
	for _, v := range next.Voters {
		go tell(v)
	}
	for range next.Voters {
		if <-ch {
			if holds++; holds >= consensus.Majority(len(next.Voters)) {
				break
			}
		}
	}
	h.o.Log("roll", fmt.Sprintf("epoch %d: %d speak after %v", next.Epoch, holds, time.Since(begun).Round(time.Millisecond)))
	h.adopt(next) // a voter that is left out is told by those who watch it
	for _, v := range next.Was {
		if next.Place(v.Addr) < 0 {
			go h.call(v.Addr, messages.Relieve, messages.RelieveCall{Roll: next}, nil, relieveTime)
		}
	}
	return holds
}

// dismiss tells the purser beside this one that it does not count, until it knows: it may have slept through the change.
func (h *Harbour) dismiss(roll messages.Roll) {
	for h.council.Roll().Epoch == roll.Epoch {
		var r messages.Relieved
		if h.call(h.o.Purser, messages.Relieve, messages.RelieveCall{Roll: roll}, &r, relieveTime) == nil && r.Epoch >= roll.Epoch {
			return
		}
		if !h.pause(500 * time.Millisecond) {
			return
		}
	}
}

// ---- The operator ----

// rolls takes the operator's word.
func (h *Harbour) rolls(c rpc.Call) {
	var call messages.RollsCall
	if err := rpc.Decode(c.Body, &call); err != nil {
		c.Reply(nil, err)
		return
	}
	h.own.Send(func(b *books) {
		if h.over() {
			return
		}
		known, silent := b.pursers(), majorityMs(b.heard) // the sealed too: a change may be left in the middle
		h.begin(func() {
			begun := time.Now()
			roll := h.council.Roll()
			t := messages.RollsTold{Was: roll, Roll: roll}
			voters, err := wished(roll, known, call)
			if silent > contactMs { // nothing is refused by what may be old here
				err = errcode.New(errcode.NoQuorum, "no majority was heard for %d ms", silent)
			}
			switch {
			case err != nil:
			case call.Dry:
				t.Roll, err = h.prepare(roll, voters, true)
			default:
				select {
				case h.turning <- struct{}{}:
					t.Roll, t.Holds, err = h.relieve(roll, voters)
					<-h.turning
				default:
					err = errcode.New(errcode.HigherBallot, "another change is under way")
				}
				h.o.Log("roll", "the operator's word: "+outcome(err))
			}
			if t.TookMs = uint32(time.Since(begun).Milliseconds()); err != nil {
				t.Why = err.Error()
			}
			c.Reply(t, nil)
		})
	})
}

// wished is the list of voters that a call asks for.
func wished(roll messages.Roll, known []messages.Voter, call messages.RollsCall) ([]messages.Voter, error) {
	find := func(name string) (messages.Voter, error) {
		host, _, err := net.SplitHostPort(name)
		if err != nil {
			host = name
		}
		for _, v := range append(slices.Clone(known), roll.Voters...) { // those that founded it have no names
			if at, _, _ := net.SplitHostPort(v.Addr); v.Name == name || v.Addr == name || at == host {
				return v, nil
			}
		}
		return messages.Voter{}, errcode.New(errcode.InvalidConfiguration, "%q is no node with a purser that is known here", name)
	}
	var voters []messages.Voter
	for _, n := range call.Voters {
		v, err := find(n)
		if err != nil {
			return nil, err
		}
		voters = append(voters, v)
	}
	if len(call.Voters) == 0 {
		voters = slices.Clone(roll.Voters)
	}
	for _, x := range call.Replace {
		old, err := find(x[0])
		if err != nil {
			return nil, err
		}
		at := slices.IndexFunc(voters, func(v messages.Voter) bool { return v.Addr == old.Addr })
		if at < 0 {
			return nil, errcode.New(errcode.InvalidConfiguration, "%s does not count", x[0])
		}
		if voters[at], err = find(x[1]); err != nil {
			return nil, err
		}
	}
	for i, v := range voters {
		if slices.ContainsFunc(voters[:i], func(o messages.Voter) bool { return o.Addr == v.Addr }) {
			return nil, errcode.New(errcode.InvalidConfiguration, "%s comes twice", v.Addr)
		}
	}
	switch {
	case len(voters)%2 == 0:
		return nil, errcode.New(errcode.InvalidConfiguration, "%d voters: an odd number is wanted", len(voters))
	case (messages.Roll{Epoch: roll.Epoch, Voters: voters}).Same(roll):
		return nil, errcode.New(errcode.InvalidConfiguration, "that is the roll in force")
	}
	return voters, nil
}
