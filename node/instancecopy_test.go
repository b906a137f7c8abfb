// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"testing"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

func expectChange(t *testing.T, after balance.Instance, repeats, news bool) {
	t.Helper()
	before := balance.Instance{ID: "i-1", Service: "pool", Address: "10.0.0.1:80", Version: 4}
	if got := isHeartbeat(before, after); got != repeats {
		t.Fatalf("%+v repeats %v, not %v", after, got, repeats)
	}
	if got := shouldLogInstance(before, after); got != news {
		t.Fatalf("%+v is news %v, not %v", after, got, news)
	}
}

// TestInstanceRules checks what an entry says of an instance.
func TestInstanceRules(t *testing.T) {
	same := balance.Instance{ID: "i-1", Service: "pool", Address: "10.0.0.1:80", Version: 9}
	t.Run("a heartbeat", func(t *testing.T) { expectChange(t, same, true, false) })
	t.Run("another zone", func(t *testing.T) {
		changed := same
		changed.Zone = "hall"
		expectChange(t, changed, false, false)
	})
	t.Run("begins to drain", func(t *testing.T) {
		changed := same
		changed.Draining = true
		expectChange(t, changed, false, true)
	})
	t.Run("moved", func(t *testing.T) {
		changed := same
		changed.Address = "10.0.0.2:80"
		expectChange(t, changed, false, true)
	})
	t.Run("only a deletion removes", func(t *testing.T) {
		if isInstanceRemoval(granitehoist.Entry{Key: "servers/i-1", Version: 9}) || !isInstanceRemoval(granitehoist.Entry{Key: "servers/i-1", Version: 9, Deleted: true}) {
			t.Fatal("removal does not follow the deletion")
		}
	})
}
