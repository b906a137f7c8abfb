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

// lateStore loses the first write and makes it when deliver is called; it refuses
// every other write.
type lateStore struct {
	granitehoist.Store
	lost *granitehoist.Change
}

func (s *lateStore) CompareAndSwap(_ context.Context, change granitehoist.Change) (granitehoist.Version, error) {
	if s.lost != nil {
		return 0, granitehoist.ErrUnavailable
	}
	s.lost = &change
	return 0, granitehoist.ErrUnknown
}

func (s *lateStore) deliver() error {
	_, err := s.Store.CompareAndSwap(ctx, *s.lost)
	return err
}

var _ = Describe("Swap", func() {
	var stand *standin.Store
	BeforeEach(func() { stand = standin.NewStore(standin.StoreSettings{}) })

	It("settles a write whose answer is lost", func() {
		stand.Fail(standin.StoreFaults{LoseEvery: 1})
		version, err := store.Create(ctx, stand, "a", []byte("mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(version).NotTo(BeZero())
		Expect(stand.Calls().Writes).To(Equal(1))
	})

	It("makes a write again that had no effect", func() {
		stand.Fail(standin.StoreFaults{DropEvery: 1})
		_, err := store.Create(ctx, stand, "a", []byte("mine"))
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
		stand.Fail(standin.StoreFaults{})
		_, err = store.Create(ctx, stand, "a", []byte("mine"))
		Expect(err).NotTo(HaveOccurred())
	})

	It("leaves the outcome open if the store refuses to repeat a write that may still take effect", func() {
		late := &lateStore{Store: stand}
		_, err := store.Create(ctx, late, "a", []byte("mine"))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(granitehoist.ErrUnavailable), "that error says that the write had no effect")
		Expect(late.deliver()).To(Succeed())
		e, err := stand.Get(ctx, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Value)).To(Equal("mine"))
	})

	It("tells that another writer was first", func() {
		_, err := store.Create(ctx, stand, "a", []byte("theirs"))
		Expect(err).NotTo(HaveOccurred())
		for _, faults := range []standin.StoreFaults{{}, {LoseEvery: 1}, {DropEvery: 1}} {
			stand.Fail(faults)
			_, err = store.Create(ctx, stand, "a", []byte("mine"))
			Expect(err).To(MatchError(granitehoist.ErrConflict))
		}
	})
})
