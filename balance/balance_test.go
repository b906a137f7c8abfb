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
	pick := func(t *balance.Table, q balance.Query) *balance.Lease {
		q.Service = pool
		lease, err := t.Pick(q, now)
		Expect(err).NotTo(HaveOccurred())
		return lease
	}

	It("is the same on every router for a common prefix", func() {
		a, b := newTable(18), newTable(18)
		for i := range 50 {
			q := balance.Query{PrefixHash: balance.PrefixHash([]string{fmt.Sprint(i)}), PrefixTokens: 5000, PromptTokens: 6000}
			first, second := pick(a, q), pick(b, q)
			Expect(first.ID).To(Equal(second.ID))
			first.Done(balance.Succeeded, now)
			second.Done(balance.Succeeded, now)
		}
	})

	It("skips a prefix owner whose queue outweighs the cache hit", func() {
		t := newTable(4)
		q := balance.Query{PrefixHash: 77, PrefixTokens: 1000, PromptTokens: 20000}
		owner := pick(t, q)
		Expect(pick(t, q).ID).NotTo(Equal(owner.ID))
	})

	It("excludes draining and tried instances and ignores outdated announcements", func() {
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

	It("ejects an instance after two broken attempts in a row", func() {
		t := newTable(2)
		for range 2 {
			lease := pick(t, balance.Query{Tried: map[granitehoist.Upstream]bool{"i-1": true}})
			lease.Done(balance.Broken, now)
		}
		for range 20 {
			Expect(pick(t, balance.Query{}).ID).To(Equal(granitehoist.Upstream("i-1")))
		}
	})

	It("uses removed instances as a last resort until the grace period ends", func() {
		t := newTable(1)
		t.Remove("i-0", now)
		Expect(pick(t, balance.Query{}).ID).To(Equal(granitehoist.Upstream("i-0")))
		_, err := t.Pick(balance.Query{Service: pool}, now.Add(2*time.Second))
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.NoUpstream))
	})
})
