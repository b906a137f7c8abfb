// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Evacuate excludes the instances of a zone from all attempts, including retries and
// resumed streams, until Restore. Attempts in progress continue. It reports whether the
// zone was not evacuated before.
func (t *Table) Evacuate(zone granitehoist.AvailabilityZone) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuated[zone] {
		return false
	}
	t.evacuated[zone] = true
	return true
}

// Restore ends the evacuation of a zone, and reports whether the zone was evacuated. The
// zone's instances then count as cold for at least coldAfterRestore.
func (t *Table) Restore(zone granitehoist.AvailabilityZone, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.evacuated[zone] {
		return false
	}
	delete(t.evacuated, zone)
	until := now.Add(coldAfterRestore)
	for _, s := range t.instances {
		if s.Zone == zone && s.coldUntil.Before(until) {
			s.coldUntil = until
		}
	}
	return true
}
