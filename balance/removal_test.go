// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An instance whose announcement was removed", func() {
	DescribeTable("is usable and forgettable",
		func(since time.Duration, inFlight int, usable, forgotten bool) {
			Expect(usableAfterRemoval(noon.Add(-since), noon)).To(Equal(usable))
			Expect(forgettable(noon.Add(-since), inFlight, noon)).To(Equal(forgotten))
		},
		Entry("at once", time.Duration(0), 0, true, false),
		Entry("just before the grace ends", removedGrace-1, 0, true, false),
		Entry("when the grace ends", removedGrace, 0, false, true),
		Entry("after the grace with an attempt in progress", time.Hour, 1, false, false),
	)

	It("is never forgotten while it is announced", func() {
		Expect(forgettable(time.Time{}, 0, noon)).To(BeFalse())
	})
})
