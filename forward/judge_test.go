// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
)

var _ = ginkgo.Describe("The head of an answer", func() {
	ginkgo.DescribeTable("means",
		func(v Verdict, status int, started bool, want reply) {
			Expect(judgeHead(v, status, started)).To(Equal(want))
		},
		ginkgo.Entry("a usable answer", Verdict{Usable: true}, http.StatusOK, false, replyUsable),
		ginkgo.Entry("the rest of a stream", Verdict{Usable: true}, http.StatusOK, true, replyUsable),
		ginkgo.Entry("an answer of the instance's own, below 500", Verdict{Usable: true}, http.StatusNotFound, false, replyUsable),
		ginkgo.Entry("a failure of the instance", Verdict{Usable: true}, http.StatusInternalServerError, false, replyFailed),
		ginkgo.Entry("an answer that must not be passed on", Verdict{}, http.StatusOK, false, replyUnusable),
		ginkgo.Entry("an answer that must not be passed on, as a failure", Verdict{}, http.StatusServiceUnavailable, false, replyUnusable),
		ginkgo.Entry("no rest of a stream, for a failure", Verdict{Usable: true}, http.StatusInternalServerError, true, replyNoContinuation),
		ginkgo.Entry("no rest of a stream, for another answer", Verdict{Usable: true}, http.StatusMultipleChoices, true, replyNoContinuation),
		ginkgo.Entry("a refusal", Verdict{NotRun: true}, http.StatusServiceUnavailable, false, replyRefused),
		ginkgo.Entry("a refusal to go on with a stream", Verdict{NotRun: true}, http.StatusServiceUnavailable, true, replyRefused),
		ginkgo.Entry("a rejection of the request itself", Verdict{NotRun: true, Faulty: true}, http.StatusBadRequest, false, replyFaulty),
		ginkgo.Entry("another instance", Verdict{NotRun: true, Moved: true}, http.StatusMisdirectedRequest, false, replyMoved),
	)

	ginkgo.DescribeTable("gives the error",
		func(r reply, code granitehoist.Code, retryAfter time.Duration, detail string) {
			expectError(r.error(500, 2*time.Second), code, retryAfter, detail)
		},
		ginkgo.Entry("of a refusal", replyRefused, granitehoist.UpstreamRefused, 2*time.Second, ""),
		ginkgo.Entry("of another instance", replyMoved, granitehoist.UpstreamRefused, 2*time.Second, ""),
		ginkgo.Entry("of a rejection", replyFaulty, granitehoist.BadHeader, time.Duration(0), "the upstream rejected the request"),
		ginkgo.Entry("of a failure", replyFailed, granitehoist.UpstreamBadAnswer, time.Duration(0), "status 500"),
		ginkgo.Entry("of an unusable answer", replyUnusable, granitehoist.UpstreamBadAnswer, time.Duration(0), "status 500"),
		ginkgo.Entry("of an answer that continues no stream", replyNoContinuation, granitehoist.UpstreamBadAnswer, time.Duration(0), "status 500 instead of the rest of a stream"),
	)

	ginkgo.It("gives no error if it is usable", func() {
		Expect(replyUsable.error(http.StatusOK, 0)).To(Succeed())
	})
})

var _ = ginkgo.DescribeTable("A connection may be reused",
	func(r *catalog.Route, want time.Duration) { Expect(idleLimit(r)).To(Equal(want)) },
	ginkgo.Entry("after a minute for a safe request", safeRoute, time.Minute),
	ginkgo.Entry("after a minute for a stream that may be resumed", resumeRoute, time.Minute),
	ginkgo.Entry("after 150 ms for a stream that may not", streamRoute, 150*time.Millisecond),
	ginkgo.Entry("after 150 ms for an unsafe request", unsafeRoute, 150*time.Millisecond),
)

var _ = ginkgo.DescribeTable("An attempt that ended is explained",
	func(cause, err error, want granitehoist.Code) {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(cause)
		Expect(granitehoist.CodeOf((&stallTimer{}).attemptError(ctx, err))).To(Equal(want))
	},
	ginkgo.Entry("by its stall", errStalled, granitehoist.Errorf(granitehoist.UpstreamCut, ""), granitehoist.UpstreamLost),
	ginkgo.Entry("as not run if it was never sent", errStalled, granitehoist.Errorf(granitehoist.UpstreamRefused, ""), granitehoist.UpstreamRefused),
	ginkgo.Entry("as complete if it was", errStalled, nil, granitehoist.Served),
	ginkgo.Entry("by its own error", errors.New("caller left"), granitehoist.Errorf(granitehoist.UpstreamCut, ""), granitehoist.UpstreamCut),
)
