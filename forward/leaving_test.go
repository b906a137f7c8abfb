// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
