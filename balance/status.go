// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"sort"
	"time"
)

// Status is the state of an instance in the table, for logs and metrics.
type Status struct {
	Instance
	// InFlight is the number of this router's attempts in progress there.
	InFlight int
	// FailureRate is the mean of failures of its attempts, from 0 to 1.
	FailureRate float64
	// Ejected says that it is left out for failures or has lost its
	// announcement.
	Ejected bool
}

// Statuses returns the instances of all services, by id.
func (t *Table) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.instances))
	for _, s := range t.instances {
		statuses = append(statuses, Status{
			Instance:    s.Instance,
			InFlight:    s.inFlight,
			FailureRate: s.failureRate,
			Ejected:     s.ejected(now) || !s.removedAt.IsZero(),
		})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].ID < statuses[j].ID })
	return statuses
}
