// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/standin"
)

const (
	// testReadMemory is the memory of all reads in these specs.
	testReadMemory = 36 << 20
	// maxFastBytes bounds what an upstream can send in one response: maxStreamBytes and what
	// the sockets hold.
	maxFastBytes = 80 << 20
	// maxFastTime and maxSlowTime are the times within which a request beside an endless
	// response ends: exchange.MaxPartTime, and the 5 s of a trickle, with a margin. They are
	// below the timeout of the routes.
	maxFastTime, maxSlowTime = exchange.MaxPartTime + 1500*time.Millisecond, 7 * time.Second
	endlessTimeout           = stepTimeout
)

// endlessFixture is a fixture whose forwarder shares a memory between all reads.
type endlessFixture struct {
	*fixture
	memory *readlimit.Memory

	mu       sync.Mutex
	exceeded map[granitehoist.Upstream]*readlimit.Error
}

func newEndlessFixture() *endlessFixture {
	s := &endlessFixture{fixture: newFixture(), memory: readlimit.NewMemory(testReadMemory), exceeded: map[granitehoist.Upstream]*readlimit.Error{}}
	s.offer(8, func(d *catalog.Document) {
		for i := range d.Routes {
			d.Routes[i].Timeout = endlessTimeout
			d.Routes[i].TargetLatency = 0
		}
	})
	s.settings.ReadMemory = s.memory
	s.settings.Pool = exchange.NewPool(exchange.Settings{ReadMemory: s.memory})
	s.settings.OnExceeded = func(upstream granitehoist.Upstream, e *readlimit.Error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.exceeded[upstream] = e
	}
	s.forwarder = forward.New(s.settings)
	return s
}

// exceededBy returns the bound that a response of an upstream exceeded, nil if none did.
func (s *endlessFixture) exceededBy(upstream granitehoist.Upstream) *readlimit.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.exceeded[upstream]
}

// pathOf returns a path whose responses can have an endless part.
func pathOf(part standin.EndlessPart) string {
	if strings.HasPrefix(string(part), "event") {
		return "/stream/x"
	}
	return "/unsafe/x"
}

// serviceOf returns the service of a path.
func serviceOf(path string) granitehoist.Service {
	if path == "/stream/x" {
		return model
	}
	return desk
}

// expectEnded serves a request whose response has an endless part, and checks that it ends
// within a time with an error, a report and an ejection.
func expectEnded(part standin.EndlessPart, pause, within time.Duration) {
	GinkgoHelper()
	s := newEndlessFixture()
	path := pathOf(part)
	w := s.worker(serviceOf(path), "i-1", always(standin.WorkerResponse{Endless: standin.Endless{Part: part, Pause: pause}}))
	started := time.Now()
	_, err := s.forwarder.Serve(context.Background(), request(path), &fakeSink{})
	Expect(time.Since(started)).To(BeNumerically("<", within), string(part))
	Expect(err).To(HaveOccurred(), string(part))
	if part != standin.EndlessRefusal {
		Expect(granitehoist.CodeOf(err).Info().Execution).To(Equal(granitehoist.MayHaveRun), string(part))
	}
	Expect(w.EndlessBytes()).To(BeNumerically("<", maxFastBytes), string(part))
	Expect(s.memory.Used()).To(BeZero(), string(part))
	if pause > 0 && part == standin.EndlessRefusal {
		// The request goes on at once; a slow body alone is no fault.
		return
	}
	Expect(s.exceededBy("i-1")).NotTo(BeNil(), string(part))
	Expect(s.table.Statuses(time.Now())[0].Ejected).To(BeTrue(), string(part))
}

// These specs guard against routers that run out of memory, or whose requests and connections
// stay, beside an upstream whose response has no end.
var _ = Describe("A response without an end", func() {
	for _, part := range standin.EndlessParts() {
		It("in its "+string(part)+" is ended", func() { expectEnded(part, 0, maxFastTime) })
	}

	It("is ended if it comes a byte at a time", func() {
		var requests sync.WaitGroup
		for _, part := range standin.EndlessParts() {
			if part == standin.EndlessEvents {
				// Nothing tells it from a sound stream until the timeout of the request.
				continue
			}
			requests.Go(func() {
				defer GinkgoRecover()
				expectEnded(part, 50*time.Millisecond, maxSlowTime)
			})
		}
		requests.Wait()
	})

	It("or without a byte delays a refused request little", func() {
		s := newEndlessFixture()
		s.worker(desk, "i-1", always(standin.WorkerResponse{Endless: standin.Endless{Part: standin.EndlessRefusal, Pause: 4 * time.Second}}))
		started := time.Now()
		_, err := s.forwarder.Serve(context.Background(), request("/unsafe/x"), &fakeSink{})
		Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamRefused))
		Expect(time.Since(started)).To(BeNumerically("<", 2*time.Second))
	})

	It("leaves memory for other responses", func() {
		s := newEndlessFixture()
		const large, requests = 6 << 20, 24
		s.worker(desk, "i-1", always(standin.WorkerResponse{Body: strings.Repeat("x", large), Delay: 50 * time.Millisecond}))
		peak := int64(0)
		stop := make(chan struct{})
		var watching, serving sync.WaitGroup
		watching.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					peak = max(peak, s.memory.Used())
				}
			}
		})
		for range requests {
			serving.Go(func() { _, _ = s.forwarder.Serve(context.Background(), request("/unsafe/x"), &fakeSink{}) })
		}
		time.Sleep(60 * time.Millisecond)
		small := newSmallRequest(s)
		serving.Wait()
		close(stop)
		watching.Wait()
		Expect(small).To(Succeed())
		Expect(peak).To(BeNumerically(">", large))
		Expect(peak).To(BeNumerically("<=", testReadMemory))
		Expect(s.memory.Used()).To(BeZero())
	})
})

// newSmallRequest serves a request with a short response at another service.
func newSmallRequest(s *endlessFixture) error {
	s.worker(model, "i-2", always(standin.WorkerResponse{Events: 4}))
	_, err := s.forwarder.Serve(context.Background(), request("/stream/x"), &fakeSink{})
	return err
}
