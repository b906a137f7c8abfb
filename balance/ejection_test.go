// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The health of an instance", func() {
	const ejection = 400 * time.Millisecond
	earlier := testTime.Add(10 * time.Second)

	DescribeTable("after a result",
		func(before health, r Result, failuresInRow int, failureRate float64, ejectedUntil time.Time) {
			after := before.withResult(r, ejection, testTime)
			Expect(after.failuresInRow).To(Equal(failuresInRow))
			Expect(after.failureRate).To(BeNumerically("~", failureRate, 1e-12))
			Expect(after.ejectedUntil).To(Equal(ejectedUntil))
		},
		Entry("good: resets consecutive failures, lowers the failure rate, keeps an ejection", health{3, 0.5, earlier}, Succeeded, 0, 0.4, earlier),
		Entry("failed: only raises the failure rate", health{1, 0.5, time.Time{}}, Failed, 1, 0.6, time.Time{}),
		Entry("refused: a quarter of an ejection, no failure", health{1, 0.5, time.Time{}}, Refused, 1, 0.5, testTime.Add(100*time.Millisecond)),
		Entry("refused: replaces a longer ejection", health{1, 0.5, earlier}, Refused, 1, 0.5, testTime.Add(100*time.Millisecond)),
		Entry("broken once: no ejection", health{}, Broken, 1, 0.2, time.Time{}),
		Entry("broken twice in a row: ejected", health{1, 0.2, time.Time{}}, Broken, 2, 0.36, testTime.Add(ejection)),
		Entry("broken again: twice as long", health{2, 0, time.Time{}}, Broken, 3, 0.2, testTime.Add(2*ejection)),
		Entry("excessive: the longest ejection at once", health{}, Excessive, 1, 0.2, testTime.Add(maxEjection)),
		Entry("moved: the longest ejection, no failure", health{}, Misdirected, 0, 0.0, testTime.Add(maxEjection)),
		Entry("unclear: nothing changes", health{1, 0.5, earlier}, Inconclusive, 1, 0.5, earlier),
	)

	DescribeTable("sets the duration of an ejection",
		func(failuresInRow int, expected time.Duration) {
			Expect(ejectionAfter(failuresInRow, ejection)).To(Equal(expected))
		},
		Entry("initially", ejectAfterFailures, ejection),
		Entry("doubled with each failure", ejectAfterFailures+3, 8*ejection),
		Entry("up to the maximum", ejectAfterFailures+4, maxEjection),
		Entry("up to the maximum without overflow", 1<<40, maxEjection),
	)

	It("ends an ejection on time", func() {
		h := health{ejectedUntil: testTime}
		Expect(h.ejected(testTime.Add(-1))).To(BeTrue())
		Expect(h.ejected(testTime)).To(BeFalse())
		Expect((&health{}).ejected(testTime)).To(BeFalse())
	})
})
