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
	var s *site
	BeforeEach(func() { s = newSite() })

	// serveSafe serves a safe request and returns its sink.
	serveSafe := func() (*fakeSink, error) {
		sink := &fakeSink{}
		_, err := s.forwarder.Serve(context.Background(), request("/safe/x"), sink)
		return sink, err
	}
	failing := standin.WorkerAnswer{Status: http.StatusInternalServerError, Body: "failed"}
	refusing := standin.WorkerAnswer{Status: http.StatusServiceUnavailable, NotRun: true}

	It("gets the second worker's failure if both fail, and no third attempt", func() {
		for _, name := range []string{"i-1", "i-2", "i-3"} {
			s.worker(desk, name, always(failing))
		}
		sink, err := serveSafe()
		Expect(err).NotTo(HaveOccurred())
		Expect(sink.status).To(Equal(http.StatusInternalServerError))
		Expect(sink.text()).To(Equal("failed"))
		Expect(s.arrivals()).To(HaveLen(2))
	})

	It("is not said not to have run if the first worker failed and the second refused", func() {
		first := true
		answer := func(standin.Arrival) standin.WorkerAnswer {
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

	It("gets the first worker's failure once the retry budget is spent", func() {
		s.worker(desk, "i-1", always(failing))
		s.worker(desk, "i-2", always(failing))
		const requests = 40
		began := time.Now()
		for range requests {
			sink, err := serveSafe()
			Expect(err).NotTo(HaveOccurred())
			Expect(sink.status).To(Equal(http.StatusInternalServerError))
		}
		// Half of the slack of 50, 0.6 of the ratio of 0.2 for each request, and
		// the refill in the time that the requests took.
		retries := len(s.arrivals()) - requests
		Expect(retries).To(BeNumerically(">=", 25))
		Expect(float64(retries)).To(BeNumerically("<=", 25+0.12*requests+2.5*time.Since(began).Seconds()))
		Expect(retries).To(BeNumerically("<", requests), "the budget was never spent")
	})
})
