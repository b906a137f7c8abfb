// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

var _ = DescribeTable("A grant",
	func(g grantInputs, expected granitehoist.Tokens) {
		Expect(g.grant()).To(Equal(expected))
	},
	Entry("fills a low holding", grantInputs{remaining: 1000, unreserved: 74, target: 100, threshold: refillThreshold}, granitehoist.Tokens(26)),
	Entry("is zero if the holding is not low", grantInputs{remaining: 1000, unreserved: 75, target: 100, threshold: refillThreshold}, granitehoist.Tokens(0)),
	Entry("fills a nearly low holding if the record is written anyway", grantInputs{remaining: 1000, unreserved: 75, target: 100, threshold: jointRefillThreshold}, granitehoist.Tokens(25)),
	Entry("adds the shortfall of requests to the target", grantInputs{remaining: 1000, unreserved: 90, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(50)),
	Entry("is the shortfall if the holding exceeds the target", grantInputs{remaining: 1000, unreserved: 200, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(40)),
	Entry("is no more than the store has", grantInputs{remaining: 30, unreserved: 0, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(30)),
	Entry("is zero from an empty store", grantInputs{remaining: 0, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(0)),
	Entry("is zero from an overdrawn store", grantInputs{remaining: -5, target: 100, shortfall: 40, threshold: refillThreshold}, granitehoist.Tokens(0)),
	Entry("does not cover negative unreserved tokens", grantInputs{remaining: 1000, unreserved: -30, target: 100, threshold: refillThreshold}, granitehoist.Tokens(100)),
)

var _ = DescribeTable("The shortfall of waiting requests",
	func(maxCosts []granitehoist.Tokens, remaining, unreserved, expected granitehoist.Tokens) {
		Expect(shortfallOf(maxCosts, remaining, unreserved)).To(Equal(expected))
	},
	Entry("is zero without requests", nil, granitehoist.Tokens(100), granitehoist.Tokens(0), granitehoist.Tokens(0)),
	Entry("is their sum minus what is owned", []granitehoist.Tokens{30, 50}, granitehoist.Tokens(100), granitehoist.Tokens(20), granitehoist.Tokens(60)),
	Entry("is zero if enough is owned", []granitehoist.Tokens{30, 50}, granitehoist.Tokens(100), granitehoist.Tokens(80), granitehoist.Tokens(0)),
	Entry("leaves out the largest that can't be covered", []granitehoist.Tokens{90, 30, 20}, granitehoist.Tokens(60), granitehoist.Tokens(0), granitehoist.Tokens(50)),
	Entry("counts owned tokens as available", []granitehoist.Tokens{30, 50}, granitehoist.Tokens(60), granitehoist.Tokens(20), granitehoist.Tokens(60)),
	Entry("does not add negative unreserved tokens", []granitehoist.Tokens{30}, granitehoist.Tokens(100), granitehoist.Tokens(-10), granitehoist.Tokens(30)),
)
