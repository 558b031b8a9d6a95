package peers

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"saltmast/internal/shared"
)

// View is what one agent knows of the others, as /-/peers shows it.
type View struct {
	Self     Member   `json:"self"`
	Members  []Member `json:"members"` // this one included, by name; the lost ones too, for an hour
	Alive    int      `json:"alive"`
	Sent     int64    `json:"sent_bytes"` // of counts and rights
	Received int64    `json:"received_bytes"`
	Refused  int64    `json:"refused"` // messages, states and names
}

// Member is one agent as another one knows it.
type Member struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"`
	Zone        string  `json:"zone,omitempty"`
	Addr        string  `json:"addr"`
	Alive       bool    `json:"alive"`
	Since       float64 `json:"since_s"` // that it is so
	Heard       float64 `json:"heard_s"` // since counts of it came; -1: none that are kept
}

// Shared is what one agent holds of what is shared, as /-/shared shows it.
type Shared struct {
	Agent   string           `json:"agent"`
	Turn    uint64           `json:"turn"`
	Windows []Window         `json:"windows"` // the oldest first
	Retries *shared.Standing `json:"retries,omitempty"`

	Judged   []shared.Verdict `json:"judged,omitempty"`
	Evidence []Word           `json:"evidence,omitempty"`
}

// LeftOut are the backends that it leaves out on others' word.
func (s *Shared) LeftOut() (out []string) {
	for _, v := range s.Judged {
		if v.Bad {
			out = append(out, v.Backend)
		}
	}
	return out
}

// Word is what one agent saw of a backend.
type Word struct {
	Agent   string `json:"agent"`
	Backend string `json:"backend"`
	Age     uint64 `json:"age"` // turns
	Good    uint64 `json:"good"`
	Slow    uint64 `json:"slow"`
	Bad     uint64 `json:"bad"`
}

// Window is what is known of one window of counts.
type Window struct {
	Number uint64             `json:"number"`
	Counts map[string]Counted `json:"counts"`
	Agents int                `json:"agents"` // whose counts of this window came
	Heard  float64            `json:"heard"`  // of those that count as living, the part whose counts came within two windows
}

// Counted is a tally, by name.
type Counted struct {
	Requests uint64 `json:"requests"`
	Answered uint64 `json:"answered"` // attempts, by a backend
	Retries  uint64 `json:"retries"`
	Refusals uint64 `json:"refusals"`
}

// View is what is known of the others now.
func (p *Peers) View() View {
	addr, refused := p.Addr(), p.refused.Load()
	if q := p.quay.Load(); q != nil {
		refused += int64(q.roster.Counts().Membership.Malformed)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	heard := p.value.Heard(now)
	v := View{Sent: p.sent.Load(), Received: p.got.Load(), Refused: refused,
		Self: Member{Name: p.self.Name, Incarnation: fmt.Sprintf("%x", p.self.Incarnation), Zone: p.o.Zone, Addr: addr, Alive: true, Since: now.Seconds()}}
	for name, m := range p.members {
		age := -1.0
		if h, ok := heard[m.agent]; ok {
			age = h.Seconds()
		}
		v.Members = append(v.Members, Member{Name: name, Incarnation: fmt.Sprintf("%x", m.agent.Incarnation), Zone: m.zone, Addr: m.addr.String(),
			Alive: m.alive, Since: (now - m.since).Seconds(), Heard: age})
		if m.alive {
			v.Alive++
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Shared is what is shared as it stands here now.
func (p *Peers) Shared() Shared {
	p.takeOver()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := Shared{Agent: p.self.String(), Turn: p.value.Turn(), Windows: []Window{}}
	heard := p.value.Heard(now)
	fresh, alive := 0, 0
	for _, m := range p.members {
		if !m.alive {
			continue
		}
		alive++
		if age, ok := heard[m.agent]; ok && age <= 2*time.Duration(p.o.Terms.Window)*p.o.Terms.Turn {
			fresh++
		}
	}
	for _, n := range p.value.Windows() {
		w := Window{Number: n, Counts: map[string]Counted{}, Agents: p.value.Agents(n), Heard: float64(fresh) / float64(max(1, alive))}
		for label, t := range p.value.Sum(n) {
			w.Counts[label] = Counted{t[shared.Requests], t[shared.Answered], t[shared.Retries], t[shared.Refusals]}
		}
		s.Windows = append(s.Windows, w)
	}
	s.Judged = p.verdicts
	for _, e := range p.value.Evidence() {
		s.Evidence = append(s.Evidence, Word{e.Agent.String(), e.Backend, p.value.Turn() - e.Turn, e.Seen.Good, e.Seen.Slow, e.Seen.Bad})
	}
	if p.rights != nil {
		st := p.rights.Standing(now)
		s.Retries = &st
	}
	return s
}
