// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
)

// These specs guard against counts that are lost, counted twice or shared between routers.
var _ = ginkgo.Describe("Evidence", func() {
	ginkgo.It("counts outcomes by route and side", func() {
		var e Evidence
		e.record(&Sample{Route: "a", Outcome: Good, Head: 3 * time.Millisecond, Answered: true}, true)
		e.record(&Sample{Route: "a", Outcome: Bad, Head: time.Hour}, true)
		e.record(&Sample{Route: "a", Outcome: Inconclusive, Head: 0}, false)
		e.record(&Sample{Route: "b", Outcome: Good, Answered: true}, false)
		Expect(e.Routes["a"].Target.Sent).To(Equal(int64(2)))
		Expect(e.Routes["a"].Target.Good).To(Equal(int64(1)))
		Expect(e.Routes["a"].Target.Bad).To(Equal(int64(1)))
		Expect(e.Routes["a"].Target.Heads).To(HaveLen(headBucket(3*time.Millisecond) + 1))
		Expect(e.Routes["a"].Baseline).To(Equal(Arm{Sent: 1, Unfinished: []int64{1}}))
		Expect(e.Routes["b"].Baseline).To(Equal(Arm{Sent: 1, Good: 1, Heads: []int64{1}}))
	})

	ginkgo.It("adds the counts of routers, and shares nothing with them", func() {
		var one, two, sum Evidence
		one.record(&Sample{Route: "a", Outcome: Good, Head: time.Millisecond}, true)
		two.record(&Sample{Route: "a", Outcome: Good, Head: time.Second}, true)
		two.record(&Sample{Route: "b", Outcome: Bad}, false)
		sum.Add(one)
		sum.Add(two)
		Expect(sum.Routes["a"].Target.Good).To(Equal(int64(2)))
		Expect(sum.Routes["b"].Baseline.Bad).To(Equal(int64(1)))
		sum.Add(two)
		Expect(two.Routes["a"].Target).To(Equal(two.clone().Routes["a"].Target))
		Expect(two.Routes["a"].Target.Good).To(Equal(int64(1)))
	})

	ginkgo.It("counts attempts at instances that are down by instance at the target, and as bad answers at the baseline", func() {
		var one, sum Evidence
		for range 3 {
			one.record(&Sample{Route: "a", Outcome: Down, Upstream: "i-1"}, true)
			one.record(&Sample{Route: "a", Outcome: Down, Upstream: "i-2"}, false)
		}
		sum.Add(one)
		sum.Add(one)
		Expect(sum.Down).To(Equal(map[granitehoist.Upstream]int64{"i-1": 6}))
		Expect(sum.Routes["a"].Target).To(Equal(Arm{Sent: 6}))
		Expect(sum.Routes["a"].Baseline).To(Equal(Arm{Sent: 6, Bad: 6}))
		for i := range 2 * maxDownInstances {
			one.record(&Sample{Route: "a", Outcome: Down, Upstream: granitehoist.Upstream(fmt.Sprint(i))}, true)
		}
		Expect(one.Down).To(HaveLen(maxDownInstances))
	})

	ginkgo.It("keeps a limited number of routes", func() {
		var e Evidence
		for i := range 2 * maxRoutes {
			e.record(&Sample{Route: fmt.Sprint(i), Outcome: Bad}, true)
		}
		Expect(e.Routes).To(HaveLen(maxRoutes + 1))
		Expect(e.Routes[otherRoutes].Target.Bad).To(Equal(int64(maxRoutes)))
	})

	ginkgo.It("is small on the wire and accepts histograms of other lengths", func() {
		var e Evidence
		for i := range 1000 {
			e.record(&Sample{Route: "parcels", Outcome: Good, Head: time.Duration(20+i%80) * time.Millisecond}, i%10 == 0)
		}
		raw, err := json.Marshal(e)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(raw)).To(BeNumerically("<", 400))
		var sum Evidence
		sum.Add(Evidence{Routes: map[string]RouteEvidence{"a": {Target: Arm{Heads: make([]int64, 10*headBuckets)}}}})
		Expect(sum.Routes["a"].Target.Heads).To(HaveLen(headBuckets))
	})

	ginkgo.It("has buckets that grow with the head time by a constant factor", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			head := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "head"))
			bucket := headBucket(head)
			if bucket < 0 || bucket >= headBuckets {
				t.Fatalf("%s is in bucket %d", head, bucket)
			}
			if head >= headUnit && head < 10*time.Second && headBucket(2*head)-bucket != bucketsPerDoubling {
				t.Fatalf("%s is in bucket %d, twice as long in %d", head, bucket, headBucket(2*head))
			}
		})
	})
})
