// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

const (
	// fragileCapacity is the number of requests that a fragile worker runs at once. It
	// rejects all others.
	fragileCapacity = 8
	// fragileDelay is the time that a request runs.
	fragileDelay = time.Second
	// fragileRestart is the time from the crash of a fragile worker to the start of its
	// replacement.
	fragileRestart = time.Second
)

// fragileService holds workers that crash if they have to reject more than limit requests
// within a second. It is safe for concurrent use.
type fragileService struct {
	fleet *testFleet
	limit int

	// mu guards the fields below it and the worker count of the fleet.
	mu      sync.Mutex
	ended   bool
	crashes int
	served  int
}

// newFragileService starts the workers.
func (s *testFleet) newFragileService(workers, limit int) *fragileService {
	b := &fragileService{fleet: s, limit: limit}
	s.cleanup(b.end)
	for range workers {
		b.addWorker()
	}
	return b
}

// end stops the replacement of crashed workers.
func (b *fragileService) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// addWorker starts and announces a worker.
func (b *fragileService) addWorker() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	w := &fragileWorker{service: b}
	b.fleet.startWorkerFunc(w.respond)
}

// counts returns the number of crashes and of served requests.
func (b *fragileService) counts() (crashes, served int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes, b.served
}

// fragileWorker is the state of one worker. The lock of its service guards it.
type fragileWorker struct {
	service *fragileService
	running int
	crashed bool
	// rejected holds the times of the rejections within the last second.
	rejected []time.Time
}

// respond serves or rejects a request, or crashes.
func (w *fragileWorker) respond(standin.ReceivedRequest) standin.WorkerResponse {
	accepted, crashes := w.admit(time.Now())
	switch {
	case crashes:
		return standin.WorkerResponse{Cut: standin.Cut{Crash: true}}
	case !accepted:
		return standin.WorkerResponse{Status: http.StatusServiceUnavailable, NotRun: true, RejectionLimit: w.service.limit}
	}
	time.Sleep(fragileDelay)
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	w.running--
	w.service.served++
	return standin.WorkerResponse{Body: "answer", RejectionLimit: w.service.limit}
}

// admit reports whether the worker runs a request, and whether it crashes instead.
func (w *fragileWorker) admit(now time.Time) (accepted, crashes bool) {
	b := w.service
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.running < fragileCapacity && !w.crashed {
		w.running++
		return true, false
	}
	w.rejected = append(w.rejected, now)
	for now.Sub(w.rejected[0]) > time.Second {
		w.rejected = w.rejected[1:]
	}
	if w.crashed || len(w.rejected) <= b.limit {
		return false, w.crashed
	}
	w.crashed = true
	b.crashes++
	time.AfterFunc(fragileRestart, b.addWorker)
	return false, true
}

// maxCrashesAmong is the number of crashes that is tolerated among a number of workers.
func maxCrashesAmong(workers int) int { return 2 + workers/10 }

// expectPromptRefusals expects all requests to be served or to be refused as not run soon
// and with a Retry-After.
func (s *testFleet) expectPromptRefusals(all []sentRequest) {
	for _, e := range all {
		if e.got.status == http.StatusOK {
			continue
		}
		s.Expect(e.got.status).To(BeElementOf(http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadGateway))
		if e.got.status == http.StatusBadGateway {
			// The worker of the request crashed.
			continue
		}
		s.Expect(e.took).To(BeNumerically("<", 600*time.Millisecond))
		s.Expect(e.got.header.Get("Retry-After")).NotTo(BeEmpty())
	}
}

// TestRejectionLimitIsRespected guards against upstreams that crash because the routers
// together let them reject more requests than they can bear.
func TestRejectionLimitIsRespected(t *testing.T) {
	t.Parallel()
	const routers, workers, limit, lasts = 4, 6, 8, 6 * time.Second
	for _, load := range []float64{2, 5} {
		t.Run(fmt.Sprintf("at %g times the capacity", load), func(t *testing.T) {
			t.Parallel()
			s := newTestFleet(t, routers)
			s.configure(1, 1_000_000, "/a/")
			service := s.newFragileService(workers, limit)
			s.awaitFleet("/a/x")
			perSecond := load * workers * fragileCapacity / fragileDelay.Seconds()
			pause := time.Duration(routers / perSecond * float64(time.Second))
			all := s.sendLoad("/a/x", pause, lasts)
			// A router that starts does not know yet what the workers can bear, and the
			// others have lost the store.
			for _, m := range s.members {
				m.store.Fail(standin.PlatformFaults{Refuse: http.StatusServiceUnavailable})
			}
			s.members = append(s.members, s.start())
			s.Eventually(s.members[routers].ready, stepTimeout).Should(Equal(http.StatusOK))
			all = append(all, s.sendLoad("/a/x", pause, lasts/2)...)
			crashes, served := service.counts()
			s.Expect(crashes).To(BeNumerically("<=", maxCrashesAmong(workers)), "crashes")
			s.Expect(served).To(BeNumerically(">=", int(0.7*workers*fragileCapacity*1.5*lasts.Seconds())), "requests served")
			s.expectPromptRefusals(all)
			after := s.sendLoadStatuses("/a/x", time.Duration(load*2*float64(pause)), 2*time.Second)
			s.Expect(after).To(And(HaveLen(1), HaveKey(http.StatusOK)), "statuses below the capacity")
		})
	}
}
