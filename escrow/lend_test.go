// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A loan",
	func(l loanInputs, expected granitehoist.Tokens) {
		Expect(l.loan()).To(Equal(expected))
	},
	Entry("is what is wanted", loanInputs{free: 100, need: 20, want: 40}, granitehoist.Tokens(40)),
	Entry("is at most half of what is free", loanInputs{free: 100, need: 20, want: 90}, granitehoist.Tokens(50)),
	Entry("is all that is needed if there is that much", loanInputs{free: 100, need: 100, want: 100}, granitehoist.Tokens(100)),
	Entry("is half of what is free if that is not enough", loanInputs{free: 100, need: 101, want: 200}, granitehoist.Tokens(50)),
	Entry("is zero while own requests wait", loanInputs{free: 100, need: 20, want: 40, waiting: true}, granitehoist.Tokens(0)),
	Entry("is zero at shutdown", loanInputs{free: 100, need: 20, want: 40, closing: true}, granitehoist.Tokens(0)),
	Entry("is zero if nothing is free", loanInputs{free: 0, need: 20, want: 40}, granitehoist.Tokens(0)),
	Entry("is zero if the free tokens are negative", loanInputs{free: -50, need: 20, want: 40}, granitehoist.Tokens(0)),
	Entry("is zero if nothing is needed", loanInputs{free: 100, need: 0, want: 40}, granitehoist.Tokens(0)),
	Entry("is what is needed if less is wanted", loanInputs{free: 100, need: 20, want: -40}, granitehoist.Tokens(20)),
	Entry("is never negative", loanInputs{free: 10, need: 20, want: -40}, granitehoist.Tokens(0)),
	Entry("of a holder is what is wanted as well", loanInputs{free: 100, need: 20, want: 40, allOrNothing: true}, granitehoist.Tokens(40)),
	Entry("of a holder is zero if it would not be enough", loanInputs{free: 100, need: 101, want: 200, allOrNothing: true}, granitehoist.Tokens(0)),
)

var _ = DescribeTable("The surplus of a borrower in a budget of 100,000 tokens",
	func(free granitehoist.Tokens, routers int, expected bool) {
		Expect(isSurplus(free, 100_000, routers)).To(Equal(expected))
	},
	Entry("is repaid if it is more than the router's part of 1 %", granitehoist.Tokens(51), 20, true),
	Entry("is kept otherwise", granitehoist.Tokens(50), 20, false),
	Entry("is kept up to 1 % by a single router", granitehoist.Tokens(1_000), 0, false),
)

var _ = DescribeTable("The loan that a router requests for its waiters",
	func(c conditions, r loanRequestInputs, expected loanRequest) {
		Expect(r.forWaiters(c)).To(Equal(expected))
	},
	Entry("is at least for the smallest, and at best for all and 2 s of spending", steadyState(), loanRequestInputs{unreserved: 10, smallest: 30, waiting: 80, rate: 7}, loanRequest{need: 20, want: 84}),
	Entry("leaves out the spending after an outage", afterOutage(), loanRequestInputs{unreserved: 10, smallest: 30, waiting: 80, rate: 7}, loanRequest{need: 20, want: 70}),
	Entry("is at least one token", afterOutage(), loanRequestInputs{unreserved: 100, smallest: 30, waiting: 80}, loanRequest{need: 1, want: 1}),
)

var _ = Describe("The available lenders", func() {
	near, far := Lender{Peer: granitehoist.Peer{Address: "near"}}, Lender{Peer: granitehoist.Peer{Address: "far"}}
	all := []Lender{near, far}

	It("are all that responded recently, in their order", func() {
		Expect(availableLenders(all, nil, testNow)).To(Equal(all))
		Expect(availableLenders(all, map[string]time.Time{"near": testNow}, testNow)).To(Equal([]Lender{far}))
		Expect(availableLenders(all, map[string]time.Time{"near": ago(1)}, testNow)).To(Equal(all))
	})

	It("are all if none responded recently", func() {
		Expect(availableLenders(all, map[string]time.Time{"near": testNow, "far": testNow}, testNow)).To(Equal(all))
	})
})
