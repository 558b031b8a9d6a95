package shared

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var budget = Budget{Name: "retries", Rate: 9000, Agents: 3, Static: 0.4, Lease: 5 * time.Second, Burst: 2 * time.Second}

// fleet is some holders with clocks of their own, a network that does what is drawn, and the count of what they spend.
type fleet struct {
	holders []*Holder
	offset  []time.Duration
	pace    []float64 // of each one's clock
	now     time.Duration
	way     []Message
	spent   []time.Duration // when each was spent, on a clock that nobody has
	starts  uint64
}

func (f *fleet) clock(i int) time.Duration {
	return f.offset[i] + time.Duration(float64(f.now)*f.pace[i])
}

func (f *fleet) start(i int, wrong Wrong) {
	f.starts++
	f.holders[i] = NewWrong(Agent{fmt.Sprint("n", i), f.starts}, budget, f.clock(i), wrong)
}

func newFleet(t *rapid.T, wrong Wrong) *fleet {
	f := &fleet{holders: make([]*Holder, budget.Agents)}
	for i := range f.holders {
		f.offset = append(f.offset, time.Duration(rapid.IntRange(0, 10).Draw(t, "offset"))*time.Second)
		f.pace = append(f.pace, 1+Drift*rapid.Float64Range(-0.5, 0.5).Draw(t, "pace"))
		f.start(i, wrong)
	}
	return f
}

// play does what is drawn and returns the first breach.
func (f *fleet) play(t *rapid.T, wrong Wrong) error {
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, len(f.holders)-1).Draw(t, "who")
		h := f.holders[i]
		switch rapid.SampledFrom([]string{"time", "time", "spend", "step", "step", "hear", "hear", "hear", "twice", "lose", "start"}).Draw(t, "what") {
		case "time":
			f.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
		case "spend":
			for range rapid.IntRange(1, 30).Draw(t, "n") {
				if h.Spend(f.clock(i)) {
					f.spent = append(f.spent, f.now)
				}
			}
		case "step":
			var peers []Agent
			for _, o := range f.holders {
				if rapid.Bool().Draw(t, "heard") {
					peers = append(peers, o.self)
				}
			}
			f.way = append(f.way, h.Step(f.clock(i), peers)...)
		case "hear", "twice":
			if len(f.way) == 0 {
				break
			}
			k := rapid.IntRange(0, len(f.way)-1).Draw(t, "message")
			m := f.way[k]
			if rapid.IntRange(0, 3).Draw(t, "stays") > 0 {
				f.way = append(f.way[:k], f.way[k+1:]...)
			}
			for j, o := range f.holders {
				if o.self.Name != m.To.Name {
					continue
				}
				if a, ok := o.Hear(f.clock(j), m); ok {
					f.way = append(f.way, a)
				}
			}
		case "lose":
			if len(f.way) > 0 {
				f.way = f.way[1:]
			}
		case "start":
			f.start(i, wrong)
		}
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// check adds up what all hold, and what was spent over each span that ends now.
func (f *fleet) check() error {
	held, overshoot := int64(0), 0.0
	for i, h := range f.holders {
		held += h.Held(f.clock(i))
		overshoot++
	}
	if held > budget.Rate {
		return fmt.Errorf("together they hold %d of %d", held, budget.Rate)
	}
	rate := float64(budget.Rate) / 1000
	overshoot += rate * budget.Burst.Seconds()
	for k, from := range f.spent {
		span := (f.now - from).Seconds() * (1 + Drift/2)
		if n := float64(len(f.spent) - k); n > rate*span+overshoot+1e-6 {
			return fmt.Errorf("%v spent in %.3f s at %v a second, with %v beyond", n, span, rate, overshoot)
		}
	}
	return nil
}

// Whatever is lost, repeated, late, paused (by getting no step) or started anew, all together hold at most the budget, and
// spend at most that and the stated overshoot, with clocks that are apart and drift.
func TestBudgetHoldsUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newFleet(t, Right).play(t, Right); err != nil {
			t.Fatal(err)
		}
	})
}

func two(t *testing.T) (a, b *Holder) {
	t.Helper()
	a, b = NewHolder(Agent{"a", 1}, budget, -time.Hour), NewHolder(Agent{"b", 1}, budget, -time.Hour)
	a.Left(0)
	b.Left(0)
	for range 100 {
		a.Missed()
	}
	a.stepped = -time.Second
	return a, b
}

// exchange has a ask b and takes the answer.
func exchange(t *testing.T, now time.Duration, a, b *Holder) {
	t.Helper()
	for _, m := range a.Step(now, []Agent{b.self}) {
		if g, ok := b.Hear(now, m); ok {
			a.Hear(now, g)
		}
	}
}

func TestABusyOneBorrowsWhatAQuietOneHasNoUseFor(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	if a.Held(0) != 3000+1800 || b.Held(0) != 1200 {
		t.Fatalf("%d and %d are held of 3000 each, 1800 to be lent", a.Held(0), b.Held(0))
	}
	// Its lender has gone silent: the right ends with the lease, and what it would have been lent is the lender's after that.
	end := budget.Lease
	if a.Held(end-1) != 4800 || a.Held(end) != 3000 || b.Held(end) != 1200 || b.Held(budget.held()) != 3000 {
		t.Errorf("after the lease %d and %d are held, then %d", a.Held(end), b.Held(end), b.Held(budget.held()))
	}
}

func TestWhatIsNotWantedGoesBackAtOnce(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	a.demand = 0
	exchange(t, time.Second, a, b)
	if a.Held(time.Second) != 3000 || b.Held(time.Second) != 3000 {
		t.Errorf("%d and %d are held", a.Held(time.Second), b.Held(time.Second))
	}
}

func TestARenewedRightGoesOnAndATooLateOneDoesNot(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	for s := time.Duration(1); s <= 8; s++ {
		a.wanted += 100
		exchange(t, s*time.Second, a, b)
		if a.Held(s*time.Second) != 4800 {
			t.Fatalf("after %d s %d are held", s, a.Held(s*time.Second))
		}
	}
	a.wanted += 100
	now := 10 * time.Second
	asks := a.Step(now, []Agent{b.self})
	if len(asks) != 1 {
		t.Fatalf("%v", asks)
	}
	g, ok := b.Hear(now, asks[0])
	if !ok {
		t.Fatal("not granted")
	}
	if a.Hear(now+budget.Lease, g); a.Held(now+budget.Lease) != 3000 {
		t.Errorf("a grant that came after its lease gives %d", a.Held(now+budget.Lease))
	}
}

// What it lent before it fell is not known to the one that comes after it.
func TestOneThatStartsAnewHasItsStaticPartUntilAllThatWasLentHasRunOut(t *testing.T) {
	h := NewHolder(Agent{"a", 2}, budget, 0)
	if h.Held(0) != 1200 || h.Held(budget.held()-1) != 1200 || h.Held(budget.held()) != 3000 {
		t.Errorf("%d, then %d, then %d", h.Held(0), h.Held(budget.held()-1), h.Held(budget.held()))
	}
	if _, ok := h.Hear(0, Message{Word: Ask, Budget: "retries", From: Agent{"b", 1}, To: h.self, Seq: 1, Amount: 1}); ok {
		t.Error("it lends what may be out already")
	}
}

// A process that is stopped between two looks has, when it wakes, what it holds then, and one burst of it.
func TestAPauseYieldsOneBurst(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	if n := a.Left(time.Minute); n != 6 {
		t.Errorf("%d may be spent after a minute, want two seconds of 3", n)
	}
}

func TestNonsenseMovesNoRight(t *testing.T) {
	a, b := two(t)
	ask := a.Step(0, []Agent{b.self})[0]
	for name, change := range map[string]func(*Message){
		"too much":             func(m *Message) { m.Amount = budget.Rate + 1 },
		"less than none":       func(m *Message) { m.Amount = -1 },
		"another budget":       func(m *Message) { m.Budget = "else" },
		"another incarnation":  func(m *Message) { m.To.Incarnation++ },
		"of itself":            func(m *Message) { m.From = m.To },
		"a word that is none":  func(m *Message) { m.Word = 9 },
		"a grant of no ask":    func(m *Message) { m.Word = Grant },
		"a return of no right": func(m *Message) { m.Word = Return },
	} {
		m := ask
		change(&m)
		if _, ok := b.Hear(0, m); ok || b.Held(0) != 3000 {
			t.Errorf("%s: answered, %d held", name, b.Held(0))
		}
	}
	g, _ := b.Hear(0, ask)
	if _, ok := b.Hear(0, ask); ok {
		t.Error("the same ask was granted twice")
	}
	a.Hear(0, g)
	a.Hear(0, g)
	if a.Held(0)+b.Held(0) != 6000 {
		t.Errorf("%d and %d after a grant that came twice", a.Held(0), b.Held(0))
	}
}

func TestAReturnThatComesLateEndsNoLaterRight(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	demand := a.demand
	a.demand = 0
	back := a.Step(0, []Agent{b.self})
	if len(back) != 1 || back[0].Word != Return {
		t.Fatalf("%v", back)
	}
	a.demand = demand
	exchange(t, 0, a, b)
	b.Hear(0, back[0])
	if sum := a.Held(0) + b.Held(0); sum > 6000 || a.Held(0) != 4800 {
		t.Errorf("%d and %d are held", a.Held(0), b.Held(0))
	}
}

func TestStandingShowsWhatIsLentAndBorrowed(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	if s := a.Standing(0); s.Held != 4800 || s.Borrowed["b/1"] != 1800 || s.Refused != 100 || s.Settling {
		t.Errorf("%+v", s)
	}
	if s := b.Standing(0); s.Held != 1200 || s.Lent["a/1"] != 1800 {
		t.Errorf("%+v", s)
	}
}

// More agents than the budget is divided among hold a part each: what nobody hears of, nobody can count.
func TestMoreAgentsThanAreToldHoldAPartEach(t *testing.T) {
	held := int64(0)
	for i := range 3 * budget.Agents {
		h := NewHolder(Agent{fmt.Sprint("n", i), 1}, budget, -time.Hour)
		held += h.Held(0)
	}
	if held != 3*budget.Rate {
		t.Errorf("%d held, want three times %d", held, budget.Rate)
	}
}

// What was left when it was looked at is gone when the process wakes and spends: the lease is over, and its own part is what
// counts.
func TestARightReadBeforeAPauseIsNotSpentAfterIt(t *testing.T) {
	a, b := two(t)
	exchange(t, 0, a, b)
	for a.Spend(0) {
	}
	now := 4 * time.Second // the bucket is full of what was lent
	if n := a.Left(now); n != 9 {
		t.Fatalf("%d may be spent at 4.8 a second for two seconds", n)
	}
	now += time.Minute
	n := 0
	for a.Spend(now) {
		n++
	}
	if n != 6 {
		t.Errorf("%d were spent after a pause, want its own two seconds of 3", n)
	}
}
