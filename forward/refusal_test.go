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
	ginkgo.DescribeTable("tells its code and when to retry",
		func(r refusal, timeLeft time.Duration, code granitehoist.Code, retryAfter time.Duration) {
			expectError(r.error(timeLeft), code, retryAfter, "")
		},
		ginkgo.Entry("without a configuration", configurationMissing, time.Duration(0), granitehoist.NotReady, 500*time.Millisecond),
		ginkgo.Entry("of an unknown route", routeUnknown, time.Minute, granitehoist.NotFound, time.Duration(0)),
		ginkgo.Entry("without a key", keyMissing, time.Minute, granitehoist.MissingKey, time.Duration(0)),
		ginkgo.Entry("of an unknown key", keyUnknown, time.Minute, granitehoist.WrongKey, time.Duration(0)),
		ginkgo.Entry("while the router stops", routerStopping, time.Duration(0), granitehoist.Draining, 50*time.Millisecond),
		ginkgo.Entry("without the service", serviceMissing, time.Duration(0), granitehoist.NoUpstream, 500*time.Millisecond),
		ginkgo.Entry("of more than the budget", largerThanBudget, time.Minute, granitehoist.BudgetExhausted, time.Duration(0)),
		ginkgo.Entry("of a spent budget", budgetSpent, time.Minute, granitehoist.BudgetExhausted, 5*time.Second),
		ginkgo.Entry("of a scarce budget", budgetScarce, time.Minute, granitehoist.BudgetUnreachable, 900*time.Millisecond),
		ginkgo.Entry("of a large request near the end of a budget", budgetWithheld, time.Minute, granitehoist.BudgetUnreachable, 5*time.Second),
		ginkgo.Entry("while the store is silent", storeSilent, time.Minute, granitehoist.BudgetUnreachable, 4500*time.Millisecond),
		ginkgo.Entry("of a spent budget, with 10 s left", budgetSpent, 10*time.Second, granitehoist.BudgetExhausted, 3*time.Second),
		ginkgo.Entry("of a scarce budget, with 10 s left", budgetScarce, 10*time.Second, granitehoist.BudgetUnreachable, 900*time.Millisecond),
		ginkgo.Entry("while the store is silent, with 10 s left", storeSilent, 10*time.Second, granitehoist.BudgetUnreachable, 3*time.Second),
		ginkgo.Entry("while the store is silent, with 100 ms left", storeSilent, 100*time.Millisecond, granitehoist.BudgetUnreachable, 50*time.Millisecond),
		ginkgo.Entry("while the store is silent, too late", storeSilent, -time.Second, granitehoist.BudgetUnreachable, 50*time.Millisecond),
		ginkgo.Entry("without an instance", noInstance, time.Duration(0), granitehoist.NoUpstream, 500*time.Millisecond),
		ginkgo.Entry("by an instance", refusedByInstance, time.Duration(0), granitehoist.UpstreamRefused, 300*time.Millisecond),
	)

	ginkgo.It("says of each reason that nothing ran", func() {
		for r := noRefusal + 1; int(r) < len(refusalRules); r++ {
			Expect(r.error(time.Minute).Code.Info().Fate).To(Equal(granitehoist.NotRun), "refusal %d", r)
		}
	})

	ginkgo.DescribeTable("follows the outcome of a reservation",
		func(o escrow.Outcome, want refusal) { Expect(budgetRefusal(o)).To(Equal(want)) },
		ginkgo.Entry("granted", escrow.Granted, noRefusal),
		ginkgo.Entry("exhausted", escrow.Exhausted, budgetSpent),
		ginkgo.Entry("scarce", escrow.Scarce, budgetScarce),
		ginkgo.Entry("withheld", escrow.Withheld, budgetWithheld),
		ginkgo.Entry("unreachable", escrow.Unreachable, storeSilent),
	)

	ginkgo.It("by an instance passes on when that instance has room", func() {
		expectError(instanceRefusal(2*time.Second), granitehoist.UpstreamRefused, 2*time.Second, "")
		expectError(instanceRefusal(0), granitehoist.UpstreamRefused, 300*time.Millisecond, "")
	})

	ginkgo.It("without an instance keeps the detail and the Retry-After of the choice", func() {
		stated := granitehoist.Errorf(granitehoist.NoUpstream, "service desk")
		expectError(withRetryAfter(stated), granitehoist.NoUpstream, 500*time.Millisecond, "service desk")
		stated.RetryAfter = time.Second
		expectError(withRetryAfter(stated), granitehoist.NoUpstream, time.Second, "service desk")
	})
})
