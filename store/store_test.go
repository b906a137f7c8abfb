// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
	"granitehoist.example/granitehoist/store"
)

var ctx = context.Background()

var _ = Describe("HTTP", func() {
	var stand *standin.Store
	var adapter *store.HTTP
	var past atomic.Int64
	BeforeEach(func() {
		past.Store(0)
		clock := func() time.Time { return time.Unix(1_800_000_000, past.Load()) }
		stand = standin.NewStore(standin.StoreSettings{Watch: 50 * time.Millisecond, Clock: clock})
		server := httptest.NewServer(stand.Handler())
		DeferCleanup(server.Close)
		adapter = store.NewHTTP(store.HTTPSettings{Address: server.URL, Timeout: time.Second})
	})

	It("reads, writes and lists as the interface says", func() {
		e, err := adapter.Get(ctx, "a/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(e).To(Equal(granitehoist.Entry{Key: "a/x"}))
		version, err := adapter.CompareAndSwap(ctx, granitehoist.Change{Key: "a/x", Value: []byte{0, 1}})
		Expect(err).NotTo(HaveOccurred())
		e, err = adapter.Get(ctx, "a/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Value).To(Equal([]byte{0, 1}))
		Expect(e.Version).To(Equal(version))
		_, err = adapter.CompareAndSwap(ctx, granitehoist.Change{Key: "a/x", Value: []byte("y")})
		Expect(err).To(MatchError(granitehoist.ErrConflict))
		entries, _, err := adapter.List(ctx, "a/")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		_, err = adapter.CompareAndSwap(ctx, granitehoist.Change{Key: "a/x", Expect: version, Delete: true})
		Expect(err).NotTo(HaveOccurred())
		e, _ = adapter.Get(ctx, "a/x")
		Expect(e.Version).To(BeZero())
	})

	It("waits for changes", func() {
		entries, after, err := adapter.Watch(ctx, "a/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty())
		_, err = adapter.CompareAndSwap(ctx, granitehoist.Change{Key: "a/x", Value: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		entries, _, err = adapter.Watch(ctx, "a/", after, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
	})

	It("ends entries with their lease", func() {
		id, err := adapter.GrantLease(ctx, 40*time.Second)
		Expect(err).NotTo(HaveOccurred())
		_, err = adapter.CompareAndSwap(ctx, granitehoist.Change{Key: "l", Lease: id})
		Expect(err).NotTo(HaveOccurred())
		past.Add(int64(30 * time.Second))
		Expect(adapter.RenewLease(ctx, id)).To(Succeed())
		past.Add(int64(30 * time.Second))
		e, err := adapter.Get(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Version).NotTo(BeZero(), "the lease was renewed")
		past.Add(int64(30 * time.Second))
		e, err = adapter.Get(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Version).To(BeZero())
		Expect(adapter.RenewLease(ctx, id)).To(MatchError(granitehoist.ErrNoLease))
	})

	It("lists boxes", func() {
		stand.ListBox("b", true)
		Expect(adapter.Boxes(ctx)).To(HaveKeyWithValue(granitehoist.Box("b"), true))
	})

	DescribeTable("tells a refusal from an unknown outcome",
		func(faults standin.StoreFaults, want error) {
			stand.Fail(faults)
			_, err := adapter.CompareAndSwap(ctx, granitehoist.Change{Key: "a"})
			Expect(err).To(MatchError(want))
		},
		Entry("down", standin.StoreFaults{Down: true}, granitehoist.ErrUnavailable),
		Entry("silent", standin.StoreFaults{Silent: true}, granitehoist.ErrUnknown),
		Entry("answer lost", standin.StoreFaults{LoseEvery: 1}, granitehoist.ErrUnknown),
		Entry("slower than the time-out", standin.StoreFaults{Delay: 3 * time.Second}, granitehoist.ErrUnknown),
	)

	It("does not know the outcome when nobody listens or an odd answer comes", func() {
		_, err := store.NewHTTP(store.HTTPSettings{Address: "http://127.0.0.1:1"}).Get(ctx, "a")
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
		odd := httptest.NewServer(http.NotFoundHandler())
		defer odd.Close()
		_, err = store.NewHTTP(store.HTTPSettings{Address: odd.URL}).CompareAndSwap(ctx, granitehoist.Change{Key: "a"})
		Expect(err).To(MatchError(granitehoist.ErrUnknown))
	})
})

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
