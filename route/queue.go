// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// queue holds the requests of a service that wait for room, the highest
// priority first and then in order of arrival.
type queue struct {
	waiters []*waiter
}

type waiter struct {
	want Want
	// slot takes the one slot that the waiter is given.
	slot chan *Slot
}

func (t *Table) queue(s granitehoist.Service) *queue {
	q, ok := t.queues[s]
	if !ok {
		q = &queue{}
		t.queues[s] = q
	}
	return q
}

func (q *queue) add(w Want) *waiter {
	added := &waiter{want: w, slot: make(chan *Slot, 1)}
	at := sort.Search(len(q.waiters), func(i int) bool { return q.waiters[i].want.Priority < w.Priority })
	q.waiters = append(q.waiters, nil)
	copy(q.waiters[at+1:], q.waiters[at:])
	q.waiters[at] = added
	return added
}

func (q *queue) remove(w *waiter) {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return
		}
	}
}

// serveQueue gives room to waiting requests, in order, as long as there is any.
func (t *Table) serveQueue(s granitehoist.Service, now time.Time) {
	q, ok := t.queues[s]
	if !ok {
		return
	}
	for len(q.waiters) > 0 {
		first := q.waiters[0]
		slot, _ := t.pick(first.want, now)
		if slot == nil {
			return
		}
		q.waiters = q.waiters[1:]
		first.slot <- slot
	}
}

// Waiting returns the number of a service's requests that wait.
func (t *Table) Waiting(s granitehoist.Service) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.queue(s).waiters)
}
