// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

// leavingReaction is how long a router may still send requests to an upstream after it
// has forwarded a response that says that the upstream is leaving.
const leavingReaction = 500 * time.Millisecond

// leavingWorker is a worker that says in each response that it is leaving while leaving
// is set.
type leavingWorker struct {
	*standin.Worker
	leaving atomic.Bool
}

// leavingWorker starts a worker that is not leaving yet.
func (s *testFleet) leavingWorker() *leavingWorker {
	w := &leavingWorker{}
	w.Worker = s.startWorkerFunc(func(standin.ReceivedRequest) standin.WorkerResponse {
		answer := standin.WorkerResponse{Body: "answer"}
		if w.leaving.Load() {
			answer.Leaving = []string{"1"}
		}
		return answer
	})
	return w
}

// countSentTooLate returns how many requests were sent to a leaving upstream more than
// leavingReaction after their router had forwarded a response that says so.
func countSentTooLate(all []sentRequest) int {
	saysLeaving := func(e sentRequest) bool { return e.got.header.Get("Server-Leaving") != "" }
	// forwardedAt holds the time at which each node first forwarded such a response.
	forwardedAt := map[int]time.Time{}
	for _, e := range all {
		at := e.sent.Add(e.took)
		if first, found := forwardedAt[e.member]; saysLeaving(e) && (!found || at.Before(first)) {
			forwardedAt[e.member] = at
		}
	}
	late := 0
	for _, e := range all {
		if saysLeaving(e) && e.sent.After(forwardedAt[e.member].Add(leavingReaction)) {
			late++
		}
	}
	return late
}

// TestLeavingUpstreamGetsNoRequests guards against requests to an upstream that says in
// its responses that it is leaving, while the store cannot report it.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	leaving := s.leavingWorker()
	for range 3 {
		s.startWorker(standin.WorkerResponse{Body: "answer"})
	}
	s.awaitFleet("/a/x")
	for _, m := range s.members {
		m.store.Fail(standin.PlatformFaults{Hang: true})
	}
	leaving.leaving.Store(true)
	all := s.sendLoad("/a/x", 50*time.Millisecond, 4*time.Second)
	s.Expect(countStatuses(all)).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses")
	s.Expect(countSentTooLate(all)).To(BeZero(), "requests sent to the leaving upstream %s after its router knew", leavingReaction)
}

// TestLeavingReachesAllRouters guards against a leaving upstream that is known only to
// routers with requests there, while the store is unreachable.
func TestLeavingReachesAllRouters(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	leaving := s.leavingWorker()
	s.awaitFleet("")
	leaving.leaving.Store(true)
	s.Eventually(s.members[0].status("/a/x"), stepTimeout).Should(Equal(http.StatusOK))
	s.members = append(s.members, s.start())
	for _, m := range s.members {
		s.Eventually(func() string { return m.metric("upstreams_leaving") }, stepTimeout).Should(Equal("1"))
		s.Expect(m.status("/a/x")()).To(Equal(http.StatusServiceUnavailable))
	}
}
