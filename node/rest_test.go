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

// restNoticed is the time from the answer that asks for rest to the beginning of the users'
// bound.
const restNoticed = 500 * time.Millisecond

// restAsked is one rest that an upstream asked a router for.
type restAsked struct {
	from, until time.Time
	// arrivals counts the requests of the router that arrived in the rest.
	arrivals int
}

// restingWorker is a worker that turns requests away and asks for rest while rests is set.
type restingWorker struct {
	*standin.Worker
	rests atomic.Bool

	// mu guards asked, by the index of the node that was asked, and turnedAway.
	mu         sync.Mutex
	asked      map[int][]*restAsked
	turnedAway int
}

// restingWorker starts a worker that asks for rest of a time, as text and as what it means.
func (s *site) restingWorker(text string, rest time.Duration) *restingWorker {
	w := &restingWorker{asked: map[int][]*restAsked{}}
	w.Worker = s.workerThat(func(a standin.Arrival) standin.WorkerAnswer {
		if !w.note(memberOf(a.ID), rest, time.Now()) {
			return standin.WorkerAnswer{Body: "answer"}
		}
		return standin.WorkerAnswer{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: []string{text}}
	})
	return w
}

// note counts a request of a node in the rests that it was asked for, and reports whether
// the worker turns it away, which asks for another.
func (w *restingWorker) note(member int, rest time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, asked := range w.asked[member] {
		if now.After(asked.from) && now.Before(asked.until) {
			asked.arrivals++
		}
	}
	if !w.rests.Load() {
		return false
	}
	w.turnedAway++
	w.asked[member] = append(w.asked[member], &restAsked{from: now.Add(restNoticed), until: now.Add(rest)})
	return true
}

// mostInRest returns the most requests of one node that arrived in one rest, and the number
// that were turned away.
func (w *restingWorker) mostInRest() (most, turnedAway int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, rests := range w.asked {
		for _, asked := range rests {
			most = max(most, asked.arrivals)
		}
	}
	return most, w.turnedAway
}

// TestRestIsKept is the incident of upstreams that turned every request away, asked each
// router for 3 s without requests and went on to get them. A refusal left its upstream out
// for 100 ms, whatever time it named; then the upstream was the first choice again, since it
// had no load and owned its prefixes. The gaps between the attempts of one router were all
// above 100 ms; only 5 of 45 attempts at one upstream were repeats, which ruled out that
// retries of refused requests had piled up.
func TestRestIsKept(t *testing.T) {
	t.Parallel()
	const rest = 3 * time.Second
	s := newScene(t, 3)
	s.configure(1, 1_000_000, "/a/")
	resting := s.restingWorker("3", rest)
	for range 3 {
		s.worker(standin.WorkerAnswer{Body: "answer"})
	}
	s.expectFleet("/a/x")
	resting.rests.Store(true)
	statuses := s.load("/a/x", 50*time.Millisecond, 2*rest+time.Second)
	s.Expect(statuses).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses")
	most, turnedAway := resting.mostInRest()
	s.Expect(turnedAway).To(BeNumerically(">=", len(s.members)), "each router was asked for rest")
	s.Expect(most).To(BeZero(), "requests of one router in a rest")
}

// TestAllUpstreamsRest checks a service whose upstreams all ask for rest: who can't be served
// in time is refused at once, as not run, and told when the first rest ends; nobody gets a
// request in a rest; and all are served again soon after the upstreams take requests.
func TestAllUpstreamsRest(t *testing.T) {
	t.Parallel()
	const rest = 2 * time.Second
	s := newScene(t, 2)
	s.configure(1, 1_000_000, "/a/")
	workers := []*restingWorker{s.restingWorker("2", rest), s.restingWorker("2", rest)}
	s.expectFleet("/a/x")
	for _, w := range workers {
		w.rests.Store(true)
	}
	all := s.loadEach("/a/x", 20*time.Millisecond, 2*rest)
	for _, e := range all {
		s.Expect(e.got.status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable))
		s.Expect(e.took).To(BeNumerically("<", 400*time.Millisecond))
		seconds, err := strconv.ParseFloat(e.got.header.Get("Retry-After"), 64)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(seconds).To(BeNumerically("<=", 1.3*rest.Seconds()))
	}
	for _, w := range workers {
		most, _ := w.mostInRest()
		s.Expect(most).To(BeZero(), "requests of one router in a rest")
		w.rests.Store(false)
	}
	time.Sleep(rest)
	s.Expect(statusesOf(s.loadEach("/a/x", 20*time.Millisecond, rest))).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses afterwards")
}
