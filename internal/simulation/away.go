package simulation

import "time"

// slowLink is what all from and to a slow machine takes longer, each way.
const slowLink = 15 * time.Millisecond

// awayFor has one that counts be lost in some way for a while.
func (w *World) awayFor(c *coreMachine, what string, took time.Duration) {
	over := w.trouble(what, c.name, true)
	defer over()
	switch what {
	case "kill", "wipe, kill":
		c.kill()
		if what != "kill" {
			w.must(c.wipe())
		}
		time.Sleep(took)
		w.must(c.start())
	case "power", "wipe, power":
		c.powerOff()
		if what != "power" {
			w.must(c.wipe())
		}
		time.Sleep(took)
		w.must(c.powerOn())
	case "freeze":
		c.m.Freeze(true)
		time.Sleep(took)
		c.m.Freeze(false)
	case "slow":
		w.sea.Slow(c.m, slowLink)
		time.Sleep(took)
		w.sea.Slow(c.m, 0)
	case "cut":
		w.sea.CutOff(c.m)
		time.Sleep(took)
		w.sea.JoinAgain(c.m)
	case "cut from others":
		for _, x := range w.core {
			if x != c {
				w.sea.Cut(c.m, x.m)
			}
		}
		time.Sleep(took)
		for _, x := range w.core {
			if x != c {
				w.sea.Join(c.m, x.m)
			}
		}
	}
}
