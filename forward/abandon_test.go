// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("An abandoned request", func() {
	DescribeTable("ends at once, without another attempt and without a promise that it did not run",
		func(path string, service granitehoist.Service, answer standin.WorkerResponse, started bool) {
			s, sink := newFixture(), &fakeSink{}
			s.worker(service, "i-1", always(answer))
			s.worker(service, "i-2", always(answer))
			go func() {
				defer GinkgoRecover()
				Eventually(s.arrivals).WithPolling(time.Millisecond).Should(HaveLen(1))
				if started {
					Eventually(sink.text).WithPolling(time.Millisecond).ShouldNot(BeEmpty())
				}
				s.forwarder.Abandon()
			}()
			begun := time.Now()
			gotStarted, err := s.forwarder.Serve(context.Background(), request(path), sink)
			Expect(granitehoist.CodeOf(err).Info().Execution).To(Equal(granitehoist.MayHaveRun))
			Expect(granitehoist.CodeOf(err)).NotTo(Equal(granitehoist.CallerGone))
			Expect(gotStarted).To(Equal(started))
			Expect(time.Since(begun)).To(BeNumerically("<", cancelTimeout))
			Expect(s.arrivals()).To(HaveLen(1))
			Expect(s.forwarder.Active()).To(BeZero())
		},
		Entry("on a safe route", "/safe/x", desk, standin.WorkerResponse{Hang: true}, false),
		Entry("on a route whose requests run once", "/unsafe/x", desk, standin.WorkerResponse{Hang: true}, false),
		Entry("before the first event of a stream", "/resume/x", model, standin.WorkerResponse{Hang: true}, false),
		Entry("within a stream", "/resume/x", model, standin.WorkerResponse{Events: 1000, Gap: 10 * time.Millisecond}, true),
	)
})
