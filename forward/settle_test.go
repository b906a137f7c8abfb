// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
)

var _ = ginkgo.DescribeTable("A request is charged",
	func(s settlement, want granitehoist.Tokens) {
		s.cost = Cost{Prompt: 100, Output: 200}
		Expect(s.charge()).To(Equal(want))
	},
	ginkgo.Entry("nothing if no attempt can have run",
		settlement{tokensPerEvent: 5}, granitehoist.Tokens(0)),
	ginkgo.Entry("its prompt and the events of a complete response",
		settlement{tokensPerEvent: 5, events: 4, runs: 1, complete: true}, granitehoist.Tokens(120)),
	ginkgo.Entry("its prompt and one additional event for a truncated response",
		settlement{tokensPerEvent: 5, events: 4, runs: 1}, granitehoist.Tokens(125)),
	ginkgo.Entry("its prompt once for two attempts",
		settlement{tokensPerEvent: 5, events: 4, runs: 2, complete: true}, granitehoist.Tokens(120)),
	ginkgo.Entry("its prompt and one event if it may have run without a response",
		settlement{tokensPerEvent: 5, runs: 1}, granitehoist.Tokens(105)),
	ginkgo.Entry("no more than the reservation",
		settlement{tokensPerEvent: 5, events: 90, runs: 1}, granitehoist.Tokens(300)),
	ginkgo.Entry("the reservation if events are not counted",
		settlement{events: 1, runs: 1, complete: true}, granitehoist.Tokens(300)),
)

var _ = ginkgo.It("A charge stays within the reservation and grows with the events", func() {
	rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
		s := settlement{
			cost:           Cost{Prompt: draw(t, "prompt"), Output: draw(t, "output")},
			tokensPerEvent: draw(t, "tokens per event"),
			events:         int64(draw(t, "events")),
			runs:           1,
			complete:       rapid.Bool().Draw(t, "complete"),
		}
		more := s
		more.events++
		Expect(s.charge()).To(BeNumerically(">=", s.cost.Prompt))
		Expect(s.charge()).To(BeNumerically("<=", s.cost.Total()))
		Expect(more.charge()).To(BeNumerically(">=", s.charge()))
	})
})

// draw returns a random number of tokens.
func draw(t *rapid.T, name string) granitehoist.Tokens {
	return granitehoist.Tokens(rapid.Int64Range(0, 10_000).Draw(t, name))
}
