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
	earlier := noon.Add(10 * time.Second)

	DescribeTable("after a result",
		func(before health, r Result, failuresInRow int, failureRate float64, ejectedUntil time.Time) {
			after := before.withResult(r, ejection, noon)
			Expect(after.failuresInRow).To(Equal(failuresInRow))
			Expect(after.failureRate).To(BeNumerically("~", failureRate, 1e-12))
			Expect(after.ejectedUntil).To(Equal(ejectedUntil))
		},
		Entry("good: the row ends, the mean falls, an ejection stays", health{3, 0.5, earlier}, Good, 0, 0.4, earlier),
		Entry("failed: the mean rises alone", health{1, 0.5, time.Time{}}, Failed, 1, 0.6, time.Time{}),
		Entry("refused: a quarter of an ejection, no failure", health{1, 0.5, time.Time{}}, Refused, 1, 0.5, noon.Add(100*time.Millisecond)),
		Entry("refused: replaces a longer ejection", health{1, 0.5, earlier}, Refused, 1, 0.5, noon.Add(100*time.Millisecond)),
		Entry("broken once: no ejection", health{}, Broken, 1, 0.2, time.Time{}),
		Entry("broken twice in a row: ejected", health{1, 0.2, time.Time{}}, Broken, 2, 0.36, noon.Add(ejection)),
		Entry("broken again: twice as long", health{2, 0, time.Time{}}, Broken, 3, 0.2, noon.Add(2*ejection)),
		Entry("moved: the longest ejection, no failure", health{}, Moved, 0, 0.0, noon.Add(maxEjection)),
		Entry("unclear: nothing changes", health{1, 0.5, earlier}, Unclear, 1, 0.5, earlier),
	)

	DescribeTable("ejects for",
		func(failuresInRow int, expected time.Duration) {
			Expect(ejectionAfter(failuresInRow, ejection)).To(Equal(expected))
		},
		Entry("the first time", ejectAfterFailures, ejection),
		Entry("doubled each time", ejectAfterFailures+3, 8*ejection),
		Entry("no longer than the bound", ejectAfterFailures+4, maxEjection),
		Entry("no longer than the bound after many", 1<<40, maxEjection),
	)

	It("ends an ejection at its time", func() {
		h := health{ejectedUntil: noon}
		Expect(h.ejected(noon.Add(-1))).To(BeTrue())
		Expect(h.ejected(noon)).To(BeFalse())
		Expect((&health{}).ejected(noon)).To(BeFalse())
	})
})
