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
