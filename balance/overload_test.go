// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "testing"

// TestOverloadProtection guards against overload of instances beside rate-limited ones.
func TestOverloadProtection(t *testing.T) {
	// start picks count times without ending an attempt, and returns how many succeeded.
	start := func(p *testPool, count, routers int) int {
		found := 0
		for range count {
			if _, err := p.Pick(Query{Service: "pool", Routers: routers}, p.now); err == nil {
				found++
			}
		}
		return found
	}
	t.Run("does not limit a service without rate limits", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.expect("of 100", start(p, 100, 2), 100)
	})
	t.Run("limits the load to twice the capacity for all routers together", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.expect("of 100, two routers", start(p, 100, 2), 8)
		alone := newTestPool(t, 2)
		alone.limit("i-0", 2)
		alone.expect("of 100, one router", start(alone, 100, 1), 16)
	})
	t.Run("does not limit if the capacity per router is small", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		p.expect("of 100, five routers", start(p, 100, 5), 100)
	})
	t.Run("admits a request when another one ends", func(t *testing.T) {
		p := newTestPool(t, 2)
		p.limit("i-0", 2)
		lease, err := p.Pick(Query{Service: "pool"}, p.now)
		if err != nil {
			t.Fatal(err)
		}
		p.expect("of 100", start(p, 100, 1), 15)
		w, ok := p.NewWaiter(&Query{Service: "pool"})
		if !ok {
			t.Fatal("cannot wait although no request is waiting")
		}
		defer w.Close()
		changed := p.DeferredChanged()
		lease.Done(Succeeded, p.now)
		select {
		case <-changed:
		default:
			t.Error("the waiting request was not woken")
		}
		if _, err := p.Pick(Query{Service: "pool", Waiting: true}, p.now); err != nil {
			t.Error(err)
		}
		p.expect("of 100", start(p, 100, 1), 0)
	})
}
