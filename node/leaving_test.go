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

// leavingReaction is the users' bound on the time for which a router may go on to send to an
// upstream after it has passed on an answer in which the upstream says that it leaves, as
// the settings of the tests state it.
const leavingReaction = 500 * time.Millisecond

// leavingWorker is a worker that says in each answer that it leaves while leaves is set.
type leavingWorker struct {
	*standin.Worker
	leaving atomic.Bool
}

// leavingWorker starts a worker that does not say yet that it leaves.
func (s *testFleet) leavingWorker() *leavingWorker {
	w := &leavingWorker{}
	w.Worker = s.startWorkerFunc(func(standin.Arrival) standin.WorkerAnswer {
		answer := standin.WorkerAnswer{Body: "answer"}
		if w.leaving.Load() {
			answer.Leaving = []string{"1"}
		}
		return answer
	})
	return w
}

// countSentTooLate returns how many requests reached a leaving upstream although their router
// had passed on drainBound before that it leaves.
func countSentTooLate(all []sentRequest) int {
	said := func(e sentRequest) bool { return e.got.header.Get("Server-Leaving") != "" }
	// passedOn is when each node first passed on such an answer.
	passedOn := map[int]time.Time{}
	for _, e := range all {
		at := e.sent.Add(e.took)
		if first, found := passedOn[e.member]; said(e) && (!found || at.Before(first)) {
			passedOn[e.member] = at
		}
	}
	late := 0
	for _, e := range all {
		if said(e) && e.sent.After(passedOn[e.member].Add(leavingReaction)) {
			late++
		}
	}
	return late
}

// TestLeavingUpstreamGetsNoRequests is the incident of an upstream that began to leave while the
// store was away and went on to get requests. It said so in all its answers, which two
// routers had passed on, but routers knew that an upstream leaves from its entry in the
// store only, and no entry changed before the store was back, 13 s later: it got 22 further
// requests, each a first choice for its low load. That none of the routers logged that it
// drains ruled out news that was not passed on; 17 other live upstreams ruled out that there
// was no choice.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	leaving := s.leavingWorker()
	for range 3 {
		s.startWorker(standin.WorkerAnswer{Body: "answer"})
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

// TestLeavingReachesAllRouters checks that what one router heard reaches those that have sent the
// upstream nothing, and one that starts later, while the store is away.
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
