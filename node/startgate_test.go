// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "testing"

// TestStartGate checks what opens the gate of a node that starts.
func TestStartGate(t *testing.T) {
	expect := func(t *testing.T, g *startGate, open bool) {
		t.Helper()
		if g.isOpen() != open {
			t.Errorf("open is %v, not %v", g.isOpen(), open)
		}
	}
	t.Run("at the first start of the fleet there is nothing to read", func(t *testing.T) {
		expect(t, newStartGate(evidenceSources(true)), true)
	})
	t.Run("both sources have to be read", func(t *testing.T) {
		g := newStartGate(evidenceSources(false))
		expect(t, g, false)
		g.sourceRead()
		expect(t, g, false)
		g.sourceRead()
		expect(t, g, true)
	})
	t.Run("its time opens it as well, and a source that is read later changes nothing", func(t *testing.T) {
		g := newStartGate(evidenceSources(false))
		g.open()
		expect(t, g, true)
		g.sourceRead()
		g.sourceRead()
		expect(t, g, true)
	})
}
