package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	recovery = 15 * time.Second
	downTime = 750 * time.Millisecond // of the closing fault
)

// formerLife: the backend of a service crashes and starts again with a new id. Right after a configuration was acknowledged all
// processes of the mesh are killed and come back. A beat of the backend's former life arrives seconds late.
func formerLife(rec *record, trouble bool) (string, error) {
	m, err := newMesh(rec, 3, "ledger", "front")
	if err != nil {
		return "", err
	}
	defer m.end()
	if err := m.startAll(); err != nil {
		return "", err
	}
	ledger, front := m.sides[0], m.sides[1]
	first, err := startBackend(ledger, "i-first", 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	defer first.end()
	other, err := startBackend(front, "i-front", 20*time.Millisecond)
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

	close(first.stopBeat)
	late := first.nextReport()
	sent := time.Now()
	rec.say("%s sends beat %d, which will arrive late", first.id, first.count)
	time.Sleep(100 * time.Millisecond)
	first.end()
	rec.say("%s crashes", first.id)
	time.Sleep(600 * time.Millisecond)
	second, err := startBackend(ledger, "i-second", 20*time.Millisecond)
	if err != nil {
		return "", err
	}
	defer second.end()
	rec.say("the backend starts again as %s", second.id)
	time.Sleep(200 * time.Millisecond)
	if err := m.configure(upsert(routeItem("r-read", 2, "idempotent", "/read/", "ledger", 1.4, 0.6, 2))); err != nil {
		return "", err
	}
	closing := time.Now()
	rec.say("a change is acknowledged")
	if trouble {
		m.killAll()
		rec.say("all processes of the mesh are killed")
		time.Sleep(time.Until(closing.Add(downTime)))
		if err := m.startAgain(); err != nil {
			return "", err
		}
		rec.say("all processes of the mesh are started again")
	}
	back := time.Now()
	for n := second.acknowledgedAfter(back); n == 0; n = second.acknowledgedAfter(back) { // the present life is announced again
		if time.Since(back) > 4*time.Second {
			return "", fmt.Errorf("%w: no beat of %s was acknowledged", errSetup, second.id)
		}
		time.Sleep(10 * time.Millisecond)
	}
	rec.say("a beat of %s is acknowledged", second.id)
	time.Sleep(400 * time.Millisecond)
	rec.say("the late beat of %s arrives after %.1f s: acknowledged %v", first.id, time.Since(sent).Seconds(), first.report(late))
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
			rec.say("second %d: %d of %d requests served, the others: %v", s, x.served, x.sent, x.others)
		}
	}
	rec.say("%d beats of %s were acknowledged after the processes were back", second.acknowledgedAfter(back), second.id)
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
