// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A grant",
	func(r grantInputs, expected granitehoist.Tokens) {
		Expect(r.grant()).To(Equal(expected))
	},
	Entry("fills a low holding", grantInputs{remaining: 1000, unreserved: 74, target: 100, threshold: refillThreshold}, granitehoist.Tokens(26)),
	Entry("leaves one that is not low", grantInputs{remaining: 1000, unreserved: 75, target: 100, threshold: refillThreshold}, granitehoist.Tokens(0)),
	Entry("fills it if the record is written anyway", grantInputs{remaining: 1000, unreserved: 75, target: 100, threshold: jointRefillThreshold}, granitehoist.Tokens(25)),
	Entry("is what requests lack beside the target", grantInputs{remaining: 1000, unreserved: 90, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(50)),
	Entry("is what requests lack above the target", grantInputs{remaining: 1000, unreserved: 200, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(40)),
	Entry("is no more than the store has", grantInputs{remaining: 30, unreserved: 0, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(30)),
	Entry("is nothing of an empty store", grantInputs{remaining: 0, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(0)),
	Entry("is nothing of an overdrawn store", grantInputs{remaining: -5, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(0)),
	Entry("does not pay what is owed", grantInputs{remaining: 1000, unreserved: -30, target: 100, threshold: refillThreshold}, granitehoist.Tokens(100)),
)

var _ = DescribeTable("What waiting requests lack",
	func(bounds []granitehoist.Tokens, remaining, unreserved, expected granitehoist.Tokens) {
		Expect(shortfallOf(bounds, remaining, unreserved)).To(Equal(expected))
	},
	Entry("is nothing without requests", nil, granitehoist.Tokens(100), granitehoist.Tokens(0), granitehoist.Tokens(0)),
	Entry("is their sum less what is owned", []granitehoist.Tokens{30, 50}, granitehoist.Tokens(100), granitehoist.Tokens(20), granitehoist.Tokens(60)),
	Entry("is nothing if enough is owned", []granitehoist.Tokens{30, 50}, granitehoist.Tokens(100), granitehoist.Tokens(80), granitehoist.Tokens(0)),
	Entry("leaves out the largest that can't be paid", []granitehoist.Tokens{90, 30, 20}, granitehoist.Tokens(60), granitehoist.Tokens(0), granitehoist.Tokens(50)),
	Entry("counts what is owned toward what can be paid", []granitehoist.Tokens{30, 50}, granitehoist.Tokens(60), granitehoist.Tokens(20), granitehoist.Tokens(60)),
	Entry("does not add what is owed", []granitehoist.Tokens{30}, granitehoist.Tokens(100), granitehoist.Tokens(-10), granitehoist.Tokens(30)),
)
