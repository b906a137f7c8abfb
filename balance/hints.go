// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// Hint names the slow instances of a service. A router that has just started uses the
// hints of another router until it has observations of its own.
type Hint struct {
	Service granitehoist.Service `json:"service"`
	// Slow holds the slow instances, at most maxHinted.
	Slow []granitehoist.Upstream `json:"slow"`
}

// maxHinted limits the number of instances in one Hint and so the size of the message. An
// instance takes about 16 bytes; at 10,000 instances each router finds the others by
// itself.
const maxHinted = 128

// Hints returns a hint for each service that has slow instances.
func (t *Table) Hints() []Hint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var hints []Hint
	for name, s := range t.services {
		hint := Hint{Service: name}
		for _, i := range s.instances {
			if i.slow && len(hint.Slow) < maxHinted {
				hint.Slow = append(hint.Slow, i.ID)
			}
		}
		if len(hint.Slow) > 0 {
			hints = append(hints, hint)
		}
	}
	return hints
}

// ApplyHints replaces the hints for the services that hints names. A hint counts for an
// instance until this router has observed minEventGaps event gaps of the instance.
func (t *Table) ApplyHints(hints []Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hint := range hints {
		s := t.service(hint.Service)
		s.hintedSlow = slices.Clone(hint.Slow[:min(len(hint.Slow), maxHinted)])
		s.slowUpdatedAt = time.Time{}
	}
}
