// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection at the end of an exchange", func() {
	DescribeTable("is in doubt",
		func(change func(*outcome), expected doubt) {
			o := outcome{complete: true, written: true, framed: true}
			change(&o)
			Expect(o.doubt()).To(Equal(expected))
		},
		Entry("not if all went well", func(*outcome) {}, noDoubt),
		Entry("if the answer was not read to its end", func(o *outcome) { o.complete = false }, answerIncomplete),
		Entry("if the exchange was cancelled", func(o *outcome) { o.cancelled = true }, exchangeCancelled),
		Entry("if the request was answered before it was written", func(o *outcome) { o.written = false }, requestUnwritten),
		Entry("if the answer ends with it", func(o *outcome) { o.framed = false }, answerUnframed),
		Entry("if the upstream closes it", func(o *outcome) { o.closing = true }, upstreamClosing),
		Entry("if bytes follow the answer", func(o *outcome) { o.surplus = 1 }, surplusBytes),
		Entry("if nothing is known", func(o *outcome) { *o = outcome{} }, answerIncomplete),
	)
})
