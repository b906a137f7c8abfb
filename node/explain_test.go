// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/explain"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/standin"
)

// These specs cause the failures described in docs/OPERATIONS.md and check that the log
// explains them.
var _ = Describe("The log of a node", func() {
	// describe returns the description of a request that operators get from the log.
	describe := func(m *member, id string) string {
		GinkgoHelper()
		Eventually(m.logText.String).Should(ContainSubstring("event=request request=" + id))
		description, err := explain.Read(strings.NewReader(m.logText.String()), granitehoist.RequestID(id))
		Expect(err).NotTo(HaveOccurred())
		var words strings.Builder
		Expect(description.Write(&words)).To(Succeed())
		return words.String()
	}

	It("explains a request refused for lack of tokens by the unreachable store", func() {
		s := newSpecFleet(1)
		s.configure(1, 100_000, "/stream/")
		s.startWorker(standin.WorkerResponse{Events: 2})
		m := s.members[0]
		Eventually(m.status("/stream/x")).Should(Equal(http.StatusOK))
		m.store.Fail(standin.PlatformFaults{Refuse: http.StatusServiceUnavailable})
		Eventually(func() int { return m.logs.FilterMessage(event.BudgetSyncFailed).Len() }).Should(BeNumerically(">", 0))
		got, err := m.ask("/stream/x", "r-refused", "Token-Usage", "90000,1000")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		text := describe(m, "r-refused")
		Expect(text).To(ContainSubstring("needed at most 91000 tokens; the budget said unreachable"))
		Expect(text).To(ContainSubstring("the last sync of the budgets failed"))
		Expect(text).To(ContainSubstring("status 503"))
		Expect(text).To(ContainSubstring("charged 0 tokens"))
		Expect(text).To(ContainSubstring(`the fate "not run"`))
	})

	It("explains a stream resumed at another upstream by the worker that broke off", func() {
		s := newSpecFleet(1)
		s.configure(1, 100_000, "/stream/")
		m := s.members[0]
		var breaks atomic.Int32
		answers := func(a standin.ReceivedRequest) standin.WorkerResponse {
			cut := a.ID == "r-broken" && breaks.Add(1) == 1
			return standin.WorkerResponse{Events: 6, Cut: standin.Cut{Set: cut, After: 3}}
		}
		s.startWorkerFunc(answers)
		s.startWorkerFunc(answers)
		Eventually(func() int { return m.logs.FilterMessage(event.Upstream).Len() }).Should(Equal(2))
		Eventually(m.status("/stream/x")).Should(Equal(http.StatusOK))
		got, err := m.ask("/stream/x", "r-broken", "Token-Usage", "100,30")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(got.body, "id: ")).To(Equal(6))
		text := describe(m, "r-broken")
		Expect(text).To(MatchRegexp(`attempt 1 was sent to upstream i-\d .*upstream_cut`))
		Expect(text).To(ContainSubstring("the caller had events up to 3 by then"))
		Expect(text).To(MatchRegexp(`attempt 2 was sent to upstream i-\d .*status 200`))
		Expect(text).To(ContainSubstring("2 attempts, 6 events"))
	})

	It("explains a request that may have run by the upstream that did not answer", func() {
		s := newSpecFleet(1)
		s.configure(1, 100_000, "/once/")
		w := s.startWorker(standin.WorkerResponse{Body: "answer", Cut: standin.Cut{Set: true}})
		m := s.members[0]
		Eventually(m.status("/once/x")).Should(Equal(http.StatusBadGateway))
		before := len(w.Requests())
		got, err := m.ask("/once/x", "r-lost")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(w.Requests()).To(HaveLen(before + 1))
		text := describe(m, "r-lost")
		Expect(text).To(ContainSubstring("attempt 1 was sent to upstream i-1"))
		Expect(text).To(ContainSubstring("upstream_cut"))
		Expect(text).To(ContainSubstring("1 attempts"))
		Expect(text).To(ContainSubstring(`the fate "may have run"`))
	})
})
