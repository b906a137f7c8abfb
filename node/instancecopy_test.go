// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

func expectChange(t *testing.T, after balance.Instance, heartbeat, logged bool) {
	t.Helper()
	before := balance.Instance{ID: "i-1", Service: "pool", Address: "10.0.0.1:80", Version: 4}
	if got := isHeartbeat(before, after); got != heartbeat {
		t.Fatalf("%+v is heartbeat %v, not %v", after, got, heartbeat)
	}
	if got := shouldLogInstance(before, after); got != logged {
		t.Fatalf("%+v is logged %v, not %v", after, got, logged)
	}
}

// TestInstanceRules guards against heartbeats that are passed on, changes that are not,
// and removals without a deletion.
func TestInstanceRules(t *testing.T) {
	same := balance.Instance{ID: "i-1", Service: "pool", Address: "10.0.0.1:80", Version: 9}
	t.Run("a heartbeat", func(t *testing.T) { expectChange(t, same, true, false) })
	t.Run("new zone", func(t *testing.T) {
		changed := same
		changed.Zone = "hall"
		expectChange(t, changed, false, false)
	})
	t.Run("starts to drain", func(t *testing.T) {
		changed := same
		changed.Draining = true
		expectChange(t, changed, false, true)
	})
	t.Run("new address", func(t *testing.T) {
		changed := same
		changed.Address = "10.0.0.2:80"
		expectChange(t, changed, false, true)
	})
	t.Run("only a deletion removes", func(t *testing.T) {
		if isInstanceRemoval(granitehoist.Entry{Key: "servers/i-1", Version: 9}) || !isInstanceRemoval(granitehoist.Entry{Key: "servers/i-1", Version: 9, Deleted: true}) {
			t.Fatal("only a deletion may remove an instance")
		}
	})
}
