// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/forward"
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/standin"
)

// fakeOrigins knows one origin and releases that may not begin streams.
type fakeOrigins struct {
	mu           sync.Mutex
	known        *origin.Origin
	unregistered []granitehoist.Release
	changed      chan struct{}
	recorded     []origin.Record
	asked        []origin.Stream
}

func (f *fakeOrigins) Unregistered(granitehoist.Service) ([]granitehoist.Release, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unregistered, f.changed
}

func (f *fakeOrigins) Record(r origin.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded = append(f.recorded, r)
}

func (f *fakeOrigins) Find(_ context.Context, s origin.Stream, _ granitehoist.Service) (origin.Origin, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, s)
	if f.known == nil {
		return origin.Origin{}, false
	}
	return *f.known, true
}

// register lets all releases begin streams.
func (f *fakeOrigins) register() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unregistered = nil
	close(f.changed)
}

// These specs guard against streams that go on at another release than the one that began
// them.
var _ = Describe("A stream", func() {
	var s *fixture
	var origins *fakeOrigins
	var sink *fakeSink
	BeforeEach(func() {
		s, origins, sink = newFixture(), &fakeOrigins{changed: make(chan struct{})}, &fakeSink{}
		s.settings.Origins = origins
		s.forwarder = forward.New(s.settings)
	})
	// worker adds a worker of a release.
	worker := func(id string, release granitehoist.Release, answer standin.WorkerResponse) {
		w := s.worker(model, id, always(answer))
		s.table.Announce(balance.Instance{ID: granitehoist.Upstream(id), Service: model, Address: w.Address(), Release: release, Version: 2}, time.Now())
	}
	resume := func(after int64) error {
		r := request("/resume/x")
		r.LastEventID, r.Resumes = granitehoist.NewEventID(after), "r-0"
		_, err := s.forwarder.Serve(context.Background(), r, sink)
		return err
	}
	serve := func() error {
		_, err := s.forwarder.Serve(context.Background(), request("/resume/x"), sink)
		return err
	}

	It("goes to another release while the caller has no event of it", func() {
		worker("i-1", oldRelease, standin.WorkerResponse{Status: 500, Body: "failed"})
		worker("i-2", newRelease, standin.WorkerResponse{Events: 4})
		for range 8 {
			sink = &fakeSink{}
			Expect(serve()).To(Succeed())
			Expect(sink.text()).To(Equal(events(4)))
		}
		for _, r := range origins.recorded {
			Expect(r.Origin).To(Equal(origin.Origin{Service: model, Release: newRelease}))
		}
	})
	It("breaks off if no other instance of its release is left", func() {
		worker("i-1", oldRelease, standin.WorkerResponse{Events: 4, Cut: standin.Cut{Set: true, After: 2}})
		worker("i-2", newRelease, standin.WorkerResponse{Events: 4})
		for range 8 {
			sink = &fakeSink{}
			if err := serve(); err != nil {
				Expect(granitehoist.CodeOf(err)).To(Equal(granitehoist.UpstreamCut))
				Expect(sink.text()).To(Equal(events(2)))
			}
		}
	})
	It("is recorded once by a request, for longer than its deadline", func() {
		worker("i-1", oldRelease, standin.WorkerResponse{Events: 4})
		Expect(serve()).To(Succeed())
		Expect(origins.recorded).To(HaveLen(1))
		Expect(origins.recorded[0].Stream).To(Equal(origin.Stream{Workspace: tenant, Request: "r-1"}))
		Expect(origins.recorded[0].KeepMS).To(BeNumerically(">", (5 * time.Second).Milliseconds()))
	})
	It("is recorded under the request that began it when it is resumed", func() {
		origins.known = &origin.Origin{Service: model, Release: oldRelease}
		worker("i-1", oldRelease, standin.WorkerResponse{Events: 4})
		Expect(resume(2)).To(Succeed())
		Expect(origins.asked).To(ConsistOf(origin.Stream{Workspace: tenant, Request: "r-0"}))
		Expect(origins.recorded).To(HaveLen(1))
		Expect(origins.recorded[0].Stream.Request).To(Equal(granitehoist.RequestID("r-0")))
	})
	It("is refused before tokens are reserved if its origin is unknown or has no instances", func() {
		worker("i-1", newRelease, standin.WorkerResponse{Events: 4})
		s.budgets.reserving = func() { Fail("tokens were reserved") }
		Expect(granitehoist.CodeOf(resume(2))).To(Equal(granitehoist.NotResumable))
		origins.known = &origin.Origin{Service: model, Release: oldRelease}
		Expect(granitehoist.CodeOf(resume(2))).To(Equal(granitehoist.NotResumable))
		Expect(s.arrivals()).To(BeEmpty())
	})
	It("goes on at the service that began it while the route leads there", func() {
		split := func(version granitehoist.Version, weight float64) {
			s.offer(version, func(d *catalog.Document) {
				d.Routes[0].Split = []catalog.Share{{Service: desk, Weight: 1}, {Service: model, Weight: weight}}
			})
		}
		origins.known = &origin.Origin{Service: model, Release: oldRelease}
		worker("i-1", oldRelease, standin.WorkerResponse{Events: 4})
		s.worker(desk, "i-desk", always(standin.WorkerResponse{Events: 4}))
		split(8, 1)
		for range 8 {
			Expect(resume(2)).To(Succeed())
		}
		Expect(s.workers[1].Requests()).To(BeEmpty())
		split(9, 0)
		Expect(granitehoist.CodeOf(resume(2))).To(Equal(granitehoist.NotResumable))
	})
	It("begins at no release that is not registered, and waits for the registration of the only one", func() {
		origins.unregistered = []granitehoist.Release{newRelease}
		worker("i-1", oldRelease, standin.WorkerResponse{Events: 4})
		worker("i-2", newRelease, standin.WorkerResponse{Events: 4})
		for range 8 {
			Expect(serve()).To(Succeed())
		}
		Expect(s.workers[1].Requests()).To(BeEmpty())
		s.table.Remove("i-1", time.Now().Add(-time.Hour))
		time.AfterFunc(20*time.Millisecond, origins.register)
		Expect(serve()).To(Succeed())
		Expect(s.workers[1].Requests()).To(HaveLen(1))
	})
	It("gets no canary when it is resumed", func() {
		rollouts := &fakeRollouts{}
		s.settings.Rollouts = rollouts
		s.forwarder = forward.New(s.settings)
		origins.known = &origin.Origin{Service: model, Release: newRelease}
		worker("i-2", newRelease, standin.WorkerResponse{Events: 4})
		Expect(granitehoist.CodeOf(resume(2))).To(Equal(granitehoist.NotResumable))
		Expect(rollouts.retries).To(ConsistOf(true))
	})
})
