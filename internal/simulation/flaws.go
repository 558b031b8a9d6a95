package simulation

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/simulation/checker"
)

// What flawed worlds are made of, where settings are not enough.

// copied is what a disk held at a time of the day, by the names of its files.
type copied struct {
	at    time.Duration
	files map[string][]byte
}

// keep copies what is on disk ahead of a commit, for a world whose disks answer before they have kept (Flaw.Early). The hold's
// goroutine calls it: nothing else writes there meanwhile.
func (c *coreMachine) keep() {
	early, now := c.w.flaw.Early, c.w.now()
	if early == 0 || len(c.kept) > 0 && now-c.kept[len(c.kept)-1].at < early/8 {
		return
	}
	for len(c.kept) > 0 && c.kept[0].at <= now-early {
		c.kept = c.kept[1:]
	}
	c.kept = append(c.kept, c.copy())
}

// copy is what is on disk now. Nothing may write there meanwhile.
func (c *coreMachine) copy() copied {
	k := copied{c.w.now(), map[string][]byte{}}
	found, err := os.ReadDir(c.dir)
	c.w.must(err)
	for _, f := range found {
		b, err := os.ReadFile(filepath.Join(c.dir, f.Name()))
		c.w.must(err)
		k.files[f.Name()] = b
	}
	return k
}

// put has the disk hold a copy and nothing else, with its purser gone.
func (c *coreMachine) put(k copied) {
	c.w.must(os.RemoveAll(c.dir))
	c.w.must(os.MkdirAll(c.dir, 0o700))
	for name, b := range k.files {
		c.w.must(os.WriteFile(filepath.Join(c.dir, name), b, 0o600))
	}
}

// oldCopy puts an older copy of a member's disk in its place: it has forgotten the keys that it granted with one other, while
// the third was down, and all that was changed.
func oldCopy(w *World, op *operator) {
	at := op.r.IntN(3)
	old, down := w.core[at], w.core[(at+1+op.r.IntN(2))%3]
	change := func(version int) {
		op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{[]string{"ledger", "pump"}[version%2]} }).item(version)}}, op.r.IntN(3), 6*time.Second)
	}
	w.until(3 * time.Second)
	over := w.trouble("kill", old.name, true)
	old.killPurser()
	<-old.gone
	k := old.copy()
	w.must(old.start())
	over()
	w.pause(time.Second)
	over = w.trouble("kill", down.name, true)
	down.kill()
	w.pause(1500 * time.Millisecond)
	change(7)
	w.must(down.start())
	over()
	w.pause(4 * time.Second) // until then two would be lost at once
	change(8)
	over = w.trouble("old disk, kill", old.name, true)
	old.kill()
	<-old.gone
	old.put(k)
	w.must(old.start())
	over()
	w.pause(300 * time.Millisecond)
	change(9)
}

// lose takes off the disk what it was to keep in the last moments before at, with its purser gone.
func (c *coreMachine) lose(at time.Duration) {
	all := c.kept
	c.kept = nil
	for _, k := range all {
		if k.at <= at-c.w.flaw.Early {
			continue
		}
		c.put(k)
		return
	}
}

// giveBack has the members give back the claim of a key, whoever holds it.
func (m *tugMachine) giveBack(key string) {
	for _, core := range m.w.core {
		c := rpc.NewClient(m.crowd(), net.JoinHostPort(core.m.IP, strconv.Itoa(firstFree+messages.StorePort)))
		var g idempotency.Grant
		mine := idempotency.ID{Incarnation: 1, N: 1, Addr: "nowhere"}
		if c.Call(messages.Claim, messages.ClaimCall{Key: key, ID: mine, Epoch: 1}, &g, time.Second) == nil {
			id := g.Holder
			if g.Granted {
				id = mine
			}
			c.Call(messages.Release, messages.ReleaseCall{Key: key, ID: id}, nil, time.Second)
		}
		c.Close()
	}
}

// cutWipe cuts a core machine off with an operator at it, and takes its disk before it is back.
func cutWipe(w *World, op *operator) { cutAndWipe(w, op, w.core[op.r.IntN(3)]) }

func cutAndWipe(w *World, op *operator, c *coreMachine) {
	w.middle(op.r)
	over := w.trouble("cut, wipe, kill", c.name, true)
	w.sea.CutOff(c.m)
	w.sea.Join(c.m, op.m)
	w.pause(time.Duration(op.r.IntN(400)) * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, c.n, 6*time.Second)
	c.kill()
	w.must(c.wipe())
	w.pause(time.Duration(op.r.IntN(1500)) * time.Millisecond)
	w.sea.Cut(c.m, op.m)
	w.sea.JoinAgain(c.m)
	w.must(c.start())
	over()
}
