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
	// limitWindow is the time to which the users' bound on arrivals applies, and
	// limitLearnt the time from the first answer that names a limit to its beginning.
	limitWindow = 4 * time.Second
	limitLearnt = 3 * time.Second
)

// allowedInWindow is the most requests that an upstream may get in some limitWindow: one
// and a half times what its limit allows, and 5.
func allowedInWindow(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds() + 5)
}

// arrivalTimes keeps when requests reached a worker. It is safe for concurrent use.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) add(t time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, t)
}

// worst returns the most arrivals in some limitWindow that begins limitLearnt after the
// first arrival or later.
func (a *arrivalTimes) worst() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	worst := 0
	for i, begin := range a.times {
		if begin.Sub(a.times[0]) < limitLearnt {
			continue
		}
		count := 0
		for _, t := range a.times[i:] {
			if t.Sub(begin) < limitWindow {
				count++
			}
		}
		worst = max(worst, count)
	}
	return worst
}

// limitedWorker starts a worker that names a limit in each answer, and keeps when
// requests reach it.
func (s *site) limitedWorker(limit string) *arrivalTimes {
	arrivals := &arrivalTimes{}
	s.workerThat(func(standin.Arrival) standin.WorkerAnswer {
		arrivals.add(time.Now())
		return standin.WorkerAnswer{Body: "answer", RateLimit: []string{limit}}
	})
	return arrivals
}

// load sends each node of a site one request every pause, without waiting for answers,
// for a time. It returns how many requests got each status once all have ended.
func (s *site) load(path string, pause, lasts time.Duration) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	var callers sync.WaitGroup
	for end, round := time.Now().Add(lasts), 0; time.Now().Before(end); round++ {
		for i, m := range s.members {
			callers.Go(func() {
				got, err := m.ask(path, fmt.Sprintf("load-%d-%d", round, i))
				if err != nil {
					got.status = 0
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[got.status]++
			})
		}
		time.Sleep(pause)
	}
	callers.Wait()
	return statuses
}

// TestNamedLimitIsKept is the incident of upstreams in need that were not spared. Each
// named in its answers how many requests a second it takes from all routers together, 1.5
// of them, and went on to get 3 a second: no router read the limit, so that each chose as
// before among all upstreams, and the owner of a prefix kept its requests. 35 of 36
// attempts at one of the upstreams came for a prefix that it owned and one of 57 was a
// repeat, which ruled out that retries had gone there; that no state of a router held a
// limit ruled out that each had kept the whole limit for itself.
func TestNamedLimitIsKept(t *testing.T) {
	RegisterTestingT(t)
	const routers, others, perSecond = 3, 3, 1.6
	s := newSiteUntil(t.Cleanup, routers)
	s.configure(1, 1_000_000, "/a/")
	limited := s.limitedWorker(fmt.Sprint(perSecond))
	for range others {
		s.worker(standin.WorkerAnswer{Body: "answer"})
	}
	for _, m := range s.members {
		Eventually(m.status("/a/x"), stepTimeout).Should(Equal(http.StatusOK))
		Eventually(m.node.Routers, stepTimeout).Should(Equal(routers))
	}
	statuses := s.load("/a/x", 50*time.Millisecond, limitLearnt+2*limitWindow)
	Expect(statuses).To(HaveLen(1), "statuses")
	Expect(statuses).To(HaveKey(http.StatusOK))
	Expect(limited.worst()).To(BeNumerically("<=", allowedInWindow(perSecond)), "requests in %s", limitWindow)
}
