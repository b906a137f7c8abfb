// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist/standin"
)

// deadly is in the path of requests that end each worker that begins to run them.
const deadly = "deadly"

// poolUnderAttack is a service whose workers are replaced as they end.
type poolUnderAttack struct {
	site *site
	// turn counts the requests of attack.
	turn int

	// mu guards ended.
	mu    sync.Mutex
	ended int
}

// newPoolUnderAttack starts a number of workers.
func newPoolUnderAttack(s *site, workers int) *poolUnderAttack {
	p := &poolUnderAttack{site: s}
	for range workers {
		p.add()
	}
	return p
}

// add starts a worker that ends when it begins to run a deadly request.
func (p *poolUnderAttack) add() {
	p.site.workerThat(func(a standin.Arrival) standin.WorkerAnswer {
		if !strings.Contains(a.Target, deadly) {
			return standin.WorkerAnswer{Body: "answer"}
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended++
		return standin.WorkerAnswer{Crash: true, Delay: 20 * time.Millisecond}
	})
}

// endings returns the number of workers that have ended.
func (p *poolUnderAttack) endings() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// attack sends the deadly request to nodes in turn, until one refuses it, and replaces
// the workers that end.
func (p *poolUnderAttack) attack(members []*member) {
	Eventually(func() int {
		m := members[p.turn%len(members)]
		p.turn++
		before := p.endings()
		got, err := m.ask("/once/"+deadly, fmt.Sprintf("attack-%d", p.turn))
		Expect(err).NotTo(HaveOccurred())
		for range p.endings() - before {
			p.add()
		}
		return got.status
	}, stepTimeout).Should(Equal(http.StatusServiceUnavailable))
}

// TestCrashingRequestIsRefused is the incident of the requests that ended 15 and 19
// upstreams. One request, which no upstream survives, came again and again: at other
// routers, under a new id each time, every 0.1 to 2 s. Each router took it for a first
// attempt and sent it on, since all that bounds attempts (the route's number of
// attempts, the retry budget, the upstreams already tried) is kept for one arrival. It
// ended an upstream a time, with all that ran there. That each of the 15 ends was met
// by a request of the same workspace and size, and that no arrival reached two
// upstreams, ruled out the routers' own retries and ends for other reasons.
func TestCrashingRequestIsRefused(t *testing.T) {
	RegisterTestingT(t)
	const routers, workers, arrivals, allowed = 3, 6, 15, 4
	s := newSiteUntil(t.Cleanup, routers)
	s.configure(1, 1_000_000, "/once/")
	pool := newPoolUnderAttack(s, workers)
	for _, m := range s.members {
		Eventually(m.status("/once/x"), stepTimeout).Should(Equal(http.StatusOK))
		Eventually(m.node.Routers, stepTimeout).Should(Equal(routers))
	}
	var last answer
	for i := range arrivals {
		m := s.members[i%routers]
		before := pool.endings()
		got, err := m.ask("/once/"+deadly, fmt.Sprintf("again-%d", i))
		Expect(err).NotTo(HaveOccurred())
		last = got
		for range pool.endings() - before {
			pool.add()
		}
		time.Sleep(100 * time.Millisecond)
	}
	Expect(pool.endings()).To(BeNumerically("<=", allowed), "workers that ended under %d arrivals", arrivals)
	Expect(last.status).To(Equal(http.StatusServiceUnavailable))
	Expect(last.header.Get("Retry-After")).NotTo(BeEmpty())
	for _, m := range s.members {
		Eventually(m.status("/once/x"), stepTimeout).Should(Equal(http.StatusOK))
	}
}
