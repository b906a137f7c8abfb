// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/route"
)

var _ = Describe("availability", func() {
	DescribeTable("decides what requests and balancers hear",
		func(a availability, refused granitehoist.Code, ready bool) {
			Expect(granitehoist.CodeOf(a.refusal())).To(Equal(refused))
			Expect(a.readiness().ready).To(Equal(ready))
		},
		Entry("with documents", availability{documents: 1}, granitehoist.Served, true),
		Entry("before the first document", availability{}, granitehoist.NotReady, false),
		Entry("at the start of a stop", availability{documents: 1, unready: true}, granitehoist.Served, false),
		Entry("while it drains", availability{documents: 1, unready: true, draining: true}, granitehoist.Draining, false),
		Entry("while it drains without documents", availability{draining: true}, granitehoist.Draining, false),
	)
})

var _ = Describe("retryAfter", func() {
	after := func(code granitehoist.Code, own time.Duration) time.Duration {
		return retryAfter(&granitehoist.Error{Code: code, RetryAfter: own})
	}

	DescribeTable("decides when a refused caller may try again",
		func(code granitehoist.Code, own, want time.Duration) { Expect(after(code, own)).To(Equal(want)) },
		Entry("no upstream", granitehoist.NoUpstream, time.Duration(0), time.Second),
		Entry("no room", granitehoist.Overloaded, time.Duration(0), time.Second),
		Entry("full ledger", granitehoist.BillsFull, time.Duration(0), 10*time.Second),
		Entry("tokens that can't be had, with a time of their own", granitehoist.BudgetUnreachable, 5*time.Second, 5*time.Second),
		Entry("a budget that is used up", granitehoist.BudgetExhausted, time.Duration(0), time.Duration(0)),
		Entry("a wrong request", granitehoist.BadRequest, time.Duration(0), time.Duration(0)),
		Entry("a router that stops", granitehoist.Draining, time.Duration(0), time.Duration(0)),
	)

	It("rounds up to whole seconds", func() {
		Expect(wholeSeconds(time.Second)).To(Equal(1))
		Expect(wholeSeconds(time.Second + time.Millisecond)).To(Equal(2))
	})
})

var _ = Describe("decideRetry", func() {
	DescribeTable("decides whether another attempt may follow",
		func(s attemptState, want retryVerdict) { Expect(decideRetry(s)).To(Equal(want)) },
		Entry("after a refusal", attemptState{made: 1, code: granitehoist.UpstreamRefused}, retryAllowed),
		Entry("after a refusal of a request that may run once", attemptState{made: 2, code: granitehoist.UpstreamRefused}, retryAllowed),
		Entry("after a lost answer", attemptState{made: 1, code: granitehoist.UpstreamLost, repeatable: true}, retryAllowed),
		Entry("after a lost answer of a request that may run once", attemptState{made: 1, code: granitehoist.UpstreamLost}, stopMayHaveRun),
		Entry("after the last attempt", attemptState{made: maxAttempts, code: granitehoist.UpstreamRefused, repeatable: true}, stopTooMany),
		Entry("after a part of the answer", attemptState{made: 1, code: granitehoist.UpstreamCut, repeatable: true, answerStarted: true}, stopAnswerStarted),
		Entry("after the deadline", attemptState{made: 1, code: granitehoist.UpstreamRefused, repeatable: true, ended: true}, stopEnded),
		Entry("after a request that no upstream can read", attemptState{made: 1, code: granitehoist.BadRequest, repeatable: true}, stopCallersFault),
	)
})

var _ = Describe("The result of several attempts", func() {
	lost := granitehoist.Errorf(granitehoist.UpstreamLost, "")
	refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "")

	DescribeTable("overallError never says not run after an attempt that may have run",
		func(uncertain, last error, want granitehoist.Code) {
			Expect(granitehoist.CodeOf(overallError(uncertain, last))).To(Equal(want))
		},
		Entry("one refusal", nil, refused, granitehoist.UpstreamRefused),
		Entry("a refusal after a lost answer", lost, refused, granitehoist.UpstreamLost),
		Entry("a cut answer after a lost one", lost, granitehoist.Errorf(granitehoist.UpstreamCut, ""), granitehoist.UpstreamCut),
	)

	DescribeTable("finalError puts down to the caller what its leaving ended",
		func(err error, left bool, want granitehoist.Code) {
			Expect(granitehoist.CodeOf(finalError(err, left))).To(Equal(want))
		},
		Entry("success", nil, true, granitehoist.Served),
		Entry("a lost answer with the caller there", lost, false, granitehoist.UpstreamLost),
		Entry("a lost answer after the caller left", lost, true, granitehoist.CallerGone),
		Entry("a refusal after the caller left", refused, true, granitehoist.UpstreamRefused),
	)

	DescribeTable("upstreamResult says what the attempt tells of its upstream",
		func(err error, ended bool, want route.Result) {
			Expect(upstreamResult(err, ended)).To(Equal(want))
		},
		Entry("success", nil, false, route.Good),
		Entry("success at the deadline", nil, true, route.Good),
		Entry("a request that it can't read", granitehoist.Errorf(granitehoist.BadRequest, ""), false, route.Good),
		Entry("a refusal", refused, false, route.Bad),
		Entry("an error without a code", errors.New("x"), false, route.Bad),
		Entry("an attempt that the deadline ended", lost, true, route.Unclear),
		Entry("a caller that left", granitehoist.Errorf(granitehoist.CallerGone, ""), false, route.Unclear),
		Entry("a deadline of the transport's own", context.DeadlineExceeded, false, route.Bad),
	)
})

var _ = Describe("decideSettlement", func() {
	reported := granitehoist.Usage{Prompt: 1, Reported: true}

	DescribeTable("decides how an attempt is paid for",
		func(a attemptEnd, want settlement) { Expect(decideSettlement(a)).To(Equal(want)) },
		Entry("refused", attemptEnd{code: granitehoist.UpstreamRefused, usage: reported}, keepReservation),
		Entry("a plain service refused", attemptEnd{code: granitehoist.UpstreamRefused, plain: true}, keepReservation),
		Entry("a plain service answered", attemptEnd{code: granitehoist.Served, plain: true}, settleBound),
		Entry("a plain service's answer lost", attemptEnd{code: granitehoist.UpstreamLost, plain: true}, settleBound),
		Entry("an engine answered", attemptEnd{code: granitehoist.Served, usage: reported}, settleUsage),
		Entry("an engine answered without usage", attemptEnd{code: granitehoist.Served}, askUpstream),
		Entry("an engine's answer cut after its usage", attemptEnd{code: granitehoist.UpstreamCut, usage: reported}, askUpstream),
		Entry("an engine's answer lost", attemptEnd{code: granitehoist.UpstreamLost}, askUpstream),
	)

	DescribeTable("isCharged decides whether the request gets a charge",
		func(c requestCost, want bool) { Expect(isCharged(c)).To(Equal(want)) },
		Entry("nothing ran", requestCost{}, false),
		Entry("an engine answered", requestCost{mayHaveRun: true, tokens: 10}, true),
		Entry("an engine says that the attempt never arrived", requestCost{mayHaveRun: true, wasUnsettled: true}, false),
		Entry("an engine says what a lost attempt cost", requestCost{mayHaveRun: true, wasUnsettled: true, tokens: 5}, true),
		Entry("a plain service without a price", requestCost{mayHaveRun: true, plain: true}, true),
	)
})

var _ = Describe("The bound of a completion", func() {
	service := config.Service{MaxOutput: 100, DefaultOutput: 50}
	tokens := func(n granitehoist.Tokens) *granitehoist.Tokens { return &n }

	DescribeTable("promptBound counts a token for each byte and what the template adds",
		func(p promptSize, want granitehoist.Tokens) { Expect(promptBound(p)).To(Equal(want)) },
		Entry("a plain prompt", promptSize{textBytes: 10}, granitehoist.Tokens(74)),
		Entry("two messages", promptSize{textBytes: 10, messages: 2}, granitehoist.Tokens(106)),
		Entry("tools", promptSize{textBytes: 10, messages: 1, schemaBytes: 100}, granitehoist.Tokens(290)),
	)

	DescribeTable("outputBound keeps to the service's maximum",
		func(asked *granitehoist.Tokens, want granitehoist.Tokens) {
			Expect(outputBound(asked, service)).To(Equal(want))
		},
		Entry("none named", nil, granitehoist.Tokens(50)),
		Entry("fewer", tokens(7), granitehoist.Tokens(7)),
		Entry("more", tokens(1000), granitehoist.Tokens(100)),
	)
})

var _ = Describe("priorities", func() {
	It("are sent to engines in the order in which those serve", func() {
		Expect(enginePriority(granitehoist.MaxPriority)).To(Equal(granitehoist.MinPriority))
		Expect(enginePriority(granitehoist.MinPriority)).To(Equal(granitehoist.MaxPriority))
	})

	DescribeTable("and other options are read from the headers",
		func(name, value string, want options) {
			got, err := parseOptions(http.Header{name: {value}}, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(want))
		},
		Entry("none", "X-Other", "1", options{priority: granitehoist.DefaultPriority, timeout: time.Minute}),
		Entry("priority", HeaderPriority, "9", options{priority: 9, timeout: time.Minute}),
		Entry("deadline", HeaderDeadline, "250", options{priority: granitehoist.DefaultPriority, timeout: 250 * time.Millisecond}),
		Entry("longest deadline", HeaderDeadline, "86400000", options{priority: granitehoist.DefaultPriority, timeout: 24 * time.Hour}),
		Entry("once", HeaderOnce, "true", options{priority: granitehoist.DefaultPriority, timeout: time.Minute, once: true}),
		Entry("budget", HeaderBudget, "winter", options{priority: granitehoist.DefaultPriority, timeout: time.Minute, budget: "winter"}),
	)
})
