// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Store failures", func() {
	failure := errors.New("no response")

	DescribeTable("begin with the first failed step and end with a success",
		func(steps []error, want []storeTransition) {
			var f storeFailures
			var got []storeTransition
			for _, err := range steps {
				got = append(got, f.record(err))
			}
			Expect(got).To(Equal(want))
		},
		Entry("no failure", []error{nil, nil}, []storeTransition{storeUnchanged, storeUnchanged}),
		Entry("one", []error{failure, nil, nil}, []storeTransition{storeLost, storeRegained, storeUnchanged}),
		Entry("several", []error{nil, failure, failure, nil}, []storeTransition{storeUnchanged, storeLost, storeUnchanged, storeRegained}),
		Entry("two outages", []error{failure, nil, failure}, []storeTransition{storeLost, storeRegained, storeLost}),
	)

	DescribeTable("double the retry delay up to a bound",
		func(first, longest time.Duration, want ...time.Duration) {
			for i, delay := range want {
				f := storeFailures{consecutive: i + 1}
				Expect(f.retryDelay(first, longest)).To(Equal(delay), "after %d failures", i+1)
			}
		},
		Entry("twice the first", 250*time.Millisecond, 500*time.Millisecond, 250*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond),
		Entry("a bound that is not a power of two times the first", 2*time.Second, 7*time.Second, 2*time.Second, 4*time.Second, 7*time.Second, 7*time.Second),
		Entry("a bound equal to the first", time.Second, time.Second, time.Second, time.Second, time.Second),
	)

	DescribeTable("shorten the timeouts of watches except every fourth",
		func(isRelay bool, full time.Duration) {
			for count, want := range []time.Duration{full, probeWatchTimeout, probeWatchTimeout, probeWatchTimeout, full, probeWatchTimeout} {
				f := storeFailures{consecutive: count}
				Expect(f.watchWait(0, 0, isRelay)).To(Equal(want), "after %d failures", count)
			}
		},
		Entry("a router", false, time.Duration(0)),
		Entry("a relay", true, relayWatchAge),
	)

	It("shorten the timeout of the first list except every fourth time", func() {
		for count, want := range []time.Duration{firstListTimeout, firstListTimeout, firstListTimeout, 0, firstListTimeout} {
			f := storeFailures{consecutive: count}
			Expect(f.listTimeout()).To(Equal(want), "after %d failures", count)
		}
	})
})
