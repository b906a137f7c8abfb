// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/boottime"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("A router whose machine was suspended", func() {
	var s *site
	var clock *standin.Clock
	var deadlines *boottime.Deadlines

	BeforeEach(func() {
		s, clock, deadlines = newSite(), &standin.Clock{}, &boottime.Deadlines{}
		s.settings.Clock, s.settings.Deadlines = clock.Now, deadlines
		s.forwarder = forward.New(s.settings)
	})

	// ask sends a request that its caller gives five seconds.
	ask := func(path string) error {
		r := request(path)
		r.Arrived, r.Timeout = clock.Now(), 5*time.Second
		_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
		return err
	}

	It("sends nothing whose time passed while it waited for tokens, and returns these", func() {
		w := s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 3}))
		s.funds.reserving = func() { clock.Suspend(6 * time.Second) }
		err := ask("/stream/x")
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.DeadlineTooNear))
		Expect(w.Arrivals()).To(BeEmpty())
		Expect([]granitehoist.Tokens{s.funds.reserved, s.funds.used}).To(Equal([]granitehoist.Tokens{0, 0}))
	})

	It("hands the worker no more time than the caller has left", func() {
		w := s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 3}))
		s.funds.reserving = func() { clock.Suspend(2 * time.Second) }
		Expect(ask("/stream/x")).To(Succeed())
		left, err := strconv.Atoi(w.Arrivals()[0].Header.Get("Deadline-Ms"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("~", 3000, 200))
	})

	It("gives up a request whose time passed while the worker had it", func() {
		s.worker(desk, "i-1", always(standin.WorkerAnswer{Silent: true}))
		ended := make(chan error, 1)
		go func() { ended <- ask("/patient/x") }()
		Eventually(s.forwarder.Active).Should(Equal(1))
		Consistently(ended, "50ms").ShouldNot(Receive())
		clock.Suspend(5 * time.Second)
		deadlines.Check(clock.Now())
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	It("uses no connection that its worker has closed meanwhile", func() {
		w := s.worker(desk, "i-1", always(standin.WorkerAnswer{Body: "permit"}))
		Expect(ask("/safe/x")).To(Succeed())
		clock.Suspend(time.Minute)
		Expect(ask("/safe/x")).To(Succeed())
		Expect(w.Arrivals()[1].Conn).NotTo(Equal(w.Arrivals()[0].Conn))
	})

	It("lends no retries of a window that is over", func() {
		s.settings.Retry = forward.RetrySettings{Ratio: 0.2, Window: 10 * time.Second}
		s.forwarder = forward.New(s.settings)
		s.worker(desk, "i-1", always(standin.WorkerAnswer{Body: "permit"}))
		for range 20 {
			Expect(ask("/safe/x")).To(Succeed())
		}
		clock.Suspend(time.Minute)
		s.worker(desk, "i-2", always(standin.WorkerAnswer{Body: "permit", Cut: standin.Cut{Set: true, After: 2}}))
		s.worker(desk, "i-3", always(standin.WorkerAnswer{Body: "permit", Cut: standin.Cut{Set: true, After: 2}}))
		before := len(s.arrivals())
		s.table.Remove("i-1", clock.Now())
		Expect(ask("/safe/x")).NotTo(Succeed())
		Expect(len(s.arrivals()) - before).To(BeNumerically("<=", 2))
	})
})
