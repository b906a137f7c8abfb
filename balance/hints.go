// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// Hint is what a router tells one that has just started of a service's instances, so
// that the new one does not send heavy prompts to slow ones. A router that gets none
// finds out by itself.
type Hint struct {
	Service granitehoist.Service `json:"service"`
	// Slow holds the instances that are slow, maxHinted at most.
	Slow []granitehoist.Upstream `json:"slow"`
}

// maxHinted bounds the instances of one Hint, 16 bytes or so each: at 10,000 instances the
// slow ones beyond it are found out by each router itself. Above a third of the 140
// instances of the users' largest site.
const maxHinted = 128

// Hints returns what this router knows of the services that have slow instances.
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

// NoteHints takes the hints of another router for instances that this one has not
// observed enough itself.
func (t *Table) NoteHints(hints []Hint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hint := range hints {
		s := t.service(hint.Service)
		s.hintedSlow = slices.Clone(hint.Slow[:min(len(hint.Slow), maxHinted)])
		s.slowAt = time.Time{}
	}
}
