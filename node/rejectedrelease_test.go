// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/standin"
)

// rejectingStore rejects the writes of one key, and counts them.
type rejectingStore struct {
	*standin.Store
	key   string
	tries int
}

func (s *rejectingStore) CompareAndSwap(ctx context.Context, c granitehoist.Change) (granitehoist.Version, error) {
	if c.Key == s.key {
		s.tries++
		return 0, granitehoist.ErrRejected
	}
	return s.Store.CompareAndSwap(ctx, c)
}

// TestRejectedReleaseIsNotRetried guards against a release that the store rejects and that is
// tried again and again, or keeps others from being registered.
func TestRejectedReleaseIsNotRetried(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	rejecting := &rejectingStore{Store: standin.NewStore(standin.StoreSettings{}), key: releaseKey("pool", "a")}
	r := &releaseRegistry{
		known: &origin.Registry{}, store: rejecting, clock: func() time.Time { return now }, log: zap.NewNop(),
		rejectedUntil: map[string]time.Time{}, changed: make(chan struct{}, 1),
	}
	for _, release := range []granitehoist.Release{"a", "b", "c"} {
		r.known.Announce("pool", release)
	}
	for range 3 {
		for service, releases := range r.pending() {
			expect.Expect(r.registerReleases(t.Context(), service, releases)).To(Succeed())
		}
	}
	expect.Expect(r.known.Registered()["pool"]).To(ConsistOf(granitehoist.Release("b"), granitehoist.Release("c")))
	expect.Expect(rejecting.tries).To(Equal(1))
	now = now.Add(rejectedRetry)
	expect.Expect(r.pending()["pool"]).To(ConsistOf(granitehoist.Release("a")))
}
