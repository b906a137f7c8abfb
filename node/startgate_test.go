// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import "testing"

// TestStartGate guards against a gate that opens before all evidence is read, or never.
func TestStartGate(t *testing.T) {
	expect := func(t *testing.T, g *startGate, open bool) {
		t.Helper()
		if g.isOpen() != open {
			t.Errorf("open is %v, not %v", g.isOpen(), open)
		}
	}
	t.Run("open at the first start of the fleet", func(t *testing.T) {
		expect(t, newStartGate(evidenceSources(true)), true)
	})
	t.Run("open after all three sources are read", func(t *testing.T) {
		g := newStartGate(evidenceSources(false))
		expect(t, g, false)
		g.sourceRead()
		expect(t, g, false)
		g.sourceRead()
		expect(t, g, false)
		g.sourceRead()
		expect(t, g, true)
	})
	t.Run("open after the timeout, whatever is read later", func(t *testing.T) {
		g := newStartGate(evidenceSources(false))
		g.open()
		expect(t, g, true)
		g.sourceRead()
		g.sourceRead()
		expect(t, g, true)
	})
}
