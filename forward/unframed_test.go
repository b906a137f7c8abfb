// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

// These specs guard against responses without a length that are passed on as complete
// though they were broken off, and against whole ones that are not.
var _ = Describe("A response without a length", func() {
	var s *fixture
	var sink *fakeSink
	BeforeEach(func() { s, sink = newFixture(), &fakeSink{} })
	serve := func(path string) error {
		_, err := s.forwarder.Serve(context.Background(), request(path), sink)
		return err
	}
	unframed := func(a standin.WorkerResponse) standin.WorkerResponse {
		a.Unframed = true
		return a
	}
	// cutFirst cuts the first response to each request and completes the others.
	cutFirst := func(a standin.WorkerResponse, cut standin.Cut) func(standin.ReceivedRequest) standin.WorkerResponse {
		return func(standin.ReceivedRequest) standin.WorkerResponse {
			if len(s.arrivals()) == 0 {
				a.Cut = cut
			} else {
				a.Cut = standin.Cut{}
			}
			return unframed(a)
		}
	}

	It("is whole when its connection ends", func() {
		s.worker(desk, "i-1", always(unframed(standin.WorkerResponse{Body: "whole"})))
		Expect(serve("/safe/x")).To(Succeed())
		Expect(sink.status).To(Equal(http.StatusOK))
		Expect(sink.text()).To(Equal("whole"))
	})
	It("is retried elsewhere if its connection is reset", func() {
		answer := cutFirst(standin.WorkerResponse{Body: "whole"}, standin.Cut{Set: true, After: 2})
		s.worker(desk, "i-1", answer)
		s.worker(desk, "i-2", answer)
		Expect(serve("/safe/x")).To(Succeed())
		Expect(sink.text()).To(Equal("whole"))
		Expect(s.arrivals()).To(HaveLen(2))
	})
	It("fails if its connection is reset and it may not run again", func() {
		s.worker(desk, "i-1", always(unframed(standin.WorkerResponse{Body: "whole", Cut: standin.Cut{Set: true, After: 2}})))
		Expect(granitehoist.CodeOf(serve("/unsafe/x"))).To(Equal(granitehoist.UpstreamCut))
		Expect(sink.text()).To(BeEmpty())
	})
	It("that is a stream is whole when its connection ends after an event", func() {
		s.worker(model, "i-1", always(unframed(standin.WorkerResponse{Events: 4})))
		Expect(serve("/stream/x")).To(Succeed())
		Expect(sink.text()).To(Equal(events(4)))
	})
	DescribeTable("that is a stream goes on elsewhere",
		func(cut standin.Cut) {
			answer := cutFirst(standin.WorkerResponse{Events: 4}, cut)
			s.worker(model, "i-1", answer)
			s.worker(model, "i-2", answer)
			Expect(serve("/resume/x")).To(Succeed())
			Expect(sink.text()).To(Equal(events(4)))
			Expect(s.arrivals()).To(HaveLen(2))
		},
		Entry("if its connection ends within an event", standin.Cut{Set: true, After: 2, MidEvent: true, FIN: true}),
		Entry("if its connection ends within the first event", standin.Cut{Set: true, MidEvent: true, FIN: true}),
		Entry("if its connection is reset within an event", standin.Cut{Set: true, After: 2, MidEvent: true}),
		Entry("if its connection is reset between two events", standin.Cut{Set: true, After: 2}),
	)
})
