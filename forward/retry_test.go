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

// afterFirst returns the question after a first attempt with a fate, on a route,
// with a second left.
func afterFirst(r *catalog.Route, fate granitehoist.Fate) retryInput {
	in := retryInput{route: r, fate: fate, attempts: 1, timeLeft: time.Second}
	if fate != granitehoist.NotRun {
		in.runs = 1
	}
	return in
}

// with returns the question with a change.
func with(in retryInput, change func(*retryInput)) retryInput {
	change(&in)
	return in
}

var _ = ginkgo.Describe("Another attempt", func() {
	refused := afterFirst(unsafeRoute, granitehoist.NotRun)
	lostSafe := afterFirst(safeRoute, granitehoist.MayHaveRun)
	cutStream := with(afterFirst(resumeRoute, granitehoist.MayHaveRun), func(in *retryInput) { in.started, in.lastEventID = true, 57 })
	no, paid := retryVerdict{}, retryVerdict{allowed: true, usesRetryBudget: true}

	ginkgo.DescribeTable("is decided",
		func(in retryInput, want retryVerdict) { Expect(decideRetry(in)).To(Equal(want)) },
		ginkgo.Entry("to follow one that did not run, even if the request is unsafe", refused, paid),
		ginkgo.Entry("to cost nothing after one that never left", with(refused, func(in *retryInput) { in.unsent = true }), retryVerdict{allowed: true}),
		ginkgo.Entry("to follow one that may have run if the request is safe", lostSafe, paid),
		ginkgo.Entry("not to follow one that may have run if the request is unsafe", afterFirst(unsafeRoute, granitehoist.MayHaveRun), no),
		ginkgo.Entry("not to follow one that may have run if the stream can't be resumed", afterFirst(streamRoute, granitehoist.MayHaveRun), no),
		ginkgo.Entry("to go on with a stream after the last event", cutStream, retryVerdict{allowed: true, usesRetryBudget: true, afterEvent: 57}),
		ginkgo.Entry("not to go on with an answer that is no stream", with(lostSafe, func(in *retryInput) { in.started = true }), no),
		ginkgo.Entry("not to run at more upstreams than the route allows", with(lostSafe, func(in *retryInput) { in.runs = 2 }), no),
		ginkgo.Entry("not to run again where the route states no number", afterFirst(&catalog.Route{Kind: catalog.Safe}, granitehoist.MayHaveRun), no),
		ginkgo.Entry("to follow one that did not run, also at the route's bound", with(refused, func(in *retryInput) { in.runs = 2 }), paid),
		ginkgo.Entry("not to follow a rejection of the request itself", with(refused, func(in *retryInput) { in.faulty = true }), no),
		ginkgo.Entry("not to be the fifth", with(refused, func(in *retryInput) { in.attempts = 4 }), no),
		ginkgo.Entry("to be the fourth", with(refused, func(in *retryInput) { in.attempts = 3 }), paid),
		ginkgo.Entry("not to follow once the request is over", with(refused, func(in *retryInput) { in.ended = true }), no),
		ginkgo.Entry("not to follow with less than 20 ms left", with(refused, func(in *retryInput) { in.timeLeft = 20*time.Millisecond - 1 }), no),
		ginkgo.Entry("to follow with 20 ms left", with(refused, func(in *retryInput) { in.timeLeft = 20 * time.Millisecond }), paid),
	)

	ginkgo.It("never follows one that may have run, unless the route lets requests run again", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			in := retryInput{
				route: &catalog.Route{
					Kind:        rapid.SampledFrom([]catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream}).Draw(t, "kind"),
					Resume:      rapid.Bool().Draw(t, "resume"),
					MaxAttempts: rapid.IntRange(0, 5).Draw(t, "max attempts"),
				},
				fate:     rapid.SampledFrom([]granitehoist.Fate{granitehoist.Ran, granitehoist.MayHaveRun}).Draw(t, "fate"),
				attempts: rapid.IntRange(1, 5).Draw(t, "attempts"),
				runs:     rapid.IntRange(1, 5).Draw(t, "runs"),
				started:  rapid.Bool().Draw(t, "started"),
				timeLeft: time.Duration(rapid.IntRange(-100, 1000).Draw(t, "ms left")) * time.Millisecond,
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

var _ = ginkgo.Describe("A caller is told", func() {
	refused := granitehoist.Errorf(granitehoist.UpstreamRefused, "refused")
	refusedAgain := granitehoist.Errorf(granitehoist.UpstreamRefused, "refused again")
	cut := granitehoist.Errorf(granitehoist.UpstreamCut, "cut")
	lost := granitehoist.Errorf(granitehoist.UpstreamLost, "lost")

	ginkgo.DescribeTable("after several attempts",
		func(want error, attempts ...error) {
			var told error
			for _, err := range attempts {
				told = errorForCaller(told, err)
			}
			Expect(told).To(BeIdenticalTo(want))
		},
		ginkgo.Entry("the error of a single one", cut, cut),
		ginkgo.Entry("the last error if none ran", refusedAgain, refused, refusedAgain),
		ginkgo.Entry("the last error if all may have run", lost, cut, lost),
		ginkgo.Entry("the last error if it alone may have run", cut, refused, cut),
		ginkgo.Entry("the earlier error if the last did not run", cut, cut, refused),
		ginkgo.Entry("the earlier error if the last two did not run", cut, cut, refused, refusedAgain),
		ginkgo.Entry("the latest error that may have run", lost, cut, refused, lost, refusedAgain),
	)
})

var _ = ginkgo.DescribeTable("An attempt says of its instance",
	func(r attemptResult, over bool, want balance.Result) {
		Expect(instanceResult(&r, over)).To(Equal(want))
	},
	ginkgo.Entry("that it is good", attemptResult{reply: replyUsable}, false, balance.Good),
	ginkgo.Entry("that it is good, also as the request ends", attemptResult{reply: replyUsable}, true, balance.Good),
	ginkgo.Entry("that another one answered", attemptResult{reply: replyMoved, err: refusedByInstance.error(0)}, true, balance.Moved),
	ginkgo.Entry("that it failed, also if its failure was passed on", attemptResult{reply: replyFailed}, true, balance.Failed),
	ginkgo.Entry("that it had no room", attemptResult{reply: replyRefused, err: refusedByInstance.error(0)}, false, balance.Refused),
	ginkgo.Entry("that it is broken", attemptResult{err: errors.New("lost")}, false, balance.Broken),
	ginkgo.Entry("nothing if the request is over", attemptResult{err: errors.New("lost")}, true, balance.Unclear),
	ginkgo.Entry("nothing if it refused when the request was over", attemptResult{reply: replyRefused, err: refusedByInstance.error(0)}, true, balance.Unclear),
	ginkgo.Entry("nothing if the caller left", attemptResult{reply: replyUsable, err: granitehoist.Errorf(granitehoist.CallerGone, "")}, false, balance.Unclear),
)
