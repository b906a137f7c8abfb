// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The failures of the store", func() {
	failure := errors.New("no answer")

	DescribeTable("begin with the first and end with a success",
		func(steps []error, want []storeState) {
			var f storeFailures
			var got []storeState
			for _, err := range steps {
				got = append(got, f.note(err))
			}
			Expect(got).To(Equal(want))
		},
		Entry("no failure", []error{nil, nil}, []storeState{storeAsBefore, storeAsBefore}),
		Entry("one", []error{failure, nil, nil}, []storeState{storeLost, storeRegained, storeAsBefore}),
		Entry("several", []error{nil, failure, failure, nil}, []storeState{storeAsBefore, storeLost, storeAsBefore, storeRegained}),
		Entry("two outages", []error{failure, nil, failure}, []storeState{storeLost, storeRegained, storeLost}),
	)

	DescribeTable("pause ever longer, up to a bound",
		func(first, longest time.Duration, want ...time.Duration) {
			for i, pause := range want {
				f := storeFailures{count: i + 1}
				Expect(f.pause(first, longest)).To(Equal(pause), "after %d failures", i+1)
			}
		},
		Entry("twice the first", 250*time.Millisecond, 500*time.Millisecond, 250*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond),
		Entry("a bound that is no multiple", 2*time.Second, 7*time.Second, 2*time.Second, 4*time.Second, 7*time.Second, 7*time.Second),
		Entry("no longer than the first", time.Second, time.Second, time.Second, time.Second, time.Second),
	)

	DescribeTable("shorten the waits of watches, but for every fourth",
		func(isRelay bool, full time.Duration) {
			for count, want := range []time.Duration{full, probeWait, probeWait, probeWait, full, probeWait} {
				f := storeFailures{count: count}
				Expect(f.watchWait(isRelay)).To(Equal(want), "after %d failures", count)
			}
		},
		Entry("a router", false, time.Duration(0)),
		Entry("a relay", true, relayWatchWait),
	)

	It("shorten the first list, but for every fourth", func() {
		for count, want := range []time.Duration{firstListTimeout, firstListTimeout, firstListTimeout, 0, firstListTimeout} {
			f := storeFailures{count: count}
			Expect(f.listTimeout()).To(Equal(want), "after %d failures", count)
		}
	})
})
