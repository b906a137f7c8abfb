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
	func(v fleetView, store granitehoist.Tokens, total remainingBudget) {
		Expect(v.remainingInStore(500)).To(Equal(store))
		Expect(v.totalRemaining(10)).To(Equal(total))
	},
	Entry("is all of it in the store before anything was reported", fleetView{}, granitehoist.Tokens(500), remainingBudget{}),
	Entry("is as the record says", viewFromRecord(50, 30), granitehoist.Tokens(50), remainingBudget{tokens: 90, known: true}),
	Entry("is as a lender says that was heard later", viewFromLender(40, 70), granitehoist.Tokens(40), remainingBudget{tokens: 80, known: true}),
	Entry("is as the record says if that was read later", viewWithOlderLender(), granitehoist.Tokens(50), remainingBudget{tokens: 90, known: true}),
	Entry("is as an old lender says if the record was not read under the present limit", viewFromLenderOnly(), granitehoist.Tokens(40), remainingBudget{tokens: 80, known: true}),
	Entry("counts a record that is overdrawn as empty", viewFromRecord(-20, 30), granitehoist.Tokens(-20), remainingBudget{tokens: 40, known: true}),
)

func viewWithOlderLender() fleetView {
	v := viewFromRecord(50, 30)
	v.lender = lenderView{remaining: 40, totalRemaining: 70, at: ago(2 * time.Second), valid: true}
	return v
}

func viewFromLenderOnly() fleetView {
	return fleetView{lender: lenderView{remaining: 40, totalRemaining: 70, at: ago(time.Minute), valid: true}}
}

var _ = DescribeTable("What is known of a budget",
	func(v fleetView, expected bool) {
		Expect(v.isFresh(testNow)).To(Equal(expected))
	},
	Entry("is not fresh before anything was reported", fleetView{}, false),
	Entry("is fresh by the record", fleetView{record: recordView{readAt: ago(799 * time.Millisecond)}}, true),
	Entry("is old by the record", fleetView{record: recordView{readAt: ago(800 * time.Millisecond)}}, false),
	Entry("is fresh by a lender", fleetView{lender: lenderView{at: ago(799 * time.Millisecond)}}, true),
)
