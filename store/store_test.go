// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/store"
)

var ctx = context.Background()

// delayedStore delays the first write until deliver is called and rejects all others.
type delayedStore struct {
	granitehoist.Store
	lost *granitehoist.Change
}

func (s *delayedStore) CompareAndSwap(_ context.Context, change granitehoist.Change) (granitehoist.Version, error) {
	if s.lost != nil {
		return 0, granitehoist.ErrUnavailable
	}
	s.lost = &change
	return 0, granitehoist.ErrUnknown
}

func (s *delayedStore) deliver() error {
	_, err := s.Store.CompareAndSwap(ctx, *s.lost)
	return err
}

var _ = Describe("Swap", func() {
	var mem *standin.Store
	BeforeEach(func() { mem = standin.NewStore(standin.StoreSettings{}) })

	It("resolves a write whose response is lost", func() {
		mem.Fail(standin.StoreFaults{LoseEvery: 1})
		version, err := store.Create(ctx, mem, "a", []byte("mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(version).NotTo(BeZero())
		Expect(mem.Calls().Writes).To(Equal(1))
	})

	It("returns ErrUnknown while writes are dropped, and succeeds afterwards", func() {
		mem.Fail(standin.StoreFaults{DropEvery: 1})
		_, err := store.Create(ctx, mem, "a", []byte("mine"))
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
		mem.Fail(standin.StoreFaults{})
		_, err = store.Create(ctx, mem, "a", []byte("mine"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns an unknown outcome if the store rejects the repetition of a write that may still take effect", func() {
		delayed := &delayedStore{Store: mem}
		_, err := store.Create(ctx, delayed, "a", []byte("mine"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(granitehoist.ErrUnavailable), "ErrUnavailable would mean that the write had no effect")
		Expect(delayed.deliver()).To(Succeed())
		e, err := mem.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Value)).To(Equal("mine"))
	})

	It("returns ErrConflict if another writer was first", func() {
		_, err := store.Create(ctx, mem, "a", []byte("theirs"))
		Expect(err).NotTo(HaveOccurred())
		for _, faults := range []standin.StoreFaults{{}, {LoseEvery: 1}, {DropEvery: 1}} {
			mem.Fail(faults)
			_, err = store.Create(ctx, mem, "a", []byte("mine"))
			Expect(err).To(MatchError(granitehoist.ErrConflict))
		}
	})
})
