package membership

import (
	"net/netip"
	"slices"
	"time"
)

// Receive takes a datagram and returns what is to be sent. What is none of ours is counted and dropped, whatever its bytes.
func (r *Roster) Receive(now time.Duration, from netip.AddrPort, datagram []byte) []Send {
	r.enter(now)
	r.counts.Received++
	r.counts.ReceivedBytes += uint64(len(datagram))
	m, err := decode(datagram)
	if err != nil {
		r.counts.Refused++
		return nil
	}
	if r.left {
		return nil
	}
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if m.Name == r.self.m.Name {
		if m.Life != r.self.m.Life && r.keeps(r.self, from) {
			r.refuse(r.self, r.now, Member{Name: m.Name, Life: m.Life, Generation: m.Generation, Incarnation: m.Incarnation, Addr: from})
		} else if m.Life != r.self.m.Life && newer(m.Generation, m.Life, r.self.m.Generation, r.self.m.Life) > 0 {
			r.askClaim(m.Generation + 1)
		}
		return r.take()
	}

	// What is said of others by one that is itself held dead, or not known yet, accuses nobody.
	var newerHere []*entry
	again := false // tell the sender of this member
	for _, accusing := range []bool{false, true} {
		if accusing && !r.believed(m) {
			break
		}
		for i := range m.News {
			n := &m.News[i]
			if n.Name == r.self.m.Name {
				again = !accusing && r.ofSelf(n) || again
			} else if (n.State == Suspect || n.State == Dead) != accusing {
				continue
			} else if r.merge(r.now, n, m.Name) {
				newerHere = append(newerHere, r.entries[n.Name])
			}
		}
	}
	peer, want, stale := r.sender(m)
	var first []*entry
	if again || m.Want || peer == nil && m.Kind == ping {
		first = append(first, r.self)
	}
	if stale {
		first = append(first, peer)
	}
	if peer != nil && m.Life == peer.m.Life {
		r.heard(peer, m.Kind == ack && m.About == "")
	}
	switch {
	case peer == nil || m.Kind != ping && m.Kind != ack:
	case m.Digest != r.digest:
		r.alike = 0
	default:
		if r.alike++; r.alike >= alikeMost {
			r.agreed()
		}
	}
	switch m.Kind {
	case ping:
		r.write(from, head{Kind: ack, Seq: m.Seq, Want: want}, peer, first...)
		return r.take()
	case ack:
		r.acked(m, from)
		if want || stale || len(first) > 0 {
			r.write(from, head{Kind: tidings, Want: want}, peer, first...)
		}
		return r.take()
	case ask:
		r.asked(m, from)
	case nack:
		if p := r.probe; p != nil && p.seq == m.Seq && m.About == p.e.m.Name {
			p.replies++
		}
	case pull:
		r.page(m, from, peer)
	case page:
		r.paged(m, from, len(newerHere) > 0)
		first = append(first, newerHere...)
	}
	if !stale && len(first) > 0 {
		r.write(from, head{Kind: tidings}, peer, first...)
	}
	return r.take()
}

// sender is who sent it: want says that it should tell of itself, because what is known here is older; stale that it has to be
// told of itself, because others know of another life of its name, or hold it for suspect or dead.
func (r *Roster) sender(m *incoming) (e *entry, want, stale bool) {
	e = r.entries[m.Name]
	if e == nil {
		return nil, true, false
	}
	switch newer(m.Generation, m.Life, e.m.Generation, e.m.Life) {
	case 1:
		return e, true, false
	case -1:
		return e, false, true
	}
	if m.Incarnation > e.m.Incarnation && e.state != Left {
		return e, true, false
	}
	return e, false, e.state != Alive
}

// believed says whether a sender may accuse others: it is held for a live one itself.
func (r *Roster) believed(m *incoming) bool {
	e := r.entries[m.Name]
	return e != nil && e.state.Live() && newer(m.Generation, m.Life, e.m.Generation, e.m.Life) == 0
}

// heard notes that a member has proved to be alive.
func (r *Roster) heard(e *entry, byProbe bool) {
	if !e.state.Live() {
		return
	}
	e.heard = r.now
	if p := r.probe; p != nil && p.e == e {
		r.probe = nil
		if byProbe {
			r.slowness -= (r.slowness + 1) / 2
		}
	}
}

// acked takes the answer to a ping of this member's, or of one that it has sent for another.
func (r *Roster) acked(m *incoming, from netip.AddrPort) {
	if m.About != "" {
		if p := r.probe; p != nil && p.seq == m.Seq && p.e.m.Name == m.About {
			r.heard(p.e, true)
		}
		return
	}
	for i, l := range r.relays {
		if l.seq == m.Seq && l.about == m.Name {
			r.write(l.to, head{Kind: ack, Seq: l.their, About: l.about}, nil)
			r.relays = slices.Delete(r.relays, i, i+1)
			return
		}
	}
	if m.Digest == r.digest {
		r.apart, r.settled = 0, true
		return
	}
	r.apart++
	wait := r.o.Period
	if !r.settled {
		wait = r.o.AckTimeout
	}
	if (!r.settled || r.apart >= apartMost) && r.pulling == nil && r.now-r.lastPull >= wait && r.believed(m) {
		r.lastPull = r.now
		r.pulling = &pulling{to: from}
		r.pullOn()
	}
}

// asked probes for another.
func (r *Roster) asked(m *incoming, from netip.AddrPort) {
	to, ok := readAddr(m.AboutAddr)
	if !ok || m.About == "" || to.Port() == 0 || len(r.relays) >= mostRelays || to == r.self.m.Addr {
		return
	}
	l := relay{seq: r.nextSeq(), about: m.About, to: from, their: m.Seq, end: r.now + r.o.AckTimeout}
	r.relays = append(r.relays, l)
	e := r.entries[m.About]
	r.write(to, head{Kind: ping, Seq: l.seq}, e)
}

// pullOn asks for the next page, or for the same again.
func (r *Roster) pullOn() {
	p := r.pulling
	r.counts.Pulls++
	p.seq, p.again = r.nextSeq(), r.now+r.o.AckTimeout/3
	r.write(p.to, head{Kind: pull, Seq: p.seq, Parts: r.digests(), After: p.after}, nil)
}

// page answers a pull: the entries of the parts that differ, after a place, as many as fit.
func (r *Roster) page(m *incoming, from netip.AddrPort, peer *entry) {
	if len(m.Parts) != parts*4 {
		return
	}
	own := r.digests()
	i := 0
	if m.After != "" {
		var found bool
		if i, found = r.place(m.After); found {
			i++
		}
	}
	h := head{Kind: page, Seq: m.Seq}
	size := 256 // more than a head
	if peer != nil && peer.state != Alive {
		size += len(peer.encode(r.now, "")) // is told first
	}
	var out []*entry
	for ; i < len(r.order); i++ {
		e := r.order[i]
		at := int(e.part) * 4
		if string(own[at:at+4]) == string(m.Parts[at:at+4]) {
			continue
		}
		if size += len(e.encode(r.now, "")); size > DatagramBytes && len(out) > 0 {
			h.After = out[len(out)-1].m.Name
			break
		}
		out = append(out, e)
	}
	r.write(from, h, peer, out...)
}

// paged goes on to the next page.
func (r *Roster) paged(m *incoming, from netip.AddrPort, newer bool) {
	p := r.pulling
	if p == nil || p.seq != m.Seq || p.to != from {
		return
	}
	p.newer = p.newer || newer
	if m.After == "" || p.after != "" && byPart(m.After, p.after) <= 0 {
		r.pulling, r.settled, r.apart = nil, !p.newer, 0
		return
	}
	p.after, p.tries = m.After, 0
	r.pullOn()
}

// ofSelf takes what others say of this member, and reports whether it has to tell them better.
func (r *Roster) ofSelf(n *record) bool {
	m := r.self.m
	if other, _ := n.member(); n.Life != m.Life && n.State.Live() && r.keeps(r.self, other.Addr) {
		r.refuse(r.self, r.now, other)
		return false
	}
	switch life := newer(n.Generation, n.Life, m.Generation, m.Life); {
	case life > 0 || life == 0 && n.State == Left:
		return r.askClaim(n.Generation + 1)
	case life < 0 || n.Incarnation < m.Incarnation || n.Incarnation == m.Incarnation && n.State == Alive:
		return false
	}
	if n.Incarnation >= highest {
		return false
	}
	if n.State != Alive {
		r.counts.Refuted++
		r.slower(1)
	}
	m.Incarnation = n.Incarnation + 1
	r.change(r.self, r.now, m, Alive, r.self.since)
	r.tell(r.self, "")
	return true
}

// askClaim takes a generation above another life of this name: at once for the first, then with waits that double up to 64
// periods, so that two processes that were given the same name by mistake do not flood the fleet.
func (r *Roster) askClaim(generation uint64) bool {
	if generation > highest {
		return false
	}
	r.claim = max(r.claim, generation)
	if r.now < r.nextClaim {
		return false
	}
	r.takeClaim()
	return true
}

func (r *Roster) takeClaim() {
	m := r.self.m
	if r.claim > m.Generation {
		m.Generation = r.claim
		r.counts.Claims++
		r.nextClaim = r.now + r.o.Period<<min(r.claims, 6)
		r.claims++
		r.change(r.self, r.now, m, Alive, r.self.since)
		r.tell(r.self, "")
	}
	r.claim = 0
}
