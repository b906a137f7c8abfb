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
	DescribeTable("decides on requests and on readiness",
		func(a availability, refused granitehoist.Code, ready bool) {
			Expect(granitehoist.CodeOf(a.refusal())).To(Equal(refused))
			Expect(a.readiness().ready).To(Equal(ready))
		},
		Entry("with documents", availability{documents: 1}, granitehoist.Served, true),
		Entry("before the first document", availability{}, granitehoist.NotReady, false),
		Entry("at the start of a planned stop", availability{documents: 1, unready: true}, granitehoist.Served, false),
		Entry("while draining", availability{documents: 1, unready: true, draining: true}, granitehoist.Draining, false),
		Entry("while draining without documents", availability{draining: true}, granitehoist.Draining, false),
	)
})

var _ = Describe("retryAfter", func() {
	after := func(code granitehoist.Code, own time.Duration) time.Duration {
		return retryAfter(&granitehoist.Error{Code: code, RetryAfter: own})
	}

	DescribeTable("returns the delay for a refused caller",
		func(code granitehoist.Code, own, want time.Duration) { Expect(after(code, own)).To(Equal(want)) },
		Entry("no upstream", granitehoist.NoUpstream, time.Duration(0), time.Second),
		Entry("no capacity", granitehoist.Overloaded, time.Duration(0), time.Second),
		Entry("full ledger", granitehoist.BillsFull, time.Duration(0), 10*time.Second),
		Entry("unreachable budget with a delay in the error", granitehoist.BudgetUnreachable, 5*time.Second, 5*time.Second),
		Entry("exhausted budget", granitehoist.BudgetExhausted, time.Duration(0), time.Duration(0)),
		Entry("invalid request", granitehoist.BadRequest, time.Duration(0), time.Duration(0)),
		Entry("router that is draining", granitehoist.Draining, time.Duration(0), time.Duration(0)),
	)

	It("rounds up to whole seconds", func() {
		Expect(ceilSeconds(time.Second)).To(Equal(1))
		Expect(ceilSeconds(time.Second + time.Millisecond)).To(Equal(2))
	})
})

var _ = Describe("decideRetry", func() {
	DescribeTable("decides whether to retry",
		func(s attemptState, want retryDecision) { Expect(decideRetry(s)).To(Equal(want)) },
		Entry("after a refusal", attemptState{attempts: 1, code: granitehoist.UpstreamRefused}, retryAllowed),
		Entry("after a refusal of a request that is not repeatable", attemptState{attempts: 2, code: granitehoist.UpstreamRefused}, retryAllowed),
		Entry("after a lost response", attemptState{attempts: 1, code: granitehoist.UpstreamLost, repeatable: true}, retryAllowed),
		Entry("after a lost response to a request that is not repeatable", attemptState{attempts: 1, code: granitehoist.UpstreamLost}, stopMayHaveRun),
		Entry("after the last attempt", attemptState{attempts: maxAttempts, code: granitehoist.UpstreamRefused, repeatable: true}, stopMaxAttempts),
		Entry("after a part of the response", attemptState{attempts: 1, code: granitehoist.UpstreamCut, repeatable: true, responseStarted: true}, stopResponseStarted),
		Entry("after the deadline", attemptState{attempts: 1, code: granitehoist.UpstreamRefused, repeatable: true, contextDone: true}, stopContextDone),
		Entry("after an invalid request", attemptState{attempts: 1, code: granitehoist.BadRequest, repeatable: true}, stopBadRequest),
	)
})

var _ = Describe("The result of several attempts", func() {
	lost := granitehoist.Errorf(granitehoist.UpstreamLost, "")
	refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "")

	DescribeTable("overallError keeps the error of an attempt that may have run",
		func(uncertain, last error, want granitehoist.Code) {
			Expect(granitehoist.CodeOf(overallError(uncertain, last))).To(Equal(want))
		},
		Entry("one refusal", nil, refused, granitehoist.UpstreamRefused),
		Entry("a refusal after a lost response", lost, refused, granitehoist.UpstreamLost),
		Entry("a truncated response after a lost one", lost, granitehoist.Errorf(granitehoist.UpstreamCut, ""), granitehoist.UpstreamCut),
	)

	DescribeTable("finalError returns CallerGone for an attempt canceled by its caller",
		func(err error, left bool, want granitehoist.Code) {
			Expect(granitehoist.CodeOf(finalError(err, left))).To(Equal(want))
		},
		Entry("success", nil, true, granitehoist.Served),
		Entry("a lost response, caller connected", lost, false, granitehoist.UpstreamLost),
		Entry("a lost response, caller disconnected", lost, true, granitehoist.CallerGone),
		Entry("a refusal, caller disconnected", refused, true, granitehoist.UpstreamRefused),
	)

	DescribeTable("upstreamResult classifies an attempt for the selection of upstreams",
		func(err error, ended bool, want route.Result) {
			Expect(upstreamResult(err, ended)).To(Equal(want))
		},
		Entry("success", nil, false, route.Succeeded),
		Entry("success at the deadline", nil, true, route.Succeeded),
		Entry("an invalid request", granitehoist.Errorf(granitehoist.BadRequest, ""), false, route.Succeeded),
		Entry("a refusal", refused, false, route.Failed),
		Entry("an error without a code", errors.New("x"), false, route.Failed),
		Entry("an attempt that the deadline ended", lost, true, route.Inconclusive),
		Entry("a caller that disconnected", granitehoist.Errorf(granitehoist.CallerGone, ""), false, route.Inconclusive),
		Entry("a timeout of the transport", context.DeadlineExceeded, false, route.Failed),
	)
})

var _ = Describe("decideSettlement", func() {
	reported := granitehoist.Usage{Prompt: 1, Reported: true}

	DescribeTable("decides how an attempt is settled",
		func(a attemptOutcome, want settlement) { Expect(decideSettlement(a)).To(Equal(want)) },
		Entry("refused", attemptOutcome{code: granitehoist.UpstreamRefused, usage: reported}, keepReservation),
		Entry("a plain service refused", attemptOutcome{code: granitehoist.UpstreamRefused, plain: true}, keepReservation),
		Entry("a plain service responded", attemptOutcome{code: granitehoist.Served, plain: true}, settleMaxCost),
		Entry("the response of a plain service was lost", attemptOutcome{code: granitehoist.UpstreamLost, plain: true}, settleMaxCost),
		Entry("an engine responded", attemptOutcome{code: granitehoist.Served, usage: reported}, settleUsage),
		Entry("an engine responded without usage", attemptOutcome{code: granitehoist.Served}, queryUpstream),
		Entry("the response of an engine was truncated after its usage", attemptOutcome{code: granitehoist.UpstreamCut, usage: reported}, queryUpstream),
		Entry("the response of an engine was lost", attemptOutcome{code: granitehoist.UpstreamLost}, queryUpstream),
	)

	DescribeTable("isCharged decides whether the request gets a charge",
		func(c requestCost, want bool) { Expect(isCharged(c)).To(Equal(want)) },
		Entry("nothing ran", requestCost{}, false),
		Entry("an engine responded", requestCost{mayHaveRun: true, tokens: 10}, true),
		Entry("an engine reports that the attempt never arrived", requestCost{mayHaveRun: true, wasUnsettled: true}, false),
		Entry("an engine reports the cost of a lost attempt", requestCost{mayHaveRun: true, wasUnsettled: true, tokens: 5}, true),
		Entry("a plain service without a price", requestCost{mayHaveRun: true, plain: true}, true),
	)
})

var _ = Describe("The bound of a completion", func() {
	service := config.Service{MaxOutput: 100, DefaultOutput: 50}
	tokens := func(n granitehoist.Tokens) *granitehoist.Tokens { return &n }

	DescribeTable("maxPromptTokens adds the template's tokens to one for each byte",
		func(p promptSize, want granitehoist.Tokens) { Expect(maxPromptTokens(p)).To(Equal(want)) },
		Entry("a plain prompt", promptSize{textBytes: 10}, granitehoist.Tokens(74)),
		Entry("two messages", promptSize{textBytes: 10, messages: 2}, granitehoist.Tokens(106)),
		Entry("tools", promptSize{textBytes: 10, messages: 1, schemaBytes: 100}, granitehoist.Tokens(290)),
	)

	DescribeTable("maxOutputTokens is capped at the maximum of the service",
		func(requested *granitehoist.Tokens, want granitehoist.Tokens) {
			Expect(maxOutputTokens(requested, service)).To(Equal(want))
		},
		Entry("none requested", nil, granitehoist.Tokens(50)),
		Entry("fewer", tokens(7), granitehoist.Tokens(7)),
		Entry("more", tokens(1000), granitehoist.Tokens(100)),
	)
})

var _ = Describe("Options", func() {
	It("invert the priority for engines", func() {
		Expect(enginePriority(granitehoist.MaxPriority)).To(Equal(granitehoist.MinPriority))
		Expect(enginePriority(granitehoist.MinPriority)).To(Equal(granitehoist.MaxPriority))
	})

	DescribeTable("are parsed from the headers",
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
