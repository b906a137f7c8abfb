// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
)

var (
	safeRoute   = &catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}
	unsafeRoute = &catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 2}
	resumeRoute = &catalog.Route{Kind: catalog.Stream, MaxAttempts: 2, Resume: true}
	streamRoute = &catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}
)

// afterFirst returns the input after a first attempt on route r, with one second left.
func afterFirst(r *catalog.Route, execution granitehoist.ExecutionStatus) retryInput {
	in := retryInput{route: r, execution: execution, attempts: 1, timeLeft: time.Second}
	if execution != granitehoist.NotRun {
		in.runs = 1
	}
	return in
}

// with returns the input with a change.
func with(in retryInput, change func(*retryInput)) retryInput {
	change(&in)
	return in
}

var _ = ginkgo.Describe("Another attempt", func() {
	refused := afterFirst(unsafeRoute, granitehoist.NotRun)
	lostSafe := afterFirst(safeRoute, granitehoist.MayHaveRun)
	cutStream := with(afterFirst(resumeRoute, granitehoist.MayHaveRun), func(in *retryInput) { in.started, in.lastEventID = true, granitehoist.NewEventID(57) })
	never, budgeted := retryDecision{}, retryDecision{allowed: true, usesRetryBudget: true}

	ginkgo.DescribeTable("is decided",
		func(in retryInput, want retryDecision) { Expect(decideRetry(in)).To(Equal(want)) },
		ginkgo.Entry("to follow one that did not run, even if the request is unsafe", refused, budgeted),
		ginkgo.Entry("not to use the retry budget after one that was not sent", with(refused, func(in *retryInput) { in.unsent = true }), retryDecision{allowed: true}),
		ginkgo.Entry("to follow one that may have run if the request is safe", lostSafe, budgeted),
		ginkgo.Entry("not to follow one that may have run if the request is unsafe", afterFirst(unsafeRoute, granitehoist.MayHaveRun), never),
		ginkgo.Entry("not to follow one that may have run if the stream can't be resumed", afterFirst(streamRoute, granitehoist.MayHaveRun), never),
		ginkgo.Entry("to resume a stream after the last event", cutStream, retryDecision{allowed: true, usesRetryBudget: true, afterEvent: granitehoist.NewEventID(57)}),
		ginkgo.Entry("not to resume a response that is not a stream", with(lostSafe, func(in *retryInput) { in.started = true }), never),
		ginkgo.Entry("not to run at more upstreams than the route allows", with(lostSafe, func(in *retryInput) { in.runs = 2 }), never),
		ginkgo.Entry("not to run again if the route sets no maximum", afterFirst(&catalog.Route{Kind: catalog.Safe}, granitehoist.MayHaveRun), never),
		ginkgo.Entry("to follow one that did not run, also at the maximum of the route", with(refused, func(in *retryInput) { in.runs = 2 }), budgeted),
		ginkgo.Entry("not to follow a bad request", with(refused, func(in *retryInput) { in.badRequest = true }), never),
		ginkgo.Entry("not to be the fifth", with(refused, func(in *retryInput) { in.attempts = 4 }), never),
		ginkgo.Entry("to be the fourth", with(refused, func(in *retryInput) { in.attempts = 3 }), budgeted),
		ginkgo.Entry("not to be the fifth, refused dials aside", with(refused, func(in *retryInput) { in.attempts, in.refusedDials = 11, 7 }), never),
		ginkgo.Entry("to follow seven refused dials", with(refused, func(in *retryInput) { in.unsent, in.attempts, in.refusedDials = true, 7, 7 }), retryDecision{allowed: true}),
		ginkgo.Entry("not to follow eight refused dials", with(refused, func(in *retryInput) { in.unsent, in.attempts, in.refusedDials = true, 8, 8 }), never),
		ginkgo.Entry("not to follow once the request has ended", with(refused, func(in *retryInput) { in.ended = true }), never),
		ginkgo.Entry("not to follow with less than 20 ms left", with(refused, func(in *retryInput) { in.timeLeft = 20*time.Millisecond - 1 }), never),
		ginkgo.Entry("to follow with 20 ms left", with(refused, func(in *retryInput) { in.timeLeft = 20 * time.Millisecond }), budgeted),
	)

	ginkgo.It("never follows one that may have run, unless the route allows another run", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			in := retryInput{
				route: &catalog.Route{
					Kind:        rapid.SampledFrom([]catalog.RouteKind{catalog.Safe, catalog.Unsafe, catalog.Stream}).Draw(t, "kind"),
					Resume:      rapid.Bool().Draw(t, "resume"),
					MaxAttempts: rapid.IntRange(0, 5).Draw(t, "max attempts"),
				},
				execution: rapid.SampledFrom([]granitehoist.ExecutionStatus{granitehoist.Ran, granitehoist.MayHaveRun}).Draw(t, "fate"),
				attempts:  rapid.IntRange(1, 5).Draw(t, "attempts"),
				runs:      rapid.IntRange(1, 5).Draw(t, "runs"),
				started:   rapid.Bool().Draw(t, "started"),
				timeLeft:  time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms left")) * time.Millisecond,
			}
			if !decideRetry(in).allowed {
				return
			}
			Expect(in.route.Repeatable()).To(BeTrue())
			Expect(in.runs).To(BeNumerically("<", in.route.MaxAttempts))
			Expect(in.started && !in.route.Resume).To(BeFalse())
		})
	})
})

var _ = ginkgo.Describe("The error for the caller", func() {
	refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "refused")
	refusedAgain := granitehoist.Errorf(granitehoist.UpstreamRefused, "refused again")
	cut := granitehoist.Errorf(granitehoist.UpstreamCut, "cut")
	lost := granitehoist.Errorf(granitehoist.UpstreamLost, "lost")

	ginkgo.DescribeTable("is, after several attempts,",
		func(want error, attempts ...error) {
			var got error
			for _, err := range attempts {
				got = errorForCaller(got, err)
			}
			Expect(got).To(BeIdenticalTo(want))
		},
		ginkgo.Entry("the error of a single attempt", cut, cut),
		ginkgo.Entry("the last error if none ran", refusedAgain, refused, refusedAgain),
		ginkgo.Entry("the last error if all may have run", lost, cut, lost),
		ginkgo.Entry("the last error if only the last attempt may have run", cut, refused, cut),
		ginkgo.Entry("the earlier error if the last did not run", cut, cut, refused),
		ginkgo.Entry("the earlier error if the last two did not run", cut, cut, refused, refusedAgain),
		ginkgo.Entry("the latest error that may have run", lost, cut, refused, lost, refusedAgain),
	)
})

var _ = ginkgo.DescribeTable("The result of an attempt is",
	func(r attemptResult, ended bool, want balance.Result) {
		Expect(instanceResult(&r, ended)).To(Equal(want))
	},
	ginkgo.Entry("good after a success", attemptResult{class: responseUsable}, false, balance.Succeeded),
	ginkgo.Entry("good after a success, also if the request has ended", attemptResult{class: responseUsable}, true, balance.Succeeded),
	ginkgo.Entry("moved if another instance responded", attemptResult{class: responseMisdirected, err: refusedByInstance.error(0)}, true, balance.Misdirected),
	ginkgo.Entry("failed after a 5xx response, also if it was relayed", attemptResult{class: responseFailed}, true, balance.Failed),
	ginkgo.Entry("refused if the instance refused", attemptResult{class: responseRefused, err: refusedByInstance.error(0)}, false, balance.Refused),
	ginkgo.Entry("broken after a connection error", attemptResult{err: errors.New("lost")}, false, balance.Broken),
	ginkgo.Entry("unclear if the request has ended", attemptResult{err: errors.New("lost")}, true, balance.Inconclusive),
	ginkgo.Entry("unclear if the instance refused after the request had ended", attemptResult{class: responseRefused, err: refusedByInstance.error(0)}, true, balance.Inconclusive),
	ginkgo.Entry("unclear if the caller disconnected", attemptResult{class: responseUsable, err: granitehoist.Errorf(granitehoist.CallerGone, "")}, false, balance.Inconclusive),
)
