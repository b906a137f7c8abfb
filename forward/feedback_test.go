// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"errors"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("A worker that announces that it is leaving", func() {
	var s *fixture
	BeforeEach(func() { s = newFixture() })

	// isLeaving sends one request to the only worker of its service, whose response states
	// that it is leaving, and reports whether the balancer then marks it as leaving.
	isLeaving := func(path string, answer standin.WorkerResponse) bool {
		GinkgoHelper()
		answer.Leaving = []string{"1"}
		s.worker(model, "i-1", always(answer))
		s.worker(desk, "i-2", always(answer))
		// The result of the request is irrelevant.
		_, _ = s.forwarder.Serve(context.Background(), request(path), &fakeSink{})
		Expect(s.arrivals()).NotTo(BeEmpty())
		return s.table.IsLeaving("i-1") || s.table.IsLeaving("i-2")
	}

	DescribeTable("is marked as leaving after",
		func(path string, answer standin.WorkerResponse) { Expect(isLeaving(path, answer)).To(BeTrue()) },
		Entry("a success", "/safe/x", standin.WorkerResponse{Body: "answer"}),
		Entry("a 5xx response", "/safe/x", standin.WorkerResponse{Status: http.StatusInternalServerError}),
		Entry("a refusal", "/safe/x", standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true}),
		Entry("a truncated response", "/unsafe/x", standin.WorkerResponse{Body: "answer", Cut: standin.Cut{Set: true, After: 2}}),
		Entry("a stream", "/stream/x", standin.WorkerResponse{Events: 2}),
		Entry("a truncated stream", "/stream/x", standin.WorkerResponse{Events: 5, Cut: standin.Cut{Set: true, After: 2}}),
		Entry("a response without its signature", "/unsafe/x", standin.WorkerResponse{Body: "answer", NoSeal: true}),
	)

	DescribeTable("is not marked as leaving after",
		func(path string, answer standin.WorkerResponse) { Expect(isLeaving(path, answer)).To(BeFalse()) },
		Entry("a response to another request, which a proxy may have misrouted", "/unsafe/x", standin.WorkerResponse{Body: "answer", WrongID: true}),
	)

	It("is not marked as leaving if another worker has its address", func() {
		other, err := standin.NewWorker("i-other", always(standin.WorkerResponse{Status: http.StatusMisdirectedRequest, NoSeal: true, Leaving: []string{"1"}}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: other.Address(), Version: 1}, time.Now())
		_, _ = s.forwarder.Serve(context.Background(), request("/safe/x"), &fakeSink{})
		Expect(other.Requests()).To(HaveLen(1))
		Expect(s.table.IsLeaving("i-1")).To(BeFalse())
	})

	It("is marked as leaving during its stream, which continues", func() {
		s.worker(model, "i-1", always(standin.WorkerResponse{Events: 40, Gap: 25 * time.Millisecond, Leaving: []string{"1"}}))
		sink := &fakeSink{}
		ended := make(chan error, 1)
		go func() {
			_, err := s.forwarder.Serve(context.Background(), request("/stream/x"), sink)
			ended <- err
		}()
		Eventually(func() bool { return s.table.IsLeaving("i-1") }).Should(BeTrue())
		Expect(ended).NotTo(Receive())
		Eventually(ended).Should(Receive(BeNil()))
		Expect(sink.text()).To(Equal(events(40)))
	})
})

var _ = Describe("A worker that rejects a request with a Retry-After", func() {
	var s *fixture
	BeforeEach(func() { s = newFixture() })

	// rejectingOnce adds a worker that rejects its first request with a Retry-After.
	rejectingOnce := func(instance, seconds string) *standin.Worker {
		return s.worker(desk, instance, func(a standin.ReceivedRequest) standin.WorkerResponse {
			if a.Number > 1 {
				return standin.WorkerResponse{Body: "answer"}
			}
			return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: []string{seconds}}
		})
	}
	// serve serves a request and returns its error, nil if it succeeded.
	serve := func() *granitehoist.Error {
		_, err := s.forwarder.Serve(context.Background(), request("/safe/x"), &fakeSink{})
		var e *granitehoist.Error
		errors.As(err, &e)
		return e
	}

	It("is waited for if its backoff ends in time", func() {
		rejectingOnce("i-1", "0.05")
		Expect(serve().Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(serve()).To(BeNil())
	})

	It("is not waited for otherwise: the caller is refused at once with a Retry-After", func() {
		w := rejectingOnce("i-1", "3")
		Expect(serve().Code).To(Equal(granitehoist.UpstreamRefused))
		started := time.Now()
		refused := serve()
		Expect(time.Since(started)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(refused.Code).To(Equal(granitehoist.Overloaded))
		Expect(refused.Code.Info().Execution).To(Equal(granitehoist.NotRun))
		Expect(refused.RetryAfter).To(And(BeNumerically(">", 2900*time.Millisecond), BeNumerically("<=", 3750*time.Millisecond)))
		Expect(w.Requests()).To(HaveLen(1))
	})

	It("determines the Retry-After if its backoff ends before that of another worker", func() {
		rejectingOnce("i-1", "3")
		rejectingOnce("i-2", "1")
		refused := serve()
		Expect(refused.Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(refused.RetryAfter).To(And(BeNumerically(">", 900*time.Millisecond), BeNumerically("<=", 1250*time.Millisecond)))
	})

	It("has its Retry-After relayed to the caller, also if it is short", func() {
		rejectingOnce("i-1", "0.2")
		Expect(serve().RetryAfter).To(And(BeNumerically(">", 180*time.Millisecond), BeNumerically("<=", 250*time.Millisecond)))
	})

	It("does not affect the Retry-After of a request that reached no worker", func() {
		s.worker(desk, "i-1", always(standin.WorkerResponse{})).Close()
		refused := serve()
		Expect(refused.Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(refused.RetryAfter).To(BeZero())
	})

	It("causes one retry at another worker and then gets no requests", func() {
		rejectingOnce("i-1", "3")
		s.worker(desk, "i-2", always(standin.WorkerResponse{Body: "answer"}))
		for range 10 {
			Expect(serve()).To(BeNil())
		}
		Expect(s.workers[0].Requests()).To(HaveLen(1))
	})
})
