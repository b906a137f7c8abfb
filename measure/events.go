// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"container/heap"
	"time"
)

// timeline runs events in the order of their times, and those of one time in
// the order in which they were entered.
type timeline struct {
	now   time.Time
	queue eventQueue
	count int
}

type event struct {
	at    time.Time
	order int
	do    func()
}

// newTimeline returns a timeline that begins at a fixed moment.
func newTimeline() *timeline {
	return &timeline{now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)}
}

// after enters an event.
func (t *timeline) after(d time.Duration, do func()) {
	t.count++
	heap.Push(&t.queue, event{at: t.now.Add(d), order: t.count, do: do})
}

// run runs the events up to a moment.
func (t *timeline) run(until time.Time) {
	for len(t.queue) > 0 && !t.queue[0].at.After(until) {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	t.now = until
}

type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
