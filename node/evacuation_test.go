// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/standin"
)

var _ = Describe("An evacuated availability zone", func() {
	const order = "op/evacuate/hall"
	// knows returns a function that reports whether a node has logged an event exactly
	// the given number of times.
	knows := func(m *member, name event.Name, times int) func() bool {
		return func() bool { return m.logs.FilterMessage(name).Len() == times }
	}
	// newServing returns a fleet with a worker in the zone, which all nodes use.
	newServing := func(nodes int) (*testFleet, *standin.Worker) {
		s := newSpecFleet(nodes)
		s.configure(1, 100_000, "/a/")
		w := s.startWorker(standin.WorkerResponse{Body: "answer"})
		for _, m := range s.members {
			Eventually(m.status("/a/x")).Should(Equal(http.StatusOK))
			Eventually(m.node.FleetSize).Should(Equal(nodes))
		}
		return s, w
	}
	expectNothingSent := func(m *member, w *standin.Worker) {
		GinkgoHelper()
		before := len(w.Requests())
		got, err := m.ask("/a/x", "refused")
		Expect(err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(w.Requests()).To(HaveLen(before))
	}

	It("gets no requests until it is restored, and callers are refused at once", func() {
		s, w := newServing(1)
		m := s.members[0]
		s.put(order, []byte(`{}`))
		Eventually(knows(m, event.ZoneEvacuated, 1)).Should(BeTrue())
		expectNothingSent(m, w)
		s.deleteKey(order)
		Eventually(knows(m, event.ZoneRestored, 1)).Should(BeTrue())
		Expect(m.status("/a/x")()).To(Equal(http.StatusOK))
	})

	It("is known through a neighbour to a node whose store fails", func() {
		s, w := newServing(2)
		m := s.members[0]
		m.store.Fail(standin.PlatformFaults{Hang: true})
		s.put(order, []byte(`{}`))
		Eventually(knows(m, event.ZoneEvacuated, 1), 5*time.Second).Should(BeTrue())
		expectNothingSent(m, w)
		s.deleteKey(order)
		Eventually(knows(m, event.ZoneRestored, 1), 5*time.Second).Should(BeTrue())
	})

	It("is known to a starting node before it serves requests", func() {
		s, w := newServing(1)
		s.put(order, []byte(`{}`))
		started := s.start()
		Eventually(started.ready).Should(Equal(http.StatusOK))
		expectNothingSent(started, w)
	})
})

var _ = Describe("Invalid entries of instances", func() {
	It("add no worker, are logged once, and leave valid entries in force", func() {
		s := newSpecFleet(1)
		s.configure(1, 100_000, "/a/")
		w := s.startWorker(standin.WorkerResponse{Body: "answer"})
		m := s.members[0]
		Eventually(m.status("/a/x")).Should(Equal(http.StatusOK))
		bad := func() int { return m.logs.FilterMessage(event.UpstreamBad).Len() }
		for i, entry := range []string{`[]`, `{"backend":7}`, "\xff", `{"backend":"pool","address":"","phase":"ready"}`} {
			s.put("servers/i-other", []byte(entry))
			Eventually(bad).Should(Equal(1), "entry %d", i)
		}
		s.put("servers/i-unknown", []byte(`{"backend":"pool","address":"127.0.0.1:9","zone":"hall","phase":"resting","capacity":8}`))
		s.put("servers/"+w.Instance(), []byte(`{"backend":["pool"]}`))
		Eventually(bad).Should(Equal(2))
		m.expectOnly("answer")
	})
})
