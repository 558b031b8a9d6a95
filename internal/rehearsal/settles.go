package rehearsal

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"

	"saltmast/internal/grade"
	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
	"saltmast/internal/scenario"
)

// Settles is what the agents' journals say of a run, held against what the servers saw.
type Settles struct {
	Kills   int      `json:"kills"`
	Seen    int      `json:"seen"`    // requests that must not run twice and that a server saw whole
	Ran     int      `json:"ran"`     // of these
	Intents int      `json:"intents"` // attempts in the journals
	Served  int      `json:"served"`  // attempts that the journals claim to have been served
	Open    int      `json:"open"`    // handed over, no answer seen
	Never   int      `json:"never"`   // never handed over
	Wrong   []string `json:"wrong,omitempty"`
}

// Add sums two up.
func (s *Settles) Add(o *Settles) {
	s.Kills += o.Kills
	s.Seen += o.Seen
	s.Ran += o.Ran
	s.Intents += o.Intents
	s.Served += o.Served
	s.Open += o.Open
	s.Never += o.Never
	s.Wrong = append(s.Wrong, o.Wrong...)
}

func (s *Settles) String() string {
	return fmt.Sprintf("%d kills; %d settles seen by servers, %d ran; the journals hold %d attempts: %d served, %d open, %d never handed over; %d wrong",
		s.Kills, s.Seen, s.Ran, s.Intents, s.Served, s.Open, s.Never, len(s.Wrong))
}

// killAgents kills agents at random moments of the load, and starts each again at once.
func (r *run) killAgents(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.s.Seed, 0x6b696c6c))
	span := r.s.ForS / float64(r.o.Kills)
	for i := range r.o.Kills {
		if !r.until(ctx, sec(span*(float64(i)+rng.Float64()))) {
			return
		}
		a := r.agents[rng.IntN(len(r.agents))]
		if a.running() == nil {
			i := 0 // one that a fault of the scenario has down: the next
			for ; i < len(r.agents) && a.running() == nil; i++ {
				a = r.agents[i]
			}
		}
		a.kill()
		r.killed++
		if err := a.start(); err != nil {
			r.fail(err)
			return
		}
	}
}

// settles holds the journals against the record, once all agents have ended.
func (r *run) settles(events []grade.Event) (*Settles, error) {
	s := &Settles{Kills: r.killed}
	once := map[string]bool{}
	for _, c := range r.s.Classes {
		once[c.Name] = c.Effect != scenario.Safe && c.Effect != scenario.Keyed
	}
	books := make([]*requestlog.Book, len(r.agents))
	for i, a := range r.agents {
		books[i] = requestlog.NewBook(nil)
		rep, err := settleslog.Read(settleslog.Dir(a.settles), books[i])
		if err != nil {
			return nil, fmt.Errorf("journal of %s: %w", a.name, err)
		}
		for _, l := range rep.Losses { // a killed process loses nothing that it wrote
			s.Wrong = append(s.Wrong, a.name+": "+l.String())
		}
		s.Intents += books[i].Stat().Intents
	}
	s.compare(events, once, books)
	return s, nil
}

// compare holds journals against what servers saw.
func (s *Settles) compare(events []grade.Event, once map[string]bool, books []*requestlog.Book) {
	seen, ran := map[string]int{}, map[string]int{}
	var ids []string
	for _, e := range events {
		if !once[e.Class] {
			continue
		}
		switch e.Kind {
		case grade.Attempt:
			if seen[e.Request]++; seen[e.Request] == 1 {
				ids = append(ids, e.Request)
			}
		case grade.Effect:
			ran[e.Request]++
		}
	}
	s.Seen, s.Ran = len(ids), len(ran)
	attempts := map[string][]*requestlog.Attempt{}
	for _, b := range books {
		b.Each(func(f requestlog.Finding) { attempts[f.Request] = append(attempts[f.Request], f.Attempts...) })
	}
	for _, id := range ids {
		handed := 0
		for _, a := range attempts[id] {
			if a.Answer() != requestlog.NeverHanded {
				handed++
			}
		}
		if handed < seen[id] {
			s.Wrong = append(s.Wrong, fmt.Sprintf("%s: servers saw it %d times, the journals tell of %d", id, seen[id], handed))
		}
	}
	for id, list := range attempts {
		served := 0
		for _, a := range list {
			switch a.Answer() {
			case requestlog.Handed:
				s.Open++
			case requestlog.NeverHanded:
				s.Never++
			default:
				if a.Outcome.Result == requestlog.Served {
					served++
				}
			}
		}
		s.Served += served
		if served > ran[id] {
			s.Wrong = append(s.Wrong, fmt.Sprintf("%s: claimed to have been served %d times, ran %d times", id, served, ran[id]))
		}
	}
}

// settlesDir is where an agent keeps its journal.
func settlesDir(dir, agent string) string { return filepath.Join(dir, agent+"-settles") }

// perRun is how many agents one rehearsal has killed: one a second or so.
const perRun = 20

// KillSettles plays rehearsals until so many agents were killed, with seeds from the scenario's on, and holds the journals
// against what the servers saw. each hears of every run.
func KillSettles(ctx context.Context, kills int, seed uint64, play func(seed uint64, kills int) (*Result, error), each func(*Result)) (*Settles, error) {
	total := &Settles{}
	for total.Kills < kills && ctx.Err() == nil {
		res, err := play(seed, min(perRun, kills-total.Kills))
		if err != nil {
			return nil, err
		}
		if res.Partial {
			break
		}
		if res.Settles.Kills == 0 {
			return nil, fmt.Errorf("seed %d: no agent was there to be killed", seed)
		}
		total.Add(res.Settles)
		each(res)
		seed++
	}
	return total, nil
}
