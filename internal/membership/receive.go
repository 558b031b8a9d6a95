package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Receive processes a datagram and returns the datagrams to send. Malformed datagrams are counted and dropped.
func (node *Node) Receive(now time.Duration, from netip.AddrPort, datagram []byte) []Send {
	node.enter(now)
	node.counts.Received++
	node.counts.ReceivedBytes += uint64(len(datagram))
	m, err := decode(datagram)
	if err != nil {
		node.counts.Malformed++
		return nil
	}
	if node.left {
		return nil
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if m.Name == node.self.member.Name {
		if m.Life != node.self.member.Life && node.keepsName(node.self, from) {
			node.reportConflict(node.self, node.clock, Member{Name: m.Name, Life: m.Life, Generation: m.Generation, Incarnation: m.Incarnation, Addr: from})
		} else if m.Life != node.self.member.Life && compareLives(m.Generation, m.Life, node.self.member.Generation, node.self.member.Life) > 0 {
			node.requestGeneration(m.Generation + 1)
		}
		return node.drain()
	}

	// Suspicions and deaths are processed in a second pass, and ignored if the sender is unknown or not live here.
	var outdated []*entry // entries of which the sender has an older record
	sendSelf := false     // the sender needs this member's record
	for _, suspicions := range []bool{false, true} {
		if suspicions && !node.trusted(m) {
			break
		}
		for i := range m.Updates {
			rec := &m.Updates[i]
			if rec.Name == node.self.member.Name {
				sendSelf = !suspicions && node.receiveOwnRecord(rec) || sendSelf
			} else if (rec.State == Suspect || rec.State == Dead) != suspicions {
				continue
			} else if node.merge(node.clock, rec, m.Name) {
				outdated = append(outdated, node.entries[rec.Name])
			}
		}
	}
	peer, want, stale := node.compareSender(m)
	var first []*entry
	if sendSelf || m.WantRecord || peer == nil && m.Kind == ping {
		first = append(first, node.self)
	}
	if stale {
		first = append(first, peer)
	}
	if peer != nil && m.Life == peer.member.Life {
		node.markHeard(peer, m.Kind == ack && m.Target == "")
	}
	switch {
	case peer == nil || m.Kind != ping && m.Kind != ack:
	case m.Digest != node.digest:
		node.digestMatches = 0
	default:
		if node.digestMatches++; node.digestMatches >= minDigestMatches {
			node.countDigestMatch()
		}
	}
	switch m.Kind {
	case ping:
		node.enqueue(from, header{Kind: ack, Seq: m.Seq, WantRecord: want}, peer, first...)
		return node.drain()
	case ack:
		node.receiveAck(m, from)
		if want || stale || len(first) > 0 {
			node.enqueue(from, header{Kind: gossip, WantRecord: want}, peer, first...)
		}
		return node.drain()
	case pingRequest:
		node.receivePingRequest(m, from)
	case nack:
		if p := node.probe; p != nil && p.seq == m.Seq && m.Target == p.target.member.Name {
			p.nacks++
		}
	case syncRequest:
		node.sendPage(m, from, peer)
	case syncPage:
		node.receivePage(m, from, len(outdated) > 0)
		first = append(first, outdated...)
	}
	if !stale && len(first) > 0 {
		node.enqueue(from, header{Kind: gossip}, peer, first...)
	}
	return node.drain()
}

// compareSender returns the entry of the sender. want says that the sender's own record is needed, because the one here is older;
// stale that the sender must receive its record from here, because a newer life of its name is known or it is not held alive.
func (node *Node) compareSender(m *incoming) (e *entry, want, stale bool) {
	e = node.entries[m.Name]
	if e == nil {
		return nil, true, false
	}
	switch compareLives(m.Generation, m.Life, e.member.Generation, e.member.Life) {
	case 1:
		return e, true, false
	case -1:
		return e, false, true
	}
	if m.Incarnation > e.member.Incarnation && e.state != Left {
		return e, true, false
	}
	return e, false, e.state != Alive
}

// trusted reports whether suspicions from a sender are accepted: it must be live here, in the same life.
func (node *Node) trusted(m *incoming) bool {
	e := node.entries[m.Name]
	return e != nil && e.state.Live() && compareLives(m.Generation, m.Life, e.member.Generation, e.member.Life) == 0
}

// markHeard records direct evidence that a member is alive.
func (node *Node) markHeard(e *entry, byProbe bool) {
	if !e.state.Live() {
		return
	}
	e.lastHeard = node.clock
	if p := node.probe; p != nil && p.target == e {
		node.probe = nil
		if byProbe {
			node.slowness -= (node.slowness + 1) / 2
		}
	}
}

// receiveAck handles the answer to a probe of this member or to a relayed one.
func (node *Node) receiveAck(m *incoming, from netip.AddrPort) {
	if m.Target != "" {
		if p := node.probe; p != nil && p.seq == m.Seq && p.target.member.Name == m.Target {
			node.markHeard(p.target, true)
		}
		return
	}
	for i, l := range node.relays {
		if l.seq == m.Seq && l.target == m.Name {
			node.enqueue(l.requester, header{Kind: ack, Seq: l.requestSeq, Target: l.target}, nil)
			node.relays = slices.Delete(node.relays, i, i+1)
			return
		}
	}
	if m.Digest == node.digest {
		node.digestMismatches, node.inSync = 0, true
		return
	}
	node.digestMismatches++
	wait := node.options.Period
	if !node.inSync {
		wait = node.options.AckTimeout
	}
	if (!node.inSync || node.digestMismatches >= maxDigestMismatches) && node.sync == nil && node.clock-node.lastSync >= wait && node.trusted(m) {
		node.lastSync = node.clock
		node.sync = &syncSession{to: from}
		node.requestPage()
	}
}

// receivePingRequest pings a target on behalf of another member.
func (node *Node) receivePingRequest(m *incoming, from netip.AddrPort) {
	to, ok := decodeAddr(m.TargetAddr)
	if !ok || m.Target == "" || to.Port() == 0 || len(node.relays) >= maxRelays || to == node.self.member.Addr {
		return
	}
	l := relay{seq: node.nextSeq(), target: m.Target, requester: from, requestSeq: m.Seq, deadline: node.clock + node.options.AckTimeout}
	node.relays = append(node.relays, l)
	e := node.entries[m.Target]
	node.enqueue(to, header{Kind: ping, Seq: l.seq}, e)
}

// requestPage requests the next page of a sync, or the same page again.
func (node *Node) requestPage() {
	p := node.sync
	node.counts.Pulls++
	p.seq, p.retryAt = node.nextSeq(), node.clock+node.options.AckTimeout/3
	node.enqueue(p.to, header{Kind: syncRequest, Seq: p.seq, BucketDigests: node.digests(), After: p.afterName}, nil)
}

// sendPage answers a sync request with the entries of differing buckets after a given name, as many as fit.
func (node *Node) sendPage(m *incoming, from netip.AddrPort, peer *entry) {
	if len(m.BucketDigests) != buckets*4 {
		return
	}
	own := node.digests()
	i := 0
	if m.After != "" {
		var found bool
		if i, found = node.search(m.After); found {
			i++
		}
	}
	h := header{Kind: syncPage, Seq: m.Seq}
	size := 256 // more than a header takes
	if peer != nil && peer.state != Alive {
		size += len(peer.encode(node.clock, "")) // is sent first
	}
	var out []*entry
	for ; i < len(node.sorted); i++ {
		e := node.sorted[i]
		at := int(e.bucket) * 4
		if string(own[at:at+4]) == string(m.BucketDigests[at:at+4]) {
			continue
		}
		if size += len(e.encode(node.clock, "")); size > DatagramBytes && len(out) > 0 {
			h.After = out[len(out)-1].member.Name
			break
		}
		out = append(out, e)
	}
	node.enqueue(from, h, peer, out...)
}

// receivePage handles a page of a sync and requests the next one.
func (node *Node) receivePage(m *incoming, from netip.AddrPort, newer bool) {
	p := node.sync
	if p == nil || p.seq != m.Seq || p.to != from {
		return
	}
	p.sentNewer = p.sentNewer || newer
	if m.After == "" || p.afterName != "" && compareNames(m.After, p.afterName) <= 0 {
		node.sync, node.inSync, node.digestMismatches = nil, !p.sentNewer, 0
		return
	}
	p.afterName, p.tries = m.After, 0
	node.requestPage()
}

// receiveOwnRecord handles a record of this member sent by another, and reports whether it must be answered with the current one.
func (node *Node) receiveOwnRecord(rec *record) bool {
	m := node.self.member
	if other, _ := rec.member(); rec.Life != m.Life && rec.State.Live() && node.keepsName(node.self, other.Addr) {
		node.reportConflict(node.self, node.clock, other)
		return false
	}
	switch life := compareLives(rec.Generation, rec.Life, m.Generation, m.Life); {
	case life > 0 || life == 0 && rec.State == Left:
		return node.requestGeneration(rec.Generation + 1)
	case life < 0 || rec.Incarnation < m.Incarnation || rec.Incarnation == m.Incarnation && rec.State == Alive:
		return false
	}
	if rec.Incarnation >= maxCounter {
		return false
	}
	if rec.State != Alive {
		node.counts.Refuted++
		node.increaseSlowness(1)
	}
	m.Incarnation = rec.Incarnation + 1
	node.update(node.self, node.clock, m, Alive, node.self.since)
	node.broadcast(node.self, "")
	return true
}

// requestGeneration takes a generation above that of another life of this name: immediately the first time, then with backoff
// doubling up to 64 periods, so that two processes that were given the same name by mistake do not flood the cluster.
func (node *Node) requestGeneration(generation uint64) bool {
	if generation > maxCounter {
		return false
	}
	node.wantedGeneration = max(node.wantedGeneration, generation)
	if node.clock < node.nextGeneration {
		return false
	}
	node.takeGeneration()
	return true
}

func (node *Node) takeGeneration() {
	m := node.self.member
	if node.wantedGeneration > m.Generation {
		m.Generation = node.wantedGeneration
		node.counts.Claims++
		node.nextGeneration = node.clock + node.options.Period<<min(node.generationsTaken, 6)
		node.generationsTaken++
		node.update(node.self, node.clock, m, Alive, node.self.since)
		node.broadcast(node.self, "")
	}
	node.wantedGeneration = 0
}
