package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	recovery = 15 * time.Second
	downTime = 750 * time.Millisecond // of the closing fault
	backends = 3                      // of the service
)

// formerLife: the three backends of a service crash in turn, and each starts again with a new id. Right after a configuration was
// acknowledged all processes of the mesh are killed and come back. The last beat of each former life, sent before its crash, arrives
// seconds late. Without trouble the backends do not crash and no process is killed; the late beats arrive all the same. With
// TROUBLE=crashes the backends crash, but no process is killed.
func formerLife(rec *record, trouble bool) (string, error) {
	crashes, kill := trouble, trouble && os.Getenv("TROUBLE") != "crashes"
	m, err := newMesh(rec, 3, "ledger", "ledger", "ledger", "front")
	if err != nil {
		return "", err
	}
	defer m.end()
	if err := m.startAll(); err != nil {
		return "", err
	}
	const work = 20 * time.Millisecond
	relays, first := make([]*relay, backends), make([]*backend, backends)
	for i, x := range m.sides[:backends] {
		if relays[i], err = startRelay(x); err != nil {
			return "", err
		}
		defer relays[i].l.Close()
		if first[i], err = startBackend(x, fmt.Sprintf("i-%d-first", i), relays[i].addr(), work); err != nil {
			return "", err
		}
		defer first[i].end()
	}
	front := m.sides[backends]
	other, err := startBackend(front, "i-front", front.addr(portControl), work)
	if err != nil {
		return "", err
	}
	defer other.end()
	if err := m.configure(upsert(routeItem("r-read", 1, "idempotent", "/read/", "ledger", 1.5, 0.6, 2), serviceItem("ledger", 1), serviceItem("front", 1), limitsItem(1))); err != nil {
		return "", err
	}
	if err := m.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(contact + time.Second) // all machines are in touch

	stop := make(chan struct{})
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			q := &request{method: "GET", path: fmt.Sprintf("/read/%d", n), id: fmt.Sprintf("a-%d", n), left: 1500 * time.Millisecond}
			mu.Lock()
			all = append(all, q)
			mu.Unlock()
			wg.Go(func() { try(front, q) })
		}
	})
	time.Sleep(5 * time.Second)

	release := make(chan struct{})
	present := make([]*backend, backends)
	for i, b := range first {
		if crashes {
			close(b.stopBeat)
		}
		received := relays[i].holdNext(release)
		c, err := b.reportAndGo(b.nextReport())
		if err != nil {
			return "", fmt.Errorf("%w: %w", errSetup, err)
		}
		defer c.Close()
		<-received
		rec.say("%s has sent a beat, which the network holds", b.id)
		present[i] = b
		if !crashes {
			continue
		}
		time.Sleep(100 * time.Millisecond)
		c.Close()
		b.end()
		rec.say("%s crashes", b.id)
		time.Sleep(500 * time.Millisecond)
		if present[i], err = startBackend(m.sides[i], fmt.Sprintf("i-%d-second", i), relays[i].addr(), work); err != nil {
			return "", err
		}
		defer present[i].end()
		rec.say("the backend starts again as %s", present[i].id)
	}
	time.Sleep(200 * time.Millisecond)
	if err := m.configure(upsert(routeItem("r-read", 2, "idempotent", "/read/", "ledger", 1.4, 0.6, 2))); err != nil {
		return "", err
	}
	closing := time.Now()
	rec.say("a change is acknowledged")
	if kill {
		m.killAll()
		rec.say("all processes of the mesh are killed")
		time.Sleep(time.Until(closing.Add(downTime)))
		if err := m.startAgain(); err != nil {
			return "", err
		}
		rec.say("all processes of the mesh are started again")
	}
	back := time.Now()
	for _, b := range present { // the present lives are announced again
		for b.acknowledgedAfter(back) == 0 {
			if time.Since(back) > 4*time.Second {
				return "", fmt.Errorf("%w: no beat of %s was acknowledged", errSetup, b.id)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	rec.say("a beat of each present life is acknowledged")
	time.Sleep(300 * time.Millisecond)
	close(release)
	for i, r := range relays {
		x := <-r.arrived
		rec.say("the late beat of %s arrives, %.1f s after it was sent: %d %v", first[i].id, x.delivered.Sub(x.received).Seconds(), x.status, x.err)
	}
	time.Sleep(time.Until(back.Add(recovery + 8*time.Second)))
	close(stop)
	wg.Wait()

	var before, after share
	bySecond := map[int]*share{}
	for _, q := range all {
		at := int(q.sent.Sub(rec.start).Seconds())
		if bySecond[at] == nil {
			bySecond[at] = &share{}
		}
		bySecond[at].add(q)
		switch {
		case q.sent.Before(closing):
			before.add(q)
		case q.sent.After(back.Add(recovery)):
			after.add(q)
		}
	}
	for s := range 120 {
		if x := bySecond[s]; x != nil {
			rec.say("second %d: %d of %d requests served, the others by status: %v", s, x.served, x.sent, x.others)
		}
	}
	for _, b := range present {
		rec.say("%d beats of %s were acknowledged after the processes were back", b.acknowledgedAfter(back), b.id)
	}
	rec.say("before the closing fault %d of %d requests were served; of those sent over %v after the processes were back, %d of %d", before.served, before.sent, recovery, after.served, after.sent)
	if before.sent == 0 || after.sent == 0 || 4*before.served < before.sent {
		return "", fmt.Errorf("%w: %d of %d requests were served before", errSetup, before.served, before.sent)
	}
	if 4*after.served < after.sent {
		return fmt.Sprintf("RECOVER: %d of %d requests were served before the closing fault, %d of %d of those sent over %v after the processes were back", before.served, before.sent, after.served, after.sent, recovery), nil
	}
	return "", nil
}

// share counts requests, and those that were served.
type share struct {
	sent, served int
	others       map[int]int // by status
}

func (s *share) add(q *request) {
	s.sent++
	if q.err == nil && q.status == 200 && q.seal != "" {
		s.served++
		return
	}
	if s.others == nil {
		s.others = map[int]int{}
	}
	s.others[q.status]++
}
