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

func hashed(count int) []*member {
	var members []*member
	for i := range count {
		id := fmt.Sprint("i-", i)
		members = append(members, &member{Instance: Instance{ID: granitehoist.Upstream(id)}, idHash: xxhash.Sum64String(id)})
	}
	return members
}

var _ = Describe("The owner of a prefix", func() {
	DescribeTable("is none",
		func(members []*member, prefixHash uint64) {
			Expect(ownerOf(members, prefixHash)).To(BeNil())
		},
		Entry("of no prefix", hashed(3), uint64(0)),
		Entry("among no members", nil, uint64(7)),
	)

	It("does not depend on the order of the members", func() {
		members := hashed(5)
		reversed := []*member{members[4], members[3], members[2], members[1], members[0]}
		for prefix := range uint64(100) {
			Expect(ownerOf(reversed, prefix)).To(BeIdenticalTo(ownerOf(members, prefix)))
		}
	})

	It("stays when another member leaves, and each member owns some", func() {
		members := hashed(5)
		owned := map[*member]int{}
		for prefix := uint64(1); prefix <= 500; prefix++ {
			owner := ownerOf(members, prefix)
			owned[owner]++
			if owner != members[4] {
				Expect(ownerOf(members[:4], prefix)).To(BeIdenticalTo(owner))
			}
		}
		Expect(owned).To(HaveLen(5))
	})

	It("is looked up by a hash of the parts and their bounds", func() {
		Expect(PrefixHash(nil)).To(BeZero())
		Expect(PrefixHash([]string{"ab", "c"})).To(Equal(PrefixHash([]string{"ab", "c"})))
		Expect(PrefixHash([]string{"ab", "c"})).NotTo(Equal(PrefixHash([]string{"a", "bc"})))
	})
})
