// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
)

// expectError asserts the code, the Retry-After and the detail of an error.
func expectError(err error, code granitehoist.Code, retryAfter time.Duration, detail string) {
	ginkgo.GinkgoHelper()
	var e *granitehoist.Error
	Expect(errors.As(err, &e)).To(BeTrue())
	Expect(e.Code).To(Equal(code))
	Expect(e.RetryAfter).To(Equal(retryAfter))
	Expect(e.Detail).To(Equal(detail))
}

var _ = ginkgo.Describe("A refusal", func() {
	ginkgo.DescribeTable("has the code and the Retry-After",
		func(r refusal, timeLeft time.Duration, code granitehoist.Code, retryAfter time.Duration) {
			expectError(r.error(timeLeft), code, retryAfter, "")
		},
		ginkgo.Entry("without a configuration", configurationMissing, time.Duration(0), granitehoist.NotReady, 500*time.Millisecond),
		ginkgo.Entry("for an unknown route", routeUnknown, time.Minute, granitehoist.NotFound, time.Duration(0)),
		ginkgo.Entry("without a key", keyMissing, time.Minute, granitehoist.MissingKey, time.Duration(0)),
		ginkgo.Entry("for an unknown key", keyUnknown, time.Minute, granitehoist.WrongKey, time.Duration(0)),
		ginkgo.Entry("while the router is stopping", routerStopping, time.Duration(0), granitehoist.Draining, 50*time.Millisecond),
		ginkgo.Entry("without the service of the route", serviceMissing, time.Duration(0), granitehoist.NoUpstream, 500*time.Millisecond),
		ginkgo.Entry("for more than the prepaid total", largerThanBudget, time.Minute, granitehoist.BudgetExhausted, time.Duration(0)),
		ginkgo.Entry("for an exhausted budget", budgetExhausted, time.Minute, granitehoist.BudgetExhausted, 5*time.Second),
		ginkgo.Entry("for a scarce budget", budgetScarce, time.Minute, granitehoist.BudgetUnreachable, 900*time.Millisecond),
		ginkgo.Entry("for withheld tokens", budgetWithheld, time.Minute, granitehoist.BudgetUnreachable, 5*time.Second),
		ginkgo.Entry("while the store is unresponsive", storeUnresponsive, time.Minute, granitehoist.BudgetUnreachable, 4500*time.Millisecond),
		ginkgo.Entry("for an exhausted budget, with 10 s left", budgetExhausted, 10*time.Second, granitehoist.BudgetExhausted, 3*time.Second),
		ginkgo.Entry("for a scarce budget, with 10 s left", budgetScarce, 10*time.Second, granitehoist.BudgetUnreachable, 900*time.Millisecond),
		ginkgo.Entry("while the store is unresponsive, with 10 s left", storeUnresponsive, 10*time.Second, granitehoist.BudgetUnreachable, 3*time.Second),
		ginkgo.Entry("while the store is unresponsive, with 100 ms left", storeUnresponsive, 100*time.Millisecond, granitehoist.BudgetUnreachable, 50*time.Millisecond),
		ginkgo.Entry("while the store is unresponsive, after the timeout", storeUnresponsive, -time.Second, granitehoist.BudgetUnreachable, 50*time.Millisecond),
		ginkgo.Entry("without an instance", noInstance, time.Duration(0), granitehoist.NoUpstream, 500*time.Millisecond),
		ginkgo.Entry("by an instance", refusedByInstance, time.Duration(0), granitehoist.UpstreamRefused, 300*time.Millisecond),
	)

	ginkgo.It("means not run for every reason", func() {
		for r := noRefusal + 1; int(r) < len(refusalRules); r++ {
			Expect(r.error(time.Minute).Code.Info().Execution).To(Equal(granitehoist.NotRun), "refusal %d", r)
		}
	})

	ginkgo.DescribeTable("corresponds to the outcome of a reservation",
		func(o escrow.Outcome, want refusal) { Expect(budgetRefusal(o)).To(Equal(want)) },
		ginkgo.Entry("granted", escrow.Granted, noRefusal),
		ginkgo.Entry("exhausted", escrow.Exhausted, budgetExhausted),
		ginkgo.Entry("scarce", escrow.Scarce, budgetScarce),
		ginkgo.Entry("withheld", escrow.Withheld, budgetWithheld),
		ginkgo.Entry("unreachable", escrow.Unreachable, storeUnresponsive),
	)

	ginkgo.It("by an instance has the Retry-After of that instance", func() {
		expectError(instanceRefusal(2*time.Second), granitehoist.UpstreamRefused, 2*time.Second, "")
		expectError(instanceRefusal(0), granitehoist.UpstreamRefused, 300*time.Millisecond, "")
	})

	ginkgo.It("without an instance keeps the detail and the Retry-After of the balancer", func() {
		stated := granitehoist.Errorf(granitehoist.NoUpstream, "service desk")
		expectError(withRetryAfter(stated), granitehoist.NoUpstream, 500*time.Millisecond, "service desk")
		stated.RetryAfter = time.Second
		expectError(withRetryAfter(stated), granitehoist.NoUpstream, time.Second, "service desk")
	})
})
