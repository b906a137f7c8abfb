// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("A request whose attempts fail", func() {
	var s *fixture
	BeforeEach(func() { s = newFixture() })

	// serveSafe serves a request of a safe route and returns its sink.
	serveSafe := func() (*fakeSink, error) {
		sink := &fakeSink{}
		_, err := s.forwarder.Serve(context.Background(), request("/safe/x"), sink)
		return sink, err
	}
	failing := standin.WorkerResponse{Status: http.StatusInternalServerError, Body: "failed"}
	refusing := standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true}

	It("gets the second worker's 5xx response if both fail, and no third attempt", func() {
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			s.worker(desk, name, always(failing))
		}
		sink, err := serveSafe()
		Expect(err).NotTo(HaveOccurred())
		Expect(sink.status).To(Equal(http.StatusInternalServerError))
		Expect(sink.text()).To(Equal("failed"))
		Expect(s.arrivals()).To(HaveLen(2))
	})

	It("is reported as possibly run if the first worker failed and the second refused", func() {
		first := true
		answer := func(standin.ReceivedRequest) standin.WorkerResponse {
			if first {
				first = false
				return failing
			}
			return refusing
		}
		s.worker(desk, "i-1", answer)
		s.worker(desk, "i-2", answer)
		sink, err := serveSafe()
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamBadAnswer))
		Expect(sink.status).To(BeZero())
		Expect(s.arrivals()).To(HaveLen(2))
	})

	It("gets the first worker's 5xx response once the retry budget is empty", func() {
		s.worker(desk, "i-1", always(failing))
		s.worker(desk, "i-2", always(failing))
		const requests = 40
		started := time.Now()
		for range requests {
			sink, err := serveSafe()
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.status).To(Equal(http.StatusInternalServerError))
		}
		// The budget allows half of the slack of 50, 0.6 of the ratio of 0.2 per request,
		// and the refill during the test.
		retries := len(s.arrivals()) - requests
		Expect(retries).To(BeNumerically(">=", 25))
		Expect(float64(retries)).To(BeNumerically("<=", 25+0.12*requests+2.5*time.Since(started).Seconds()))
		Expect(retries).To(BeNumerically("<", requests), "the retry budget was never empty")
	})
})
