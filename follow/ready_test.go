// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"granitehoist.example/granitehoist/follow"
)

// TestFollowerWaitsForReady guards against a follower that watches the store before
// Settings.PeersKnown, or does not list it until then.
func TestFollowerWaitsForReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{lists: []follow.Update{{Version: 7}}}
		var ready atomic.Bool
		f := follow.New(follow.Settings{Store: store, Prefix: "p/", PeersKnown: ready.Load})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		if !f.HasCopy() || f.Version() != 7 {
			t.Fatalf("copy %v at %d", f.HasCopy(), f.Version())
		}
		checkWatched(t, store, false)
		ready.Store(true)
		time.Sleep(time.Second)
		checkWatched(t, store, true)
		cancel()
		synctest.Wait()
	})
}

func checkWatched(t *testing.T, s *scriptedStore, watched bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if (len(s.waits) > 0) != watched {
		t.Fatalf("%d watches", len(s.waits))
	}
}
