// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"io"
	"os"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/exchange"
)

var _ = ginkgo.Describe("The reason for which an attempt did not run", func() {
	dial := func(cause error) *attemptResult {
		return &attemptResult{err: granitehoist.Wrap(granitehoist.UpstreamRefused, cause, ""), unsent: true}
	}
	response := func(class responseClass, status int) *attemptResult {
		return &attemptResult{err: class.error(status, 0), class: class, status: status}
	}

	ginkgo.DescribeTable("is",
		func(result *attemptResult, expected NotRunReason) {
			Expect(result.notRunReason()).To(Equal(expected))
			ran := executionOf(result.err) != granitehoist.NotRun
			Expect(ran).To(Equal(expected == NotRunUnproven))
		},
		ginkgo.Entry("that nothing was dialed", &attemptResult{err: granitehoist.Errorf(granitehoist.UpstreamsUnreachable, ""), unsent: true}, NotRunUndialed),
		ginkgo.Entry("a refused dial", dial(syscall.ECONNREFUSED), NotRunDialRefused),
		ginkgo.Entry("a dial that timed out", dial(os.ErrDeadlineExceeded), NotRunDialTimedOut),
		ginkgo.Entry("a dial that was cancelled", dial(context.Canceled), NotRunDialCancelled),
		ginkgo.Entry("a dial that failed here", dial(syscall.EMFILE), NotRunDialFailed),
		ginkgo.Entry("a rejection", response(responseRefused, 503), NotRunRejected),
		ginkgo.Entry("another instance", response(responseMisdirected, 421), NotRunMisdirected),
		ginkgo.Entry("an invalid request", response(responseBadRequest, 400), NotRunInvalid),
		ginkgo.Entry("unproven after a failure of the instance", response(responseFailed, 500), NotRunUnproven),
		ginkgo.Entry("unproven after a response that can't be relayed", response(responseInvalid, 503), NotRunUnproven),
		ginkgo.Entry("unproven after a connection that ended", &attemptResult{err: granitehoist.Wrap(granitehoist.UpstreamLost, io.EOF, "")}, NotRunUnproven),
		ginkgo.Entry("unproven after a whole response", &attemptResult{class: responseUsable, status: 200}, NotRunUnproven),
	)

	ginkgo.It("is logged with what is known of the connection", func() {
		rejected := response(responseRefused, 503)
		rejected.trace = exchange.Trace{Exchange: 3, Stale: 1, Early: true, Detour: true}
		Expect(proofFields(rejected)).To(Equal([]zap.Field{
			zap.String("not_run", "rejected"), zap.Int("stale", 1), zap.Bool("early", true), zap.Bool("detour", true),
		}))
		Expect(proofFields(&attemptResult{})).To(BeEmpty())
	})
})
