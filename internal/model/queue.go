package model

import "time"

// event is something that happens at a time; of two at one time the one that was set first comes first.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// queue is a binary heap of events, kept by value: container/heap would box each one.
type queue struct {
	heap []event
	seq  uint64
}

func (q *queue) before(i, j int) bool {
	a, b := &q.heap[i], &q.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (q *queue) push(at time.Duration, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	for i := len(q.heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !q.before(i, up) {
			break
		}
		q.heap[i], q.heap[up] = q.heap[up], q.heap[i]
		i = up
	}
}

func (q *queue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < last && q.before(c, least) {
				least = c
			}
		}
		if least == i {
			return top
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
