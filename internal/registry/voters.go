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

// Voter set changes: requested by the operator, or started by the registry that holds the lease for them when a voter has been
// silent for half of catchup-s. Package reconfig explains why they are safe; safety doesn't depend on this file, as any number
// of proposers may compete.

const (
	readyTimeout            = 700 * time.Millisecond
	adoptTimeout            = 1500 * time.Millisecond
	voterChangeTimeout      = 4 * time.Second        // for one change, including retries after preemption
	replacementRetryDivisor = 4                      // retry the replacement of a lost voter after this fraction of the time after which it is lost
	maxContactAgeMs         = 3000                   // a registry that has not heard a majority for this long judges no call
	growInterval            = 2 * time.Second        // between searches for missing voters
	sealedLimit             = 300 * time.Millisecond // a change counts as interrupted once a voter has been sealed for this long
)

// trackSealed records whether a voter is sealed. An interrupted change is finished by the registry that holds the lease, or by
// the first whose random delay has passed: the lease of a registry that died during its change lasts for up to lease.Span, in
// which no key is granted and no order accepted. If two finish it, ballots decide.
func (st *state) trackSealed(voter int, sealed bool, now time.Time) {
	switch {
	case !sealed:
		st.sealedSince[voter] = time.Time{}
		return
	case st.sealedSince[voter].IsZero():
		st.sealedSince[voter] = now
		st.takeoverDelay = sealedLimit + rand.N(2*sealedLimit)
		return
	}
	if since := now.Sub(st.sealedSince[voter]); since > sealedLimit && (st.acquireLease(lease.VoterChange) || since > st.takeoverDelay) {
		st.sealedSince[voter] = now
		st.takeoverDelay = sealedLimit + rand.N(2*sealedLimit)
		st.startVoterChange("interrupted change", nil)
	}
}

// startVoterChange runs a voter set change in its own goroutine, unless one is running. voters chooses the new voters; nil finishes
// an interrupted change.
func (st *state) startVoterChange(why string, voters func(messages.VoterSet) ([]messages.Voter, error)) {
	reg := st.registry
	if reg.isClosed() {
		return
	}
	select {
	case reg.voterChangeSlot <- struct{}{}:
	default:
		return
	}
	started := reg.spawn(func() {
		defer func() { <-reg.voterChangeSlot }()
		var requested []messages.Voter
		voterSet, err := reg.quorum.VoterSet(), error(nil)
		if voters != nil {
			requested, err = voters(voterSet)
		}
		if err == nil && (voters == nil || requested != nil) {
			_, _, err = reg.changeVoters(voterSet, requested)
			reg.options.Log("roll", why+": "+resultText(err))
		}
	})
	if !started {
		<-reg.voterChangeSlot
	}
}

// trackContact restarts the observation of the voters when this registry hears no majority or was suspended, so that no voter
// counts as lost for its silence in that time.
func (st *state) trackContact(now time.Time) {
	maxSilence := min(cmp.Or(st.registry.options.LostAfter, DefaultLostAfter)/2, maxContactAgeMs*time.Millisecond)
	if len(st.servingAt) == 0 || time.Duration(majorityAgeMs(st.servingAt))*time.Millisecond > maxSilence {
		st.observedSince = now
	}
}

// maintainVoters starts a voter set change if there are too few voters for the losses to survive, if too many share a zone or
// region, or if a voter has been silent for long enough to be lost. It does so only while this registry hears a majority
// without a gap. It returns whether it should be called again soon, as a voter is silent or a lease is being acquired.
func (st *state) maintainVoters(now time.Time) (soon bool) {
	lostAfter := cmp.Or(st.registry.options.LostAfter, DefaultLostAfter)
	if st.trackContact(now); st.observedSince.Equal(now) {
		return false
	}
	wanted, voterSet := reconfig.VotersFor(st.registry.options.ToleratedLosses), st.registry.quorum.VoterSet()
	if voterSet.Epoch != st.voterEpoch { // the slices belong to another voter set
		return false
	}
	known := st.knownStores()
	fillZones(&voterSet, known)
	if now.Sub(st.lastGrowth) >= growInterval && (len(st.servingAt) < wanted || st.registry.options.Tolerance.Excess(voterSet.Voters) > 0) &&
		reconfig.NextVoters(voterSet, nil, wanted, st.registry.options.Tolerance, known) != nil {
		if st.acquireLease(lease.VoterChange) {
			st.lastGrowth = now
			st.startVoterChange("voters missing or sharing a zone or region", func(voterSet messages.VoterSet) ([]messages.Voter, error) {
				fillZones(&voterSet, known)
				return reconfig.NextVoters(voterSet, nil, wanted, st.registry.options.Tolerance, st.registry.readyCandidates(voterSet, known)), nil
			})
			return true
		}
		soon = true // the next loss may follow catchup-s after the last one has recovered: don't spend a whole interval to get the lease, and another to use it
	}
	var lost []int
	unwell, retryInterval := map[int]bool{}, lostAfter
	for i := range st.servingAt {
		silent := min(now.Sub(st.answeredAt[i]), now.Sub(st.observedSince))
		unwell[i] = min(now.Sub(st.servingAt[i]), now.Sub(st.observedSince)) >= DefaultLostAfter
		if silent >= lostAfter/2 && silent < 4*lostAfter { // after that, there is nobody to replace it
			soon, retryInterval = true, lostAfter/replacementRetryDivisor
			st.acquireLease(lease.VoterChange) // acquired early, so that it is held when the voter is to be replaced
		}
		if silent >= lostAfter || unwell[i] {
			lost = append(lost, i)
		}
	}
	if len(lost) == 0 || now.Sub(st.lastReplacement) < retryInterval || !st.acquireLease(lease.VoterChange) {
		return soon
	}
	st.lastReplacement = now
	epoch := st.voterEpoch
	st.startVoterChange("lost voter", func(voterSet messages.VoterSet) ([]messages.Voter, error) {
		if voterSet.Epoch != epoch {
			return nil, nil
		}
		fillZones(&voterSet, known)
		ready := make(chan []messages.Voter, 1)
		go func() { ready <- st.registry.readyCandidates(voterSet, known) }()
		lost := st.registry.confirmSilent(voterSet, lost, unwell, known, lostAfter)
		if candidates := <-ready; len(lost) > 0 && time.Since(now) < 2*readyTimeout { // otherwise this process was suspended, and the voters may be back
			return reconfig.NextVoters(voterSet, lost, wanted, st.registry.options.Tolerance, candidates), nil
		}
		return nil, nil
	})
	return soon
}

// fillZones fills in the zones of initial voters, which are given by their addresses alone.
func fillZones(voterSet *messages.VoterSet, known []messages.Voter) {
	voterSet.Voters = slices.Clone(voterSet.Voters)
	for i, v := range voterSet.Voters {
		if at := slices.IndexFunc(known, func(k messages.Voter) bool { return k.Addr == v.Addr }); at >= 0 && v.Zone == "" {
			voterSet.Voters[i].Zone = known[at].Zone
		}
	}
}

// knownStores returns the stores next to all known registries, as voters.
func (st *state) knownStores() (out []messages.Voter) {
	for _, m := range st.registries {
		out = append(out, messages.Voter{Name: m.Name, Addr: messages.AddrOnHost(m.Addr, st.registry.options.FirstPort, messages.StorePort), Zone: m.Zone})
	}
	slices.SortFunc(out, func(x, y messages.Voter) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// confirmSilent returns those of the voters that have answered neither this registry, which asks them once more, nor any other
// registry; from an unwell voter only an answer as serving counts. At least one other registry that hears a majority has to agree.
func (reg *Registry) confirmSilent(voterSet messages.VoterSet, voters []int, unwell map[int]bool, known []messages.Voter, lostAfter time.Duration) []int {
	answers := make(chan int, len(voters)) // a voter that answers; -1: it doesn't
	for _, i := range voters {
		go func() {
			var r messages.ReadyReply
			if addr := voterSet.Voters[i].Addr; reg.callAddr(addr, messages.Ready, messages.ReadyCall{DryRun: true}, &r, readyTimeout) == nil && (r.State == "serving" || !unwell[i]) {
				answers <- i
				return
			}
			answers <- -1
		}()
	}
	type response struct {
		r   messages.ReportReply
		err error
	}
	others := make(chan response, len(known))
	asked := 0
	for _, v := range known {
		if m := messages.AddrOnHost(v.Addr, reg.options.FirstPort, messages.RegistryPort); m != reg.options.Self.Addr {
			asked++
			go func() {
				var t response
				t.err = reg.callAddr(m, messages.Report, messages.ReportCall{Brief: true}, &t.r, readyTimeout)
				others <- t
			}()
		}
	}
	answered := map[int]bool{}
	for range voters {
		answered[<-answers] = true
	}
	witnesses := 0
	for range asked {
		t := <-others
		if t.err != nil || t.r.Registry == nil {
			continue
		}
		ages := t.r.Registry.AnsweredMs
		if t.r.Epoch != voterSet.Epoch || len(ages) != len(voterSet.Voters) || len(t.r.Registry.ServingMs) != len(ages) {
			return nil
		}
		recent := 0
		for i, age := range ages {
			if time.Duration(age)*time.Millisecond < lostAfter/2 {
				recent++
			}
			if unwell[i] {
				age = t.r.Registry.ServingMs[i]
			}
			if time.Duration(age)*time.Millisecond < lostAfter {
				answered[i] = true
			}
		}
		if recent >= consensus.Majority(len(ages)) && time.Duration(t.r.UpMs)*time.Millisecond >= lostAfter {
			witnesses++
		}
	}
	if witnesses == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(voters), func(i int) bool { return answered[i] })
}

// readyCandidates returns the stores that are no voters, are ready to become one, and may do so without the operator, as the
// loss of their machines is bounded.
func (reg *Registry) readyCandidates(voterSet messages.VoterSet, known []messages.Voter) (candidates []messages.Voter) {
	ch := make(chan int, len(known))
	for i, v := range known {
		go func() {
			var r messages.ReadyReply
			if voterSet.IndexOf(v.Addr) >= 0 || reg.callAddr(v.Addr, messages.Ready, messages.ReadyCall{DryRun: true}, &r, readyTimeout) != nil ||
				r.State != "apart" || !r.Quorum {
				i = -1
			}
			ch <- i
		}()
	}
	var indexes []int
	for range known {
		if i := <-ch; i >= 0 {
			indexes = append(indexes, i)
		}
	}
	slices.Sort(indexes)
	for _, i := range indexes {
		candidates = append(candidates, known[i])
	}
	return candidates
}

// callAddr makes one call to an address over a connection of its own.
func (reg *Registry) callAddr(addr string, kind uint8, request, answer any, wait time.Duration) error {
	c := rpc.NewClient(reg.options.Net, addr)
	defer c.Close()
	return c.Call(kind, request, answer, wait)
}

// prepareVoterSet asks the requested voters for their state and makes a voter set of them. New voters must be ready, and so must
// a majority of all.
func (reg *Registry) prepareVoterSet(voterSet messages.VoterSet, voters []messages.Voter, dryRun bool) (next messages.VoterSet, err error) {
	next = messages.VoterSet{Epoch: voterSet.Epoch + 1, Voters: slices.Clone(voters), Previous: slices.Clone(voterSet.Voters)}
	for i := range next.Previous {
		next.Previous[i].Disk = 0
	}
	type response struct {
		i   int
		r   messages.ReadyReply
		err error
	}
	ch := make(chan response, len(voters))
	for i, v := range voters {
		go func() {
			t := response{i: i}
			t.err = reg.callAddr(v.Addr, messages.Ready, messages.ReadyCall{DryRun: dryRun}, &t.r, readyTimeout)
			ch <- t
		}()
	}
	ready := 0
	for range voters {
		t := <-ch
		v := &next.Voters[t.i]
		v.Disk = 0
		joins := voterSet.IndexOf(v.Addr) < 0
		switch {
		case t.err != nil && joins:
			return next, errcode.New(errcode.Unreachable, "%s", v.Addr)
		case t.err != nil:
		case t.r.Epoch > voterSet.Epoch:
			return next, errcode.New(errcode.HigherBallot, "epoch %d is over", voterSet.Epoch)
		case joins && t.r.State != "apart":
			return next, errcode.New(errcode.Unreachable, "%s: %s", v.Addr, t.r.State)
		case joins || t.r.State == "serving": // otherwise it recovers its disk in the new epoch
			ready++
			v.Disk = t.r.Disk
		}
	}
	if ready < consensus.Majority(len(voters)) {
		return next, errcode.New(errcode.NoQuorum, "%d of the %d voters are well", ready, len(voters))
	}
	return next, nil
}

// changeVoters runs a voter set change to its end and returns how many of the new voters are active by then. With nil voters it
// finishes an interrupted change.
func (reg *Registry) changeVoters(voterSet messages.VoterSet, voters []messages.Voter) (next messages.VoterSet, active int, err error) {
	var proposed messages.VoterSet
	if len(voterSet.Voters) == 0 {
		return voterSet, 0, errcode.New(errcode.NoQuorum, "nobody known that counts")
	}
	if voters != nil {
		if proposed, err = reg.prepareVoterSet(voterSet, voters, false); err != nil {
			return voterSet, 0, err
		}
	}
	for end := time.Now().Add(voterChangeTimeout); ; {
		next, err := reg.chooseVoterSet(voterSet, proposed)
		switch {
		case err == nil:
			reg.Counts.VoterChanges.Add(1)
			active = reg.announceVoterSet(next)
			if voters != nil && !next.SameVoters(proposed) {
				return next, active, errcode.New(errcode.HigherBallot, "another change was under way")
			}
			return next, active, nil
		case reg.quorum.VoterSet().Epoch != voterSet.Epoch:
			return reg.quorum.VoterSet(), 0, errcode.New(errcode.HigherBallot, "another change came first")
		case errcode.Of(err) != errcode.HigherBallot && errcode.Of(err) != errcode.NoQuorum, time.Now().After(end):
			return voterSet, 0, err
		}
		if !reg.sleep(10*time.Millisecond + rand.N(150*time.Millisecond)) {
			return voterSet, 0, err
		}
	}
}

// chooseVoterSet has the old voters choose the next voter set: proposed, or one that some of them accepted before.
func (reg *Registry) chooseVoterSet(voterSet, proposed messages.VoterSet) (next messages.VoterSet, err error) {
	n := len(voterSet.Voters)
	var ballot configuration.Ballot
	reg.owner.Do(func(st *state) {
		st.highestVoterBallot = configuration.Ballot{N: st.highestVoterBallot.N + 1, Proposer: uint32(reg.options.Incarnation)}
		ballot = st.highestVoterBallot
	})
	round := reconfig.Round{Voters: n}
	gather := func(call messages.ProposeVotersCall, handle func(reconfig.Answer) bool) error {
		if reg.quorum.VoterSet().Epoch != voterSet.Epoch {
			return errcode.New(errcode.NotFound, "epoch %d", voterSet.Epoch)
		}
		request := rpc.Encode(call)
		return reg.quorum.Broadcast(messages.ProposeVoters, func(int) []byte { return request }, phaseTimeout, func(resp quorum.Response) bool {
			var answer reconfig.Answer
			return resp.Err == nil && rpc.Decode(resp.Body, &answer) == nil && handle(answer)
		})
	}
	err = gather(messages.ProposeVotersCall{Epoch: voterSet.Epoch, B: ballot}, func(answer reconfig.Answer) bool {
		round.Promise(answer)
		_, bound, ok := round.Base()
		return ok && bound // otherwise wait for all: one may have accepted a voter set
	})
	next, bound, ok := round.Base()
	defer func() {
		reg.owner.Do(func(st *state) {
			if st.highestVoterBallot.Less(round.HighestSeen) {
				st.highestVoterBallot = round.HighestSeen
			}
		})
	}()
	switch {
	case !ok && ballot.Less(round.HighestSeen):
		return next, errcode.New(errcode.HigherBallot, "")
	case !ok:
		return next, err
	case !bound && proposed.Epoch == 0:
		return next, errcode.New(errcode.NotFound, "nothing to finish")
	case !bound:
		next = proposed
	}
	chosen := false
	err = gather(messages.ProposeVotersCall{Epoch: voterSet.Epoch, B: ballot, Next: &next}, func(answer reconfig.Answer) bool {
		chosen = round.Accept(answer)
		return chosen
	})
	switch {
	case chosen:
		return next, nil
	case ballot.Less(round.HighestSeen):
		return next, errcode.New(errcode.HigherBallot, "")
	}
	return next, quorumError(err)
}

// announceVoterSet sends a chosen voter set to its voters and adopts it once a majority of them is active in the new epoch, or
// when the calls have ended without one. It returns how many are active: with fewer than a majority, no removed voter may shut
// down yet.
func (reg *Registry) announceVoterSet(next messages.VoterSet) (active int) {
	started := time.Now()
	ch := make(chan bool, len(next.Voters))
	announce := func(v messages.Voter) {
		var r messages.AdoptVotersReply
		err := reg.callAddr(v.Addr, messages.AdoptVoters, messages.AdoptVotersCall{VoterSet: next}, &r, adoptTimeout)
		ch <- err == nil && r.Epoch >= next.Epoch && r.State == "serving"
	}
	for _, v := range next.Voters {
		go announce(v)
	}
	for range next.Voters {
		if <-ch {
			if active++; active >= consensus.Majority(len(next.Voters)) {
				break
			}
		}
	}
	reg.options.Log("roll", fmt.Sprintf("epoch %d: %d voters active after %v", next.Epoch, active, time.Since(started).Round(time.Millisecond)))
	reg.adoptVoterSet(next) // voters that have not answered are told by the registries that watch them
	for _, v := range next.Previous {
		if next.IndexOf(v.Addr) < 0 {
			go reg.callAddr(v.Addr, messages.AdoptVoters, messages.AdoptVotersCall{VoterSet: next}, nil, adoptTimeout)
		}
	}
	return active
}

// notifyLocalStore tells the store on this machine that it is not a voter until it knows: it may have missed the change.
func (reg *Registry) notifyLocalStore(voterSet messages.VoterSet) {
	for reg.quorum.VoterSet().Epoch == voterSet.Epoch {
		var r messages.AdoptVotersReply
		if reg.callAddr(reg.options.StoreAddr, messages.AdoptVoters, messages.AdoptVotersCall{VoterSet: voterSet}, &r, adoptTimeout) == nil && r.Epoch >= voterSet.Epoch {
			return
		}
		if !reg.sleep(500 * time.Millisecond) {
			return
		}
	}
}

// ---- Requests of the operator ----

// handleChangeVoters serves the operator's request for another voter set.
func (reg *Registry) handleChangeVoters(c rpc.Call) {
	var call messages.ChangeVotersCall
	if err := rpc.Decode(c.Body, &call); err != nil {
		c.Reply(nil, err)
		return
	}
	reg.owner.Send(func(st *state) {
		if reg.isClosed() {
			return
		}
		known, servingAgeMs := st.knownStores(), majorityAgeMs(st.servingAt) // sealed voters count too: a change may have been interrupted
		reg.spawn(func() {
			started := time.Now()
			voterSet := reg.quorum.VoterSet()
			reply := messages.ChangeVotersReply{Previous: voterSet, VoterSet: voterSet}
			voters, err := requestedVoters(voterSet, known, call)
			if servingAgeMs > maxContactAgeMs { // don't refuse a request based on outdated state
				err = errcode.New(errcode.NoQuorum, "no majority was heard for %d ms", servingAgeMs)
			}
			switch {
			case err != nil:
			case call.DryRun:
				reply.VoterSet, err = reg.prepareVoterSet(voterSet, voters, true)
			default:
				select {
				case reg.voterChangeSlot <- struct{}{}:
					reply.VoterSet, reply.Active, err = reg.changeVoters(voterSet, voters)
					<-reg.voterChangeSlot
				default:
					err = errcode.New(errcode.HigherBallot, "another change is under way")
				}
				reg.options.Log("roll", "operator request: "+resultText(err))
			}
			if reply.TookMs = uint32(time.Since(started).Milliseconds()); err != nil {
				reply.Error = err.Error()
			}
			c.Reply(reply, nil)
		})
	})
}

// requestedVoters returns the voters that a call asks for.
func requestedVoters(voterSet messages.VoterSet, known []messages.Voter, call messages.ChangeVotersCall) ([]messages.Voter, error) {
	find := func(name string) (messages.Voter, error) {
		host, _, err := net.SplitHostPort(name)
		if err != nil {
			host = name
		}
		for _, v := range append(slices.Clone(known), voterSet.Voters...) { // initial voters have no names
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
		voters = slices.Clone(voterSet.Voters)
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
	case (messages.VoterSet{Epoch: voterSet.Epoch, Voters: voters}).SameVoters(voterSet):
		return nil, errcode.New(errcode.InvalidConfiguration, "that is the roll in force")
	}
	return voters, nil
}
