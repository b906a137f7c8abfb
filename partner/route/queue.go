// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"slices"
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// queue holds the requests of a service that wait for capacity, ordered by descending
// priority and then by arrival.
type queue []*waiter

// waiter is a queued request.
type waiter struct {
	request Request
	// granted receives the slot of the request. The channel is buffered, so that
	// serveQueue does not block.
	granted chan *Slot
}

// add inserts a request behind the queued requests of the same or a higher priority.
func (q *queue) add(req Request) *waiter {
	added := &waiter{request: req, granted: make(chan *Slot, 1)}
	pos := sort.Search(len(*q), func(i int) bool { return (*q)[i].request.Priority < req.Priority })
	*q = append(*q, nil)
	copy((*q)[pos+1:], (*q)[pos:])
	(*q)[pos] = added
	return added
}

// remove deletes a waiter, if it is still queued.
func (q *queue) remove(w *waiter) {
	for i, other := range *q {
		if other == w {
			*q = append((*q)[:i], (*q)[i+1:]...)
			return
		}
	}
}

// serveQueue assigns free capacity to queued requests in order. It stops at the first
// request without an available upstream, unless that request is a retry: the upstreams
// that a retry excludes may be available to later requests in the queue. The caller
// holds mu.
func (t *Table) serveQueue(p *servicePool, now time.Time) {
	for i := 0; i < len(p.waiters); {
		w := p.waiters[i]
		// A request that can't be assigned stays queued until its deadline, whether
		// or not an upstream is eligible.
		slot, _ := t.assign(p, w.request, now)
		switch {
		case slot != nil:
			p.waiters = slices.Delete(p.waiters, i, i+1)
			w.granted <- slot
		case len(w.request.Tried) == 0:
			return
		default:
			i++
		}
	}
}

// cancelWait removes a waiter from the queue and returns an Overloaded error, or returns
// the slot if one was granted concurrently. The waiter may have moved to a successor
// of p.
func (t *Table) cancelWait(p *servicePool, w *waiter) (*Slot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case slot := <-w.granted:
		return slot, nil
	default:
	}
	p.current().waiters.remove(w)
	return nil, granitehoist.Errorf(granitehoist.Overloaded, "")
}
