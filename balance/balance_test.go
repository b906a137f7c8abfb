// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

var _ = Describe("The choice of an instance", func() {
	const pool = granitehoist.Service("pool")
	now := time.Unix(1000, 0)
	newTable := func(count int) *balance.Table {
		t := balance.New(balance.Settings{Seed: 1})
		for i := range count {
			t.Announce(balance.Instance{ID: granitehoist.Upstream(fmt.Sprintf("i-%d", i)), Service: pool, Capacity: 64, Version: 1}, now)
		}
		return t
	}
	pick := func(t *balance.Table, w balance.Query) *balance.Lease {
		w.Service = pool
		lease, err := t.Pick(w, now)
		Expect(err).NotTo(HaveOccurred())
		return lease
	}

	It("is the same on every router for a common beginning", func() {
		a, b := newTable(18), newTable(18)
		for i := range 50 {
			w := balance.Query{PrefixHash: balance.PrefixHash([]string{fmt.Sprint(i)}), PrefixTokens: 5000, PromptTokens: 6000}
			first, second := pick(a, w), pick(b, w)
			Expect(first.ID).To(Equal(second.ID))
			first.Done(balance.Good, now)
			second.Done(balance.Good, now)
		}
	})

	It("passes a home over whose queue outweighs what the cache saves", func() {
		t := newTable(4)
		w := balance.Query{PrefixHash: 77, PrefixTokens: 1000, PromptTokens: 20000}
		home := pick(t, w)
		Expect(pick(t, w).ID).NotTo(Equal(home.ID))
	})

	It("never is one that drains, was tried or has moved", func() {
		t := newTable(3)
		t.Announce(balance.Instance{ID: "i-0", Service: pool, Capacity: 64, Version: 2, Draining: true}, now)
		for range 20 {
			Expect(pick(t, balance.Query{Tried: map[granitehoist.Upstream]bool{"i-1": true}}).ID).To(Equal(granitehoist.Upstream("i-2")))
		}
		t.Announce(balance.Instance{ID: "i-0", Service: pool, Capacity: 64, Version: 1}, now)
		for range 20 {
			Expect(pick(t, balance.Query{}).ID).NotTo(Equal(granitehoist.Upstream("i-0")))
		}
	})

	It("leaves out one that breaks off twice in a row, for a while", func() {
		t := newTable(2)
		for range 2 {
			lease := pick(t, balance.Query{Tried: map[granitehoist.Upstream]bool{"i-1": true}})
			lease.Done(balance.Broken, now)
		}
		for range 20 {
			Expect(pick(t, balance.Query{}).ID).To(Equal(granitehoist.Upstream("i-1")))
		}
	})

	It("uses the gone for a moment if there is no other, and then finds none", func() {
		t := newTable(1)
		t.Remove("i-0", now)
		Expect(pick(t, balance.Query{}).ID).To(Equal(granitehoist.Upstream("i-0")))
		_, err := t.Pick(balance.Query{Service: pool}, now.Add(2*time.Second))
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.NoUpstream))
	})
})
