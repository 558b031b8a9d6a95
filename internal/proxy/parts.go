package proxy

import (
	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

// parts is how far one source has told, in several answers. Entries of the table are news as they come: each is whole by itself,
// and none is taken out because it was not told. Nothing of the items is news until all are there: what comes into force is
// one value that was chosen, whole.
type parts struct {
	life   uint64 // of the source
	at     uint64 // its change up to which all entries were told
	more   bool   // there are more
	items  []configuration.Item
	whole  bool             // they are all that stand
	cursor *messages.Cursor // where the next part goes on; nil: nothing is under way
}

// add takes an answer. Items of a part are kept back, and told by the last one, which names what was chosen.
func (p *parts) add(n *messages.News) {
	if n.Whole || p.life != n.Life || p.cursor == nil { // it tells from the beginning
		p.items, p.whole = nil, n.Whole
	}
	p.life, p.at, p.more, p.cursor = n.Life, n.At, n.More, n.Cursor
	p.items = append(p.items, n.Items...)
	if p.cursor != nil {
		n.Items, n.Whole = nil, false
		return
	}
	n.Items, n.Whole, p.items = p.items, p.whole, nil
}

// goOn has a call go on behind the last answer.
func (p *parts) goOn(call *messages.PullCall) {
	call.Life, call.At, call.Cursor = p.life, p.at, p.cursor
}

// sources are how far each source that was asked has told its table, by address: who comes back to one goes on there.
type sources map[string]parts

// maxSources bounds them.
const maxSources = 64

func (s sources) keep(addr string, p *parts) {
	if _, ok := s[addr]; !ok && len(s) >= maxSources {
		clear(s)
	}
	s[addr] = parts{life: p.life, at: p.at}
}

// inForce is what stands once news is taken whose ballot is higher than what was in force. A proxy keeps no tombstones: its
// ballot alone keeps older news out. bare is the last ballot that one may have had.
func inForce(stands configuration.Set, bare configuration.Ballot, n messages.News) (configuration.Set, configuration.Ballot) {
	if n.Whole {
		stands, bare = stands.UpdatedTo(configuration.SetOf(n.Items...)), n.Chosen
	} else {
		stands = stands.With(n.Items...)
	}
	var gone []configuration.Key
	for _, i := range n.Items {
		if !i.Deleted {
			continue
		}
		if bare.Less(i.Ballot) {
			bare = i.Ballot
		}
		if now, _ := stands.Get(i.Key); now.Deleted { // and not made anew in a later part
			gone = append(gone, i.Key)
		}
	}
	return stands.Without(gone...), bare
}
