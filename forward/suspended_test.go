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

var _ = Describe("A router after its machine was suspended", func() {
	var s *fixture
	var clock *standin.Clock
	var deadlines *boottime.Deadlines

	BeforeEach(func() {
		s, clock, deadlines = newFixture(), &standin.Clock{}, &boottime.Deadlines{}
		s.settings.Clock, s.settings.Deadlines = clock.Now, deadlines
		s.forwarder = forward.New(s.settings)
	})

	// serveRequest serves a request whose caller waits five seconds.
	serveRequest := func(r *forward.Request) error {
		r.Arrived, r.Timeout = clock.Now(), 5*time.Second
		_, err := s.forwarder.Serve(context.Background(), r, &fakeSink{})
		return err
	}
	serve := func(path string) error { return serveRequest(request(path)) }

	It("refuses a request whose deadline passed while it waited for tokens, and releases them", func() {
		w := s.worker(model, "i-1", always(standin.WorkerResponse{Events: 3}))
		s.budgets.reserving = func() { clock.Suspend(6 * time.Second) }
		err := serve("/stream/x")
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.DeadlineTooNear))
		Expect(w.Requests()).To(BeEmpty())
		Expect([]granitehoist.Tokens{s.budgets.reserved, s.budgets.used}).To(Equal([]granitehoist.Tokens{0, 0}))
	})

	It("sends the worker the remaining timeout", func() {
		w := s.worker(model, "i-1", always(standin.WorkerResponse{Events: 3}))
		s.budgets.reserving = func() { clock.Suspend(2 * time.Second) }
		Expect(serve("/stream/x")).To(Succeed())
		left, err := strconv.Atoi(w.Requests()[0].Header.Get("Deadline-Ms"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(BeNumerically("~", 3000, 200))
	})

	It("cancels an attempt whose deadline has passed", func() {
		s.worker(desk, "i-1", always(standin.WorkerResponse{Hang: true}))
		ended := make(chan error, 1)
		go func() { ended <- serve("/patient/x") }()
		Eventually(s.forwarder.Active).Should(Equal(1))
		Consistently(ended, "50ms").ShouldNot(Receive())
		clock.Suspend(5 * time.Second)
		deadlines.CancelExpired(clock.Now())
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	It("does not reuse a connection that has expired", func() {
		w := s.worker(desk, "i-1", always(standin.WorkerResponse{Body: "permit"}))
		Expect(serveRequest(earlierRequest("/safe/x"))).To(Succeed())
		clock.Suspend(time.Minute)
		Expect(serve("/safe/x")).To(Succeed())
		Expect(w.Requests()[1].Conn).NotTo(Equal(w.Requests()[0].Conn))
	})

	It("does not use retries of an earlier window", func() {
		s.settings.Retry = forward.RetrySettings{Ratio: 0.2, Window: 10 * time.Second}
		s.forwarder = forward.New(s.settings)
		s.worker(desk, "i-1", always(standin.WorkerResponse{Body: "permit"}))
		for range 20 {
			Expect(serve("/safe/x")).To(Succeed())
		}
		clock.Suspend(time.Minute)
		s.worker(desk, "i-2", always(standin.WorkerResponse{Body: "permit", Cut: standin.Cut{Set: true, After: 2}}))
		s.worker(desk, "i-3", always(standin.WorkerResponse{Body: "permit", Cut: standin.Cut{Set: true, After: 2}}))
		before := len(s.arrivals())
		s.table.Remove("i-1", clock.Now())
		Expect(serve("/safe/x")).NotTo(Succeed())
		Expect(len(s.arrivals()) - before).To(BeNumerically("<=", 2))
	})
})
