// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"slices"
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

// serveQueue gives room to waiting requests, in order. It ends at the first that
// gets none, since those behind it would get none either, unless that one is a
// retry: upstreams that it has tried may have room for the others.
func (t *Table) serveQueue(p *servicePool, now time.Time) {
	for at := 0; at < len(p.waiters); {
		w := p.waiters[at]
		// Whether the waiter could get room at another time doesn't matter here: it
		// waits until its deadline.
		slot, _ := t.assign(p, w.want, now)
		switch {
		case slot != nil:
			p.waiters = slices.Delete(p.waiters, at, at+1)
			w.slot <- slot
		case len(w.want.Tried) == 0:
			return
		default:
			at++
		}
	}
}

// abandonWait ends a wait, or returns the slot if one was given at the same moment.
// A newer pool may hold the wait than the one in which it began.
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
