package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	drain   = 2500 * time.Millisecond
	contact = 3 * time.Second
)

// lateBeat has a backend leave by DELETE and serve on. The tug beside it is killed just after its acknowledgement and is started
// again; once it is in touch again, a beat arrives that the backend had sent before its DELETE.
func lateBeat(rec *Record, trouble bool) (broken bool, err error) {
	m, err := newMesh(rec, 3, "ledger", "ledger", "ledger", "ledger", "ledger", "ledger", "ledger") // one of seven is within the share of 0.16
	if err != nil {
		return false, err
	}
	defer m.end()
	if err := m.start(); err != nil {
		return false, err
	}
	work := func(string) time.Duration { return 400 * time.Millisecond }
	var backends []*Backend
	for _, x := range m.Sides {
		b, err := newBackend(x, work)
		if err != nil {
			return false, err
		}
		defer b.end()
		go b.beats()
		backends = append(backends, b)
	}
	end := time.Now().Add(20 * time.Second)
	if err := m.orderUntil(end, service("ledger", 1), route("lookup", 1, "idempotent", "/lookup/", "ledger", 1.5, 0.6),
		route("topup", 1, "mutating", "/topup/", "ledger", 2, 0.8)); err != nil {
		return false, err
	}
	if err := m.awaitReady(end, m.Sides...); err != nil {
		return false, err
	}
	time.Sleep(contact + 500*time.Millisecond)

	// Clients of the other machines send requests all the time.
	var served, failed, sent atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 48 {
		x := m.Sides[1+c%6]
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				n := sent.Add(1)
				method, path := "GET", "/lookup/a"
				if n%2 == 0 {
					method, path = "POST", "/topup/a"
				}
				if a := try(x, method, path, fmt.Sprintf("a%06d", n), "", 1500*time.Millisecond); a.Status == 200 {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	leaver, tug := backends[0], m.Sides[0].Procs["tug"]
	time.Sleep(2 * time.Second)
	close(leaver.stop)
	<-leaver.halted
	late := leaver.calls.Add(1)
	rec.Note("backend %s sends beat %d (serving), which will come late", leaver.Instance, late)
	if status := leaver.leave(); status != 200 {
		return false, fmt.Errorf("DELETE was answered with %d", status)
	}
	acked := time.Now()
	rec.Note("acknowledged: %s is gone", leaver.Instance)
	if trouble {
		tug.Signal(syscall.SIGKILL)
		<-tug.ended
		time.Sleep(300 * time.Millisecond)
		if err := tug.Start(false); err != nil {
			return false, err
		}
		if err := m.awaitReady(time.Now().Add(10*time.Second), m.Sides[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + 200*time.Millisecond)
	inTouch := time.Now() // of all machines, from here on
	leaver.beat(late, "serving")
	time.Sleep(4 * time.Second)
	leaver.end()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	after := 0
	for _, r := range leaver.runs() {
		if r.At.Sub(acked) > drain && r.At.After(inTouch) {
			after++
		}
	}
	rec.Note("%d requests sent, %d served, %d not; %s ran %d requests, %d of them later than drain-s after the acknowledgement that it is gone",
		sent.Load(), served.Load(), failed.Load(), leaver.Instance, len(leaver.runs()), after)
	if served.Load() == 0 || len(leaver.runs()) == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return after > 0, nil
}
