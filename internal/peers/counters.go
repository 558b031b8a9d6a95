package peers

import (
	"sync"
	"sync/atomic"

	"saltmast/internal/shared"
)

// counters are what the loop counts, by class, until it is taken over: no lock is on its path.
type counters struct {
	classes atomic.Pointer[[]generation] // the newest last

	mu    sync.Mutex // orders Name and drain
	names []string
	all   map[string]*counter
}

// generation is the counters of one generation of settings, by number of class.
type generation struct {
	number uint64
	byNo   []*counter
}

type counter [shared.Kinds]atomic.Uint64

// generationsKept is how many generations may have requests on their way; older ones count as others.
const generationsKept = 9

// Name tells the classes of a generation of settings, by number, before the first request of it.
func (p *Peers) Name(number uint64, classes []string) {
	c := &p.counters
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[string]*counter{}
	}
	g := generation{number: number}
	for _, name := range classes {
		if len(name) > shared.LabelBytes {
			name = name[:shared.LabelBytes]
		}
		g.byNo = append(g.byNo, c.of(name))
	}
	c.of(shared.Others)
	var gs []generation
	if old := c.classes.Load(); old != nil {
		gs = *old
	}
	gs = append(gs[max(0, len(gs)-generationsKept+1):len(gs):len(gs)], g)
	c.classes.Store(&gs)
}

// of is the counter of a label. The lock is held.
func (c *counters) of(label string) *counter {
	n := c.all[label]
	if n == nil {
		n = &counter{}
		c.all[label] = n
		c.names = append(c.names, label)
	}
	return n
}

// Count counts one of a kind for a class of a generation. It takes no lock.
func (p *Peers) Count(number uint64, class int, k shared.Kind) {
	gs := p.counters.classes.Load()
	if gs == nil {
		return
	}
	for i := len(*gs) - 1; i >= 0; i-- {
		if g := &(*gs)[i]; g.number == number && class < len(g.byNo) {
			g.byNo[class][k].Add(1)
			return
		}
	}
}

// drain hands over what was counted since.
func (c *counters) drain(to func(label string, t shared.Tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range c.names {
		var t shared.Tally
		for k := range t {
			t[k] = c.all[name][k].Swap(0)
		}
		if t != (shared.Tally{}) {
			to(name, t)
		}
	}
}
