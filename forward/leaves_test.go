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

// goneWithin is the time in which the users' pages want nothing to be sent or to run for
// a caller that has left.
const goneWithin = 500 * time.Millisecond

var _ = Describe("A caller that leaves", func() {
	var s *site
	var sink *fakeSink
	BeforeEach(func() { s, sink = newSite(), &fakeSink{} })

	// expectEnded serves a request whose caller leaves when left says so, and checks that
	// it ends in time, and that no worker has a connection or gets a request afterwards.
	expectEnded := func(path string, left func() bool) {
		GinkgoHelper()
		ctx, leave := context.WithCancel(context.Background())
		leftAt := make(chan time.Time, 1)
		go func() {
			defer GinkgoRecover()
			Eventually(left).WithPolling(time.Millisecond).Should(BeTrue())
			leftAt <- time.Now()
			leave()
		}()
		_, err := s.forwarder.Serve(ctx, request(path), sink)
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.CallerGone))
		Expect(time.Since(<-leftAt)).To(BeNumerically("<", goneWithin))
		for _, w := range s.workers {
			Eventually(w.Open, goneWithin).Should(BeZero())
		}
		arrived := len(s.arrivals())
		Consistently(func() int { return len(s.arrivals()) }, "100ms").Should(Equal(arrived))
	}
	arrived := func() bool { return len(s.arrivals()) > 0 }

	It("before the first event ends the run", func() {
		s.worker(model, "i-1", always(standin.WorkerAnswer{Silent: true}))
		expectEnded("/stream/x", arrived)
	})

	It("within a stream ends the run", func() {
		s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 1000, Gap: 10 * time.Millisecond}))
		expectEnded("/stream/x", func() bool { return sink.text() != "" })
	})

	It("within a stream that another worker goes on with ends that run", func() {
		var asked atomic.Int64
		answer := func(standin.Arrival) standin.WorkerAnswer {
			if asked.Add(1) == 1 {
				return standin.WorkerAnswer{Events: 1000, Cut: standin.Cut{Set: true, After: 3}}
			}
			return standin.WorkerAnswer{Events: 1000, Gap: 10 * time.Millisecond}
		}
		s.worker(model, "i-1", answer)
		s.worker(model, "i-2", answer)
		expectEnded("/resume/x", func() bool { return len(s.arrivals()) == 2 })
	})

	It("between two attempts gets no second one", func() {
		silent := always(standin.WorkerAnswer{Silent: true})
		s.worker(desk, "i-1", silent)
		s.worker(desk, "i-2", silent)
		expectEnded("/safe/x", arrived)
		Expect(s.arrivals()).To(HaveLen(1))
	})
})
