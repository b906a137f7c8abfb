// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("What remains of a budget of 500 tokens",
	func(v fleetView, store granitehoist.Tokens, left budgetLeft) {
		Expect(v.remainingInStore(500)).To(Equal(store))
		Expect(v.leftAnywhere(10)).To(Equal(left))
	},
	Entry("is all of it in the store before anything was reported", fleetView{}, granitehoist.Tokens(500), budgetLeft{}),
	Entry("is as the record says", recordSays(50, 30), granitehoist.Tokens(50), budgetLeft{tokens: 90, reported: true}),
	Entry("is as a lender says that was heard later", lenderSays(40, 70), granitehoist.Tokens(40), budgetLeft{tokens: 80, reported: true}),
	Entry("is as the record says if that was read later", olderLender(), granitehoist.Tokens(50), budgetLeft{tokens: 90, reported: true}),
	Entry("is as an old lender says if the record was not read under the present limit", lenderOnly(), granitehoist.Tokens(40), budgetLeft{tokens: 80, reported: true}),
	Entry("counts a record that is overdrawn as empty", recordSays(-20, 30), granitehoist.Tokens(-20), budgetLeft{tokens: 40, reported: true}),
)

func olderLender() fleetView {
	v := recordSays(50, 30)
	v.lender = lenderView{remaining: 40, left: 70, at: ago(2 * time.Second), valid: true}
	return v
}

func lenderOnly() fleetView {
	return fleetView{lender: lenderView{remaining: 40, left: 70, at: ago(time.Minute), valid: true}}
}

var _ = DescribeTable("What is known of a budget",
	func(v fleetView, expected bool) {
		Expect(v.isFresh(at)).To(Equal(expected))
	},
	Entry("is not fresh before anything was reported", fleetView{}, false),
	Entry("is fresh by the record", fleetView{record: recordView{readAt: ago(799 * time.Millisecond)}}, true),
	Entry("is old by the record", fleetView{record: recordView{readAt: ago(800 * time.Millisecond)}}, false),
	Entry("is fresh by a lender", fleetView{lender: lenderView{at: ago(799 * time.Millisecond)}}, true),
)
