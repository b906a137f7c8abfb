// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"sort"
	"time"
)

// Spared counts the choices of instances, waiting requests included, in which at least one
// instance got nothing for what it had said.
type Spared struct {
	// Leaving counts those beside instances that leave, Deferred those beside instances
	// that rest or lack a permit.
	Leaving, Deferred int64
}

// Spared returns the counts since the table was made.
func (t *Table) Spared() Spared {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.spared
}

// countSpared counts a choice. The caller holds mu.
func (t *Table) countSpared(s *selection) {
	if s.leaving > 0 {
		t.spared.Leaving++
	}
	if len(s.later) > 0 {
		t.spared.Deferred++
	}
}

// Status is the state of an instance in the table, for logs and metrics.
type Status struct {
	Instance
	// Ejected says that it is left out for failures or has lost its
	// announcement.
	Ejected bool
	// Leaving says that it is about to end, by its announcement or by an answer.
	Leaving bool
	// Resting says that it gets nothing of this router for a time that it asked for.
	Resting bool
}

// Statuses returns the instances of all services, by id.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.instances))
	for _, s := range t.instances {
		statuses = append(statuses, Status{
			Instance: s.Instance,
			Ejected:  s.ejected(now) || !s.removedAt.IsZero(),
			Leaving:  s.isLeaving(),
			Resting:  s.rest.Left(now) > 0,
		})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}
