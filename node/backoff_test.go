// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

// backoffReaction is how long a router may still send requests after an upstream asked it
// to back off.
const backoffReaction = 500 * time.Millisecond

// backoffPeriod is a period for which an upstream asked a router to back off.
type backoffPeriod struct {
	from, until time.Time
	// arrivals counts the router's requests that arrived in the period.
	arrivals int
}

// backoffWorker is a worker that refuses requests and asks to back off while refusing is
// set.
type backoffWorker struct {
	*standin.Worker
	refusing atomic.Bool

	// mu guards periods, by the index of the node, and refused.
	mu      sync.Mutex
	periods map[int][]*backoffPeriod
	refused int
}

// backoffWorker starts a worker that asks to back off for a duration; retryAfter is its
// header value.
func (s *testFleet) backoffWorker(retryAfter string, backoff time.Duration) *backoffWorker {
	w := &backoffWorker{periods: map[int][]*backoffPeriod{}}
	w.Worker = s.startWorkerFunc(func(a standin.ReceivedRequest) standin.WorkerResponse {
		if !w.recordArrival(memberIndex(a.ID), backoff, time.Now()) {
			return standin.WorkerResponse{Body: "answer"}
		}
		return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: []string{retryAfter}}
	})
	return w
}

// recordArrival counts a request of a node in its back-off periods, and reports whether
// the worker refuses it, which starts another period.
func (w *backoffWorker) recordArrival(member int, backoff time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, period := range w.periods[member] {
		if now.After(period.from) && now.Before(period.until) {
			period.arrivals++
		}
	}
	if !w.refusing.Load() {
		return false
	}
	w.refused++
	w.periods[member] = append(w.periods[member], &backoffPeriod{from: now.Add(backoffReaction), until: now.Add(backoff)})
	return true
}

// maxArrivalsInBackoff returns the maximum number of requests of one node that arrived in
// one back-off period, and the number of refused requests.
func (w *backoffWorker) maxArrivalsInBackoff() (most, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, periods := range w.periods {
		for _, period := range periods {
			most = max(most, period.arrivals)
		}
	}
	return most, w.refused
}

// TestBackoffIsRespected guards against routers that send requests to an upstream before
// the Retry-After of its refusal has passed.
func TestBackoffIsRespected(t *testing.T) {
	t.Parallel()
	const backoff = 3 * time.Second
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	backingOff := s.backoffWorker("3", backoff)
	for range 3 {
		s.startWorker(standin.WorkerResponse{Body: "answer"})
	}
	s.awaitFleet("/a/x")
	backingOff.refusing.Store(true)
	statuses := s.sendLoadStatuses("/a/x", 50*time.Millisecond, 2*backoff+time.Second)
	s.Expect(statuses).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses")
	most, refused := backingOff.maxArrivalsInBackoff()
	s.Expect(refused).To(BeNumerically(">=", len(s.members)), "each router was asked to back off")
	s.Expect(most).To(BeZero(), "requests of one router in a back-off period")
}

// TestAllUpstreamsBackOff guards against requests that wait or reach an upstream while
// all upstreams of a service ask to back off.
func TestAllUpstreamsBackOff(t *testing.T) {
	t.Parallel()
	const backoff = 2 * time.Second
	s := newTestFleet(t, 2)
	s.configure(1, 1_000_000, "/a/")
	workers := []*backoffWorker{s.backoffWorker("2", backoff), s.backoffWorker("2", backoff)}
	s.awaitFleet("/a/x")
	for _, w := range workers {
		w.refusing.Store(true)
	}
	all := s.sendLoad("/a/x", 20*time.Millisecond, 2*backoff)
	for _, e := range all {
		s.Expect(e.got.status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable))
		s.Expect(e.took).To(BeNumerically("<", 400*time.Millisecond))
		seconds, err := strconv.ParseFloat(e.got.header.Get("Retry-After"), 64)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(seconds).To(BeNumerically("<=", 1.3*backoff.Seconds()))
	}
	for _, w := range workers {
		most, _ := w.maxArrivalsInBackoff()
		s.Expect(most).To(BeZero(), "requests of one router in a back-off period")
		w.refusing.Store(false)
	}
	time.Sleep(backoff)
	s.Expect(countStatuses(s.sendLoad("/a/x", 20*time.Millisecond, backoff))).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses afterwards")
}
