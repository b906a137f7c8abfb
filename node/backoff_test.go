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

// backoffReaction is the time from the answer that asks for rest to the beginning of the users'
// bound.
const backoffReaction = 500 * time.Millisecond

// backoffPeriod is one rest that an upstream asked a router for.
type backoffPeriod struct {
	from, until time.Time
	// arrivals counts the requests of the router that arrived in the rest.
	arrivals int
}

// backoffWorker is a worker that turns requests away and asks for rest while rests is set.
type backoffWorker struct {
	*standin.Worker
	refusing atomic.Bool

	// mu guards asked, by the index of the node that was asked, and turnedAway.
	mu      sync.Mutex
	periods map[int][]*backoffPeriod
	refused int
}

// backoffWorker starts a worker that asks for rest of a time, as text and as what it means.
func (s *testFleet) backoffWorker(text string, rest time.Duration) *backoffWorker {
	w := &backoffWorker{periods: map[int][]*backoffPeriod{}}
	w.Worker = s.startWorkerFunc(func(a standin.Arrival) standin.WorkerAnswer {
		if !w.recordArrival(memberIndex(a.ID), rest, time.Now()) {
			return standin.WorkerAnswer{Body: "answer"}
		}
		return standin.WorkerAnswer{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: []string{text}}
	})
	return w
}

// recordArrival counts a request of a node in the rests that it was asked for, and reports whether
// the worker turns it away, which asks for another.
func (w *backoffWorker) recordArrival(member int, rest time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, asked := range w.periods[member] {
		if now.After(asked.from) && now.Before(asked.until) {
			asked.arrivals++
		}
	}
	if !w.refusing.Load() {
		return false
	}
	w.refused++
	w.periods[member] = append(w.periods[member], &backoffPeriod{from: now.Add(backoffReaction), until: now.Add(rest)})
	return true
}

// maxArrivalsInBackoff returns the most requests of one node that arrived in one rest, and the number
// that were turned away.
func (w *backoffWorker) maxArrivalsInBackoff() (most, turnedAway int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, rests := range w.periods {
		for _, asked := range rests {
			most = max(most, asked.arrivals)
		}
	}
	return most, w.refused
}

// TestBackoffIsRespected is the incident of upstreams that turned every request away, asked each
// router for 3 s without requests and went on to get them. A refusal left its upstream out
// for 100 ms, whatever time it named; then the upstream was the first choice again, since it
// had no load and owned its prefixes. The gaps between the attempts of one router were all
// above 100 ms; only 5 of 45 attempts at one upstream were repeats, which ruled out that
// retries of refused requests had piled up.
func TestBackoffIsRespected(t *testing.T) {
	t.Parallel()
	const rest = 3 * time.Second
	s := newTestFleet(t, 3)
	s.configure(1, 1_000_000, "/a/")
	resting := s.backoffWorker("3", rest)
	for range 3 {
		s.startWorker(standin.WorkerAnswer{Body: "answer"})
	}
	s.awaitFleet("/a/x")
	resting.refusing.Store(true)
	statuses := s.sendLoadStatuses("/a/x", 50*time.Millisecond, 2*rest+time.Second)
	s.Expect(statuses).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses")
	most, turnedAway := resting.maxArrivalsInBackoff()
	s.Expect(turnedAway).To(BeNumerically(">=", len(s.members)), "each router was asked for rest")
	s.Expect(most).To(BeZero(), "requests of one router in a rest")
}

// TestAllUpstreamsBackOff checks a service whose upstreams all ask for rest: who can't be served
// in time is refused at once, as not run, and told when the first rest ends; nobody gets a
// request in a rest; and all are served again soon after the upstreams take requests.
func TestAllUpstreamsBackOff(t *testing.T) {
	t.Parallel()
	const rest = 2 * time.Second
	s := newTestFleet(t, 2)
	s.configure(1, 1_000_000, "/a/")
	workers := []*backoffWorker{s.backoffWorker("2", rest), s.backoffWorker("2", rest)}
	s.awaitFleet("/a/x")
	for _, w := range workers {
		w.refusing.Store(true)
	}
	all := s.sendLoad("/a/x", 20*time.Millisecond, 2*rest)
	for _, e := range all {
		s.Expect(e.got.status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable))
		s.Expect(e.took).To(BeNumerically("<", 400*time.Millisecond))
		seconds, err := strconv.ParseFloat(e.got.header.Get("Retry-After"), 64)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(seconds).To(BeNumerically("<=", 1.3*rest.Seconds()))
	}
	for _, w := range workers {
		most, _ := w.maxArrivalsInBackoff()
		s.Expect(most).To(BeZero(), "requests of one router in a rest")
		w.refusing.Store(false)
	}
	time.Sleep(rest)
	s.Expect(countStatuses(s.sendLoad("/a/x", 20*time.Millisecond, rest))).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses afterwards")
}
