// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A connection at the end of an exchange", func() {
	DescribeTable("is closed",
		func(change func(*outcome), expected closeReason) {
			o := outcome{complete: true, written: true, framed: true}
			change(&o)
			Expect(o.closeReason()).To(Equal(expected))
		},
		Entry("not after a complete exchange", func(*outcome) {}, noReason),
		Entry("if the response was not read to its end", func(o *outcome) { o.complete = false }, responseIncomplete),
		Entry("if the exchange was cancelled", func(o *outcome) { o.cancelled = true }, exchangeCancelled),
		Entry("if the response arrived before the request was written", func(o *outcome) { o.written = false }, requestIncomplete),
		Entry("if the response is delimited by the end of the connection", func(o *outcome) { o.framed = false }, responseUnframed),
		Entry("if the upstream announced to close it", func(o *outcome) { o.closing = true }, upstreamClosing),
		Entry("if bytes follow the response", func(o *outcome) { o.unread = 1 }, unreadBytes),
		Entry("in the zero state", func(o *outcome) { *o = outcome{} }, responseIncomplete),
	)
})
