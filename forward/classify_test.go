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
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
)

var _ = ginkgo.Describe("A response head", func() {
	ginkgo.DescribeTable("means",
		func(v HeadInfo, status int, started bool, want responseClass) {
			Expect(classifyHead(v, status, started)).To(Equal(want))
		},
		ginkgo.Entry("a usable response", HeadInfo{Usable: true}, http.StatusOK, false, responseUsable),
		ginkgo.Entry("the continuation of a stream", HeadInfo{Usable: true}, http.StatusOK, true, responseUsable),
		ginkgo.Entry("a usable response below status 500", HeadInfo{Usable: true}, http.StatusNotFound, false, responseUsable),
		ginkgo.Entry("a failure", HeadInfo{Usable: true}, http.StatusInternalServerError, false, responseFailed),
		ginkgo.Entry("an invalid response", HeadInfo{}, http.StatusOK, false, responseInvalid),
		ginkgo.Entry("an invalid response with an error status", HeadInfo{}, http.StatusServiceUnavailable, false, responseInvalid),
		ginkgo.Entry("a stream that is not resumed, for a 5xx status", HeadInfo{Usable: true}, http.StatusInternalServerError, true, responseNotResumed),
		ginkgo.Entry("a stream that is not resumed, for a 3xx status", HeadInfo{Usable: true}, http.StatusMultipleChoices, true, responseNotResumed),
		ginkgo.Entry("a refusal", HeadInfo{NotRun: true}, http.StatusServiceUnavailable, false, responseRefused),
		ginkgo.Entry("a refusal to resume a stream", HeadInfo{NotRun: true}, http.StatusServiceUnavailable, true, responseRefused),
		ginkgo.Entry("a bad request", HeadInfo{NotRun: true, BadRequest: true}, http.StatusBadRequest, false, responseBadRequest),
		ginkgo.Entry("another instance", HeadInfo{NotRun: true, Misdirected: true}, http.StatusMisdirectedRequest, false, responseMisdirected),
	)

	ginkgo.DescribeTable("returns the error",
		func(r responseClass, code granitehoist.Code, retryAfter time.Duration, detail string) {
			expectError(r.error(500, 2*time.Second), code, retryAfter, detail)
		},
		ginkgo.Entry("of a refusal", responseRefused, granitehoist.UpstreamRefused, 2*time.Second, ""),
		ginkgo.Entry("of another instance", responseMisdirected, granitehoist.UpstreamRefused, 2*time.Second, ""),
		ginkgo.Entry("of a bad request", responseBadRequest, granitehoist.BadHeader, time.Duration(0), "the upstream rejected the request"),
		ginkgo.Entry("of a failure", responseFailed, granitehoist.UpstreamBadAnswer, time.Duration(0), "status 500"),
		ginkgo.Entry("of an invalid response", responseInvalid, granitehoist.UpstreamBadAnswer, time.Duration(0), "status 500"),
		ginkgo.Entry("of a stream that is not resumed", responseNotResumed, granitehoist.UpstreamBadAnswer, time.Duration(0), "status 500 instead of the rest of a stream"),
	)

	ginkgo.It("returns no error if it is usable", func() {
		Expect(responseUsable.error(http.StatusOK, 0)).To(Succeed())
	})
})

var _ = ginkgo.It("An attempt of a router that reaches no upstream says nothing of its instance", func() {
	result := attemptResult{err: granitehoist.Errorf(granitehoist.UpstreamsUnreachable, ""), unsent: true}
	Expect(instanceResult(&result, false)).To(Equal(balance.Inconclusive))
})

var _ = ginkgo.DescribeTable("A connection may be reused after an idle time of",
	func(r *catalog.Route, want time.Duration) { Expect(idleLimit(r)).To(Equal(want)) },
	ginkgo.Entry("a minute for a safe request", safeRoute, time.Minute),
	ginkgo.Entry("a minute for a stream that may be resumed", resumeRoute, time.Minute),
	ginkgo.Entry("150 ms for a stream that may not", streamRoute, 150*time.Millisecond),
	ginkgo.Entry("150 ms for an unsafe request", unsafeRoute, 150*time.Millisecond),
)

var _ = ginkgo.DescribeTable("The error of an attempt is",
	func(cause, err error, want granitehoist.Code) {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(cause)
		Expect(granitehoist.CodeOf((&stallTimer{}).attemptError(ctx, err))).To(Equal(want))
	},
	ginkgo.Entry("UpstreamLost if it was cancelled because it stalled", errStalled, granitehoist.Errorf(granitehoist.UpstreamCut, ""), granitehoist.UpstreamLost),
	ginkgo.Entry("UpstreamRefused if it was not sent", errStalled, granitehoist.Errorf(granitehoist.UpstreamRefused, ""), granitehoist.UpstreamRefused),
	ginkgo.Entry("UpstreamsUnreachable if the router reaches none", errStalled, granitehoist.Errorf(granitehoist.UpstreamsUnreachable, ""), granitehoist.UpstreamsUnreachable),
	ginkgo.Entry("nil if it was complete", errStalled, nil, granitehoist.Served),
	ginkgo.Entry("unchanged otherwise", errors.New("caller left"), granitehoist.Errorf(granitehoist.UpstreamCut, ""), granitehoist.UpstreamCut),
)
