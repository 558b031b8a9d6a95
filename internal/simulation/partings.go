package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"saltmast/internal/faultschedule"
)

// partings are the kinds of this file.
var partings = []Day{
	{Name: "two-parts", Floor: 0.5, Length: 52 * time.Second, Rate: 5, Keys: 0.4, Again: 2 * time.Second, Size: Size{Core: 3, Voters: 3, Sides: 6}, Events: twoParts},
	{Name: "two-parts-five", Floor: 0.5, Length: 52 * time.Second, Rate: 2.5, Keys: 0.4, Again: 2 * time.Second, Size: Size{Core: 5, Voters: 5, Sides: 12}, Events: twoParts},
}

func init() { Days = append(Days, partings...) }

// twoParts cuts the core in two in each way, with orders all the time.
func twoParts(w *World, op *operator) {
	r := op.r
	w.until(6 * time.Second) // the roll has grown by then
	p := &almanacPlay{w: w, f: w.office(4), busy: map[*tugMachine]bool{}, cores: map[*coreMachine]bool{}}
	defer p.f.close()
	wait := p.f.work(44*time.Second, time.Second, 0.1)
	ways := []string{"behind", "split", "relieve"}
	r.Shuffle(len(ways), func(i, j int) { ways[i], ways[j] = ways[j], ways[i] })
	for i, way := range ways {
		e := faultschedule.Entry{Kind: "core_cut", How: way + []string{"", " meet", " race", " drain"}[r.IntN(4)], For: 1.5 + 2*r.Float64(), Count: 1 + r.IntN(2)}
		if w.leaves(fmt.Sprint("part ", i), e.How) {
			continue
		}
		if back := p.borne(w.size.bears()); back != nil {
			w.note("two-parts")(e.Kind, fmt.Sprintf("%+v", e))
			p.part(e, r)
			back()
		}
	}
	wait()
	p.wg.Wait()
}

// part cuts the core in two, in one of three ways. behind: a minority misses changes; then one of the others loses its disk, the rest are
// dark, and the minority and the empty one are joined while they are. split: halves, or nearly. relieve: a minority misses changes, and
// the processes of all others are killed just after it is back.
func (p *almanacPlay) part(e faultschedule.Entry, r *rand.Rand) {
	w, last := p.w, seconds(e.For)
	has := func(word string) bool { return strings.Contains(e.How, word) }
	all := p.whom(e, r, len(w.core))
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range all {
			delete(p.cores, c)
		}
	}()
	if len(all) < len(w.core) { // something else is done to one of them
		return
	}
	n := min(max(1, e.Count), w.size.bears())
	if has("split") {
		n = len(all) / 2
	}
	near, far := all[:n], all[n:]
	var joined []func()
	for _, a := range near {
		joined = append(joined, w.trouble("cut from others", a.name, true))
		for _, b := range far {
			w.sea.Cut(a.m, b.m)
		}
	}
	join := func() {
		for _, a := range near {
			for _, b := range far {
				w.sea.Join(a.m, b.m)
			}
		}
		for _, over := range joined {
			over()
		}
	}
	w.pause(last / 2)
	if has("meet") || has("race") {
		p.follows(faultschedule.Entry{How: e.How}, r, near[0])
	}
	w.pause(last / 2)
	switch {
	case has("behind"):
		var back sync.WaitGroup
		for i, c := range far[1:] {
			what := "power"
			if i+1 < w.flaw.Wipes {
				what = "wipe, power"
			}
			back.Go(func() { w.awayFor(c, what, last) })
		}
		lost := w.trouble("wipe, power", far[0].name, true) // until the others are back it can't make up for its disk
		far[0].powerOff()
		w.must(far[0].wipe())
		w.pause(time.Duration(r.IntN(400)) * time.Millisecond)
		join()
		w.must(far[0].powerOn())
		back.Wait()
		lost()
	case has("relieve"):
		join()
		w.pause(time.Duration(r.IntN(60)) * time.Millisecond)
		var back sync.WaitGroup
		for _, c := range far {
			back.Go(func() { w.awayFor(c, "kill", 300*time.Millisecond) })
		}
		back.Wait()
	default:
		join()
	}
	p.follows(e, r, near[0])
}
