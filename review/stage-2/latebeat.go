package main

import (
	"fmt"
	"sync"
	"time"
)

// lateBeat: a backend leaves by DELETE, which its proxy acknowledges. The proxy is killed and comes back. One beat that the backend
// had sent before the DELETE arrives seconds late.
func lateBeat(rec *record, trouble bool) (string, error) {
	m, err := newMesh(rec, 3, "ledger", "ledger", "ledger", "ledger", "front", "front", "front")
	if err != nil {
		return "", err
	}
	defer m.end()
	if err := m.startAll(); err != nil {
		return "", err
	}
	const work = 400 * time.Millisecond
	var backends []*backend
	for i, x := range m.sides {
		b, err := startBackend(x, fmt.Sprintf("i-%d", i), work)
		if err != nil {
			return "", err
		}
		defer b.end()
		backends = append(backends, b)
	}
	if err := m.configure(upsert(routeItem("r-pay", 1, "deduplicated", "/pay/", "ledger", 4, 2, 2), serviceItem("ledger", 1), serviceItem("front", 1), limitsItem(1))); err != nil {
		return "", err
	}
	if err := m.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(contact + time.Second) // all machines are in touch

	leaving, proxy, fronts := backends[0], m.sides[0], m.sides[4:]
	stop := make(chan struct{})
	var mu sync.Mutex
	var all []*request
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			q := &request{method: "POST", path: fmt.Sprintf("/pay/%d", n), id: fmt.Sprintf("a-%d", n), key: fmt.Sprintf("k-%d", n), left: 3 * time.Second}
			mu.Lock()
			all = append(all, q)
			mu.Unlock()
			wg.Go(func() { try(fronts[n%len(fronts)], q) })
		}
	})
	time.Sleep(2 * time.Second)

	close(leaving.stopBeat) // it beats no more: the last beat is on its way for two seconds
	late := leaving.nextReport()
	sent := time.Now()
	rec.say("the backend on %s sends beat %d (serving), which will arrive late", proxy.name, leaving.count)
	time.Sleep(200 * time.Millisecond)
	if !leaving.leave() {
		return "", errNotAcknowledged
	}
	acknowledged := time.Now()
	rec.say("DELETE of %s is acknowledged", leaving.id)
	var restarted time.Time
	if trouble {
		time.Sleep(300 * time.Millisecond)
		proxy.kill("tug")
		rec.say("the proxy on %s is killed", proxy.name)
		time.Sleep(300 * time.Millisecond)
		if err := proxy.start("tug", false); err != nil {
			return "", err
		}
		restarted = time.Now()
		rec.say("the proxy on %s is started again", proxy.name)
	}
	time.Sleep(time.Until(sent.Add(2 * time.Second)))
	rec.say("the late beat arrives: acknowledged %v", leaving.report(late))
	time.Sleep(time.Until(acknowledged.Add(6 * time.Second)))
	leaving.end()
	ended := time.Now()
	rec.say("the backend %s ends, %.1f s after the acknowledgement", leaving.id, ended.Sub(acknowledged).Seconds())
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()

	inTouch := acknowledged
	if trouble {
		inTouch = restarted.Add(contact + 200*time.Millisecond) // the proxy beside the backend is in touch again
	}
	tooLate, lost := 0, 0
	byID := map[string]*request{}
	for _, q := range all {
		byID[q.id] = q
	}
	for _, a := range leaving.seen() {
		if a.at.Before(acknowledged) {
			continue
		}
		after := a.at.Sub(acknowledged)
		q := byID[a.id]
		rec.say("%s (key %s) reaches %s %.3f s after the acknowledgement; answered %v, status %d %v", a.id, a.key, a.instance, after.Seconds(), a.ended, q.status, q.err)
		if after > drain && a.at.After(inTouch) {
			tooLate++
			if q.status/100 != 2 {
				lost++
			}
		}
	}
	served := 0
	for _, q := range all {
		if q.status == 200 {
			served++
		} else {
			rec.say("%s: sent at %.3f, status %d, %v", q.id, q.sent.Sub(rec.start).Seconds(), q.status, q.err)
		}
	}
	rec.say("%d of %d requests were answered with 200", served, len(all))
	if tooLate > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached the backend later than %v after the acknowledgement, with all machines in touch; %d of them ran and were lost with it", tooLate, drain, lost), nil
	}
	return "", nil
}
