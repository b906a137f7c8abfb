// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// timedStore never answers, and notes how long each call may take.
type timedStore struct {
	granitehoist.Store
	mu       sync.Mutex
	patience []time.Duration
}

func (s *timedStore) Get(ctx context.Context, _ string) (granitehoist.Entry, error) {
	deadline, _ := ctx.Deadline()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.patience = append(s.patience, time.Until(deadline))
	return granitehoist.Entry{}, granitehoist.ErrUnknown
}

var _ = Describe("A syncer whose store is silent", func() {
	It("makes short calls, so that it soon sees the store again, and now and then a long one", func() {
		store := &timedStore{}
		b := newBox("a", "a1", store, 1, time.Now)
		for range 6 {
			Expect(b.sync()).NotTo(Succeed())
		}
		long := 0
		for _, patience := range store.patience {
			if patience > escrow.DefaultTimeout/2 {
				long++
			}
		}
		Expect(store.patience).To(HaveLen(6))
		Expect(store.patience[1]).To(BeNumerically("<=", 400*time.Millisecond))
		Expect(long).To(Equal(2))
	})
})
