// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

func hashedInstances(count int) []*instanceState {
	var instances []*instanceState
	for i := range count {
		id := fmt.Sprint("i-", i)
		instances = append(instances, &instanceState{Instance: Instance{ID: granitehoist.Upstream(id)}, idHash: xxhash.Sum64String(id)})
	}
	return instances
}

var _ = Describe("The owner of a prefix", func() {
	DescribeTable("is nil",
		func(instances []*instanceState, prefixHash uint64) {
			Expect(ownerOf(instances, prefixHash, false)).To(BeNil())
		},
		Entry("without a prefix", hashedInstances(3), uint64(0)),
		Entry("without instances", nil, uint64(7)),
	)

	It("does not depend on the order of the instances", func() {
		instances := hashedInstances(5)
		reversed := []*instanceState{instances[4], instances[3], instances[2], instances[1], instances[0]}
		for prefix := range uint64(100) {
			Expect(ownerOf(reversed, prefix, false)).To(BeIdenticalTo(ownerOf(instances, prefix, false)))
		}
	})

	It("does not change when another instance is removed, and every instance owns prefixes", func() {
		instances := hashedInstances(5)
		owned := map[*instanceState]int{}
		for prefix := uint64(1); prefix <= 500; prefix++ {
			owner := ownerOf(instances, prefix, false)
			owned[owner]++
			if owner != instances[4] {
				Expect(ownerOf(instances[:4], prefix, false)).To(BeIdenticalTo(owner))
			}
		}
		Expect(owned).To(HaveLen(5))
	})

	It("depends on the parts and their boundaries", func() {
		Expect(PrefixHash(nil)).To(BeZero())
		Expect(PrefixHash([]string{"ab", "c"})).To(Equal(PrefixHash([]string{"ab", "c"})))
		Expect(PrefixHash([]string{"ab", "c"})).NotTo(Equal(PrefixHash([]string{"a", "bc"})))
	})
})
