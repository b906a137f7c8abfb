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

// TestNotReady checks that a router which does not know yet whom to ask lists the store
// once, and watches it only from when it knows.
func TestNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scripted{lists: []follow.Update{{At: 7}}}
		var ready atomic.Bool
		f := follow.New(follow.Settings{Store: store, Prefix: "p/", Ready: ready.Load})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		if !f.HasCopy() || f.At() != 7 {
			t.Fatalf("copy %v at %d", f.HasCopy(), f.At())
		}
		expectWatched(t, store, false)
		ready.Store(true)
		time.Sleep(time.Second)
		expectWatched(t, store, true)
		cancel()
		synctest.Wait()
	})
}

func expectWatched(t *testing.T, s *scripted, watched bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if (len(s.waits) > 0) != watched {
		t.Fatalf("%d watches", len(s.waits))
	}
}
