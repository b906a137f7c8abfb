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

var _ = Describe("A worker that says that it leaves", func() {
	var s *site
	BeforeEach(func() { s = newSite() })

	// believed sends one request to a worker that is the only one, and reports
	// whether the router takes it as leaving then.
	believed := func(path string, answer standin.WorkerAnswer) bool {
		GinkgoHelper()
		answer.Leaving = []string{"1"}
		s.worker(model, "i-1", always(answer))
		s.worker(desk, "i-2", always(answer))
		// How the request ends does not matter here.
		_, _ = s.forwarder.Serve(context.Background(), request(path), &fakeSink{})
		Expect(s.arrivals()).NotTo(BeEmpty())
		return s.table.IsLeaving("i-1") || s.table.IsLeaving("i-2")
	}

	DescribeTable("is believed by",
		func(path string, answer standin.WorkerAnswer) { Expect(believed(path, answer)).To(BeTrue()) },
		Entry("a success", "/safe/x", standin.WorkerAnswer{Body: "answer"}),
		Entry("its own failure", "/safe/x", standin.WorkerAnswer{Status: http.StatusInternalServerError}),
		Entry("a refusal", "/safe/x", standin.WorkerAnswer{Status: http.StatusServiceUnavailable, NotRun: true}),
		Entry("an answer that breaks off", "/unsafe/x", standin.WorkerAnswer{Body: "answer", Cut: standin.Cut{Set: true, After: 2}}),
		Entry("a stream", "/stream/x", standin.WorkerAnswer{Events: 2}),
		Entry("a stream that breaks off", "/stream/x", standin.WorkerAnswer{Events: 5, Cut: standin.Cut{Set: true, After: 2}}),
		Entry("an answer without its signature", "/unsafe/x", standin.WorkerAnswer{Body: "answer", NoSeal: true}),
	)

	DescribeTable("is not believed by",
		func(path string, answer standin.WorkerAnswer) { Expect(believed(path, answer)).To(BeFalse()) },
		Entry("an answer that names another request, which something on the way may have mixed up", "/unsafe/x", standin.WorkerAnswer{Body: "answer", Crossed: true}),
	)

	It("is not believed if it is another one that has the address", func() {
		other, err := standin.NewWorker("i-other", always(standin.WorkerAnswer{Status: http.StatusMisdirectedRequest, NoSeal: true, Leaving: []string{"1"}}))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Close)
		s.table.Announce(balance.Instance{ID: "i-1", Service: desk, Address: other.Address(), Version: 1}, time.Now())
		_, _ = s.forwarder.Serve(context.Background(), request("/safe/x"), &fakeSink{})
		Expect(other.Arrivals()).To(HaveLen(1))
		Expect(s.table.IsLeaving("i-1")).To(BeFalse())
	})

	It("is known while its stream still runs, which goes on", func() {
		s.worker(model, "i-1", always(standin.WorkerAnswer{Events: 40, Gap: 25 * time.Millisecond, Leaving: []string{"1"}}))
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

var _ = Describe("A worker that asks for rest", func() {
	var s *site
	BeforeEach(func() { s = newSite() })

	// turnsAwayOnce adds a worker that turns its first request away, and names a time.
	turnsAwayOnce := func(instance, seconds string) *standin.Worker {
		return s.worker(desk, instance, func(a standin.Arrival) standin.WorkerAnswer {
			if a.Number > 1 {
				return standin.WorkerAnswer{Body: "answer"}
			}
			return standin.WorkerAnswer{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: []string{seconds}}
		})
	}
	// serve serves a request and returns its error.
	serve := func() *granitehoist.Error {
		_, err := s.forwarder.Serve(context.Background(), request("/safe/x"), &fakeSink{})
		var e *granitehoist.Error
		errors.As(err, &e)
		return e
	}

	It("is waited for if the rest ends in time", func() {
		turnsAwayOnce("i-1", "0.05")
		Expect(serve().Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(serve()).To(BeNil())
	})

	It("is not waited for if it does not: the caller is refused at once and told when", func() {
		w := turnsAwayOnce("i-1", "3")
		Expect(serve().Code).To(Equal(granitehoist.UpstreamRefused))
		asked := time.Now()
		refused := serve()
		Expect(time.Since(asked)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(refused.Code).To(Equal(granitehoist.Overloaded))
		Expect(refused.Code.Info().Fate).To(Equal(granitehoist.NotRun))
		Expect(refused.RetryAfter).To(And(BeNumerically(">", 2900*time.Millisecond), BeNumerically("<=", 3750*time.Millisecond)))
		Expect(w.Arrivals()).To(HaveLen(1))
	})

	It("tells whom two of them refused when the first rest ends, not the last", func() {
		turnsAwayOnce("i-1", "3")
		turnsAwayOnce("i-2", "1")
		refused := serve()
		Expect(refused.Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(refused.RetryAfter).To(And(BeNumerically(">", 900*time.Millisecond), BeNumerically("<=", 1250*time.Millisecond)))
	})

	It("is told to the caller as it is, also if it is short", func() {
		turnsAwayOnce("i-1", "0.2")
		Expect(serve().RetryAfter).To(And(BeNumerically(">", 180*time.Millisecond), BeNumerically("<=", 250*time.Millisecond)))
	})

	It("is not told to a caller whose request reached no worker", func() {
		s.worker(desk, "i-1", always(standin.WorkerAnswer{})).Close()
		refused := serve()
		Expect(refused.Code).To(Equal(granitehoist.UpstreamRefused))
		Expect(refused.RetryAfter).To(BeZero())
	})

	It("costs a request one attempt, which another worker serves", func() {
		turnsAwayOnce("i-1", "3")
		s.worker(desk, "i-2", always(standin.WorkerAnswer{Body: "answer"}))
		for range 10 {
			Expect(serve()).To(BeNil())
		}
		Expect(s.workers[0].Arrivals()).To(HaveLen(1))
	})
})
