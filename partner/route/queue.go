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
type queue []*waiter

type waiter struct {
	want Want
	// slot takes the one slot that the waiter is given.
	slot chan *Slot
}

func (q *queue) add(w Want) *waiter {
	added := &waiter{want: w, slot: make(chan *Slot, 1)}
	at := sort.Search(len(*q), func(i int) bool { return (*q)[i].want.Priority < w.Priority })
	*q = append(*q, nil)
	copy((*q)[at+1:], (*q)[at:])
	(*q)[at] = added
	return added
}

func (q *queue) remove(w *waiter) {
	for i, other := range *q {
		if other == w {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return
		}
	}
}

// serveQueue gives room to waiting requests, in order, as long as there is any.
func (t *Table) serveQueue(p *servicePool, now time.Time) {
	for len(p.waiters) > 0 {
		first := p.waiters[0]
		// Whether room is possible at all doesn't matter: a waiter that no upstream
		// can serve waits until its deadline, as the ones behind it do.
		slot, _ := t.assign(p, first.want, now)
		if slot == nil {
			return
		}
		p.waiters = p.waiters[1:]
		first.slot <- slot
	}
}

// abandonWait ends a wait. A slot that was given at the same moment is taken. The
// wait may have passed on to a later pool than the one in which it began.
func (t *Table) abandonWait(p *servicePool, w *waiter) (*Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case slot := <-w.slot:
		return slot, nil
	default:
	}
	p.current().waiters.remove(w)
	return nil, granitehoist.Errorf(granitehoist.Overloaded, "")
}
