// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/standin"
)

// cancelTimeout is the time within which an attempt must end after its caller
// disconnected.
const cancelTimeout = 500 * time.Millisecond

var _ = Describe("A caller that disconnects", func() {
	var s *fixture
	var sink *fakeSink
	BeforeEach(func() { s, sink = newFixture(), &fakeSink{} })

	// expectCancelled serves a request whose caller disconnects when ready returns true.
	// It asserts that the request ends in time and that no worker keeps a connection or
	// receives another request.
	expectCancelled := func(path string, ready func() bool) {
		GinkgoHelper()
		ctx, disconnect := context.WithCancel(context.Background())
		disconnectedAt := make(chan time.Time, 1)
		go func() {
			defer GinkgoRecover()
			Eventually(ready).WithPolling(time.Millisecond).Should(BeTrue())
			disconnectedAt <- time.Now()
			disconnect()
		}()
		_, err := s.forwarder.Serve(ctx, request(path), sink)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
		Expect(time.Since(<-disconnectedAt)).To(BeNumerically("<", cancelTimeout))
		for _, w := range s.workers {
			Eventually(w.OpenConns, cancelTimeout).Should(BeZero())
		}
		arrived := len(s.arrivals())
		Consistently(func() int { return len(s.arrivals()) }, "100ms").Should(Equal(arrived))
	}
	arrived := func() bool { return len(s.arrivals()) > 0 }

	It("before the first event cancels the attempt", func() {
		s.worker(model, "i-1", always(standin.WorkerResponse{Hang: true}))
		expectCancelled("/stream/x", arrived)
	})

	It("within a stream cancels the attempt", func() {
		s.worker(model, "i-1", always(standin.WorkerResponse{Events: 1000, Gap: 10 * time.Millisecond}))
		expectCancelled("/stream/x", func() bool { return sink.text() != "" })
	})

	It("within a resumed stream cancels the second attempt", func() {
		var attempts atomic.Int64
		answer := func(standin.ReceivedRequest) standin.WorkerResponse {
			if attempts.Add(1) == 1 {
				return standin.WorkerResponse{Events: 1000, Cut: standin.Cut{Set: true, After: 3}}
			}
			return standin.WorkerResponse{Events: 1000, Gap: 10 * time.Millisecond}
		}
		s.worker(model, "i-1", answer)
		s.worker(model, "i-2", answer)
		expectCancelled("/resume/x", func() bool { return len(s.arrivals()) == 2 })
	})

	It("during the first attempt gets no second one", func() {
		hanging := always(standin.WorkerResponse{Hang: true})
		s.worker(desk, "i-1", hanging)
		s.worker(desk, "i-2", hanging)
		expectCancelled("/safe/x", arrived)
		Expect(s.arrivals()).To(HaveLen(1))
	})
})
