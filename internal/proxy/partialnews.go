package proxy

import (
	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

// partialNews is the progress of receiving the state of one source in several answers. Entries of the backend table are applied as they
// arrive: each is complete by itself, and none is removed because it was not sent. Items are applied only when all have arrived: the
// configuration that comes into force is always one chosen value, as a whole.
type partialNews struct {
	incarnation uint64 // of the source
	revision    uint64 // of the source's table, up to which all entries were received
	moreEntries bool   // the source has more entries
	items       []configuration.Item
	snapshot    bool             // items are the whole configuration, not changes
	cursor      *messages.Cursor // where the next part of the items starts; nil if none is outstanding
}

// add adds an answer. It withholds the items of a part from n; the last part, which carries the ballot chosen, gets them all.
func (p *partialNews) add(n *messages.PullReply) {
	if n.Snapshot || p.incarnation != n.Incarnation || p.cursor == nil { // the items start anew
		p.items, p.snapshot = nil, n.Snapshot
	}
	p.incarnation, p.revision, p.moreEntries, p.cursor = n.Incarnation, n.Revision, n.MoreBackends, n.Cursor
	p.items = append(p.items, n.Items...)
	if p.cursor != nil {
		n.Items, n.Snapshot = nil, false
		return
	}
	n.Items, n.Snapshot, p.items = p.items, p.snapshot, nil
}

// continueCall makes a call continue after the last answer.
func (p *partialNews) continueCall(call *messages.PullCall) {
	call.Incarnation, call.Revision, call.Cursor = p.incarnation, p.revision, p.cursor
}

// sources is the progress by address of each source that was asked, so that a return to one continues there.
type sources map[string]partialNews

// maxSources bounds the number of sources remembered.
const maxSources = 64

// store remembers the progress of the table entries of a source; received items are not kept.
func (s sources) store(addr string, p *partialNews) {
	if _, ok := s[addr]; !ok && len(s) >= maxSources {
		clear(s)
	}
	s[addr] = partialNews{incarnation: p.incarnation, revision: p.revision}
}

// applyItems returns the configuration after news with a higher ballot than the one in force. A proxy keeps no tombstones: its ballot
// alone rejects older news. pruned is the highest ballot that a removed tombstone may have had.
func applyItems(items configuration.Set, pruned configuration.Ballot, n messages.PullReply) (configuration.Set, configuration.Ballot) {
	if n.Snapshot {
		items, pruned = items.UpdatedTo(configuration.SetOf(n.Items...)), n.Chosen
	} else {
		items = items.With(n.Items...)
	}
	var dropped []configuration.Key
	for _, item := range n.Items {
		if !item.Deleted {
			continue
		}
		if pruned.Less(item.Ballot) {
			pruned = item.Ballot
		}
		if now, _ := items.Get(item.Key); now.Deleted { // and not created again in a later part
			dropped = append(dropped, item.Key)
		}
	}
	return items.Without(dropped...), pruned
}
