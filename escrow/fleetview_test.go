// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("The remainder of a budget of 500 tokens",
	func(v fleetView, store granitehoist.Tokens, total remainingBudget) {
		Expect(v.remainingInStore(500)).To(Equal(store))
		Expect(v.totalRemaining(10)).To(Equal(total))
	},
	Entry("is the whole limit in the store before any report", fleetView{}, granitehoist.Tokens(500), remainingBudget{}),
	Entry("is that of the record", viewFromRecord(50, 30), granitehoist.Tokens(50), remainingBudget{tokens: 90, known: true}),
	Entry("is that of a lender with a newer report", viewFromLender(40, 70), granitehoist.Tokens(40), remainingBudget{tokens: 80, known: true}),
	Entry("is that of the record if it was read later", viewWithOlderLender(), granitehoist.Tokens(50), remainingBudget{tokens: 90, known: true}),
	Entry("is that of an old lender's report if the record was not read under the present limit", viewFromLenderOnly(), granitehoist.Tokens(40), remainingBudget{tokens: 80, known: true}),
	Entry("counts an overdrawn store as empty", viewFromRecord(-20, 30), granitehoist.Tokens(-20), remainingBudget{tokens: 40, known: true}),
)

func viewWithOlderLender() fleetView {
	v := viewFromRecord(50, 30)
	v.lender = lenderView{remaining: 40, totalRemaining: 70, at: ago(2 * time.Second), valid: true}
	return v
}

func viewFromLenderOnly() fleetView {
	return fleetView{lender: lenderView{remaining: 40, totalRemaining: 70, at: ago(time.Minute), valid: true}}
}

var _ = DescribeTable("The view of a budget",
	func(v fleetView, expected bool) {
		Expect(v.isFresh(testNow)).To(Equal(expected))
	},
	Entry("is not fresh before any report", fleetView{}, false),
	Entry("is fresh by the record", fleetView{record: recordView{readAt: ago(799 * time.Millisecond)}}, true),
	Entry("is stale by the record", fleetView{record: recordView{readAt: ago(800 * time.Millisecond)}}, false),
	Entry("is fresh by a lender", fleetView{lender: lenderView{at: ago(799 * time.Millisecond)}}, true),
)
