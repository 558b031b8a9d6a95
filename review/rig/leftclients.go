package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	leftWork   = 620 * time.Millisecond // of each run: a place is free again after that
	leftLate   = 500 * time.Millisecond
	leftFew    = 3       // requests that may reach a backend late
	leftBody   = 100_000 // bytes
	leftRounds = 10
)

// leftClients has clients leave while their requests wait for a place at a busy backend.
func leftClients(rec *Record, trouble bool) (broken bool, err error) {
	m, err := newMesh(rec, 3, "dispense", "ledger")
	if err != nil {
		return false, err
	}
	defer m.end()
	if err := m.start(); err != nil {
		return false, err
	}
	b, err := newBackend(m.Sides[0], func(string) time.Duration { return leftWork })
	if err != nil {
		return false, err
	}
	defer b.end()
	go b.beats()
	end := time.Now().Add(20 * time.Second)
	if err := m.orderUntil(end, service("dispense", 1), route("settle", 1, "mutating", "/settle/", "dispense", 5, 2)); err != nil {
		return false, err
	}
	if err := m.awaitReady(end, m.Sides...); err != nil {
		return false, err
	}
	time.Sleep(contact + 500*time.Millisecond)
	closed := map[string]time.Time{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var served, busy int
	count := func(n *int, a Answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.Status == 200 {
			*n++
		}
	}
	x := m.Sides[1]
	for round := range leftRounds {
		for i := range b.Capacity { // these take all places
			wg.Go(func() {
				count(&busy, try(x, "POST", "/settle/a", fmt.Sprintf("f%02d%02d", round, i), "", 5*time.Second))
			})
		}
		time.Sleep(20 * time.Millisecond)
		for i := range 6 {
			wg.Go(func() {
				id := fmt.Sprintf("c%02d%02d", round, i)
				if !trouble {
					a := exchange(x, "POST", "/settle/a", id, "", 5*time.Second, make([]byte, leftBody))
					rec.Note("client %s: status %d", id, a.Status)
					count(&served, a)
					return
				}
				c, err := net.DialTimeout("tcp4", x.Addr(outbound), time.Second)
				if err != nil {
					return
				}
				io.WriteString(c, fmt.Sprintf("POST /settle/a HTTP/1.1\r\nHost: %s\r\nVioletlatch-Attempt-Id: %s\r\nVioletlatch-Deadline-Remaining: 5000\r\nContent-Length: %d\r\n\r\n", host, id, leftBody))
				c.Write(make([]byte, leftBody))
				time.Sleep(10 * time.Millisecond)
				c.Close()
				mu.Lock()
				closed[id] = time.Now()
				mu.Unlock()
				rec.Note("client %s has sent its request and left", id)
			})
		}
		time.Sleep(2 * time.Second)
	}
	wg.Wait()
	late, after := 0, 0
	for _, r := range b.runs() {
		if t, ok := closed[r.ID]; ok && r.At.After(t) {
			after++
			if r.At.Sub(t) > leftLate {
				late++
			}
		}
	}
	rec.Note("%d other requests served, %d clients left, %d of their requests reached the backend after that, %d over half a second later; %d served where they stayed", busy, len(closed), after, late, served)
	if busy == 0 || trouble && len(closed) == 0 || !trouble && served == 0 {
		return false, fmt.Errorf("nothing was served, or nobody left")
	}
	return late > leftFew, nil
}
